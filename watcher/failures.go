package watcher

import (
	"sync"
	"time"
)

// Trouble records when the store last failed a call. If a call fails after the store has answered a call that began
// later, the failure belongs to an outage that is over: the connection of the failed call has gone silent. It is safe for
// concurrent use.
type Trouble struct {
	mu       sync.Mutex
	failedAt time.Time
	// answeredStart is the latest start time of an answered call.
	answeredStart time.Time
}

// Answered records the answer to a call that began at a given time.
func (tr *Trouble) Answered(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answeredStart = later(tr.answeredStart, began)
}

// Failed records that a call has failed now. If a call that began later was answered, the failure counts as of the failed
// call's start.
func (tr *Trouble) Failed(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := time.Now()
	if tr.answeredStart.After(began) {
		at = began
	}
	tr.failedAt = later(tr.failedAt, at)
}

// FailedAt records a failure that a peer observed.
func (tr *Trouble) FailedAt(at time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failedAt = later(tr.failedAt, at)
}

// LastFailure returns the latest known time of a store failure, or the zero time if there has been none.
func (tr *Trouble) LastFailure() time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.failedAt
}

// Within reports whether the store has failed within the given period before now.
func (tr *Trouble) Within(period time.Duration) bool {
	failed := tr.LastFailure()
	return !failed.IsZero() && time.Since(failed) < period
}

// AnsweredSince reports whether the store has answered a call that began after a given time.
func (tr *Trouble) AnsweredSince(at time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.answeredStart.After(at)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
