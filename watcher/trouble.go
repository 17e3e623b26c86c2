package watcher

import (
	"sync"
	"time"
)

// Trouble remembers when the store last failed a call. A call that fails after the store has answered one that began
// later tells of an outage that is over: its connection has gone silent. It is safe for concurrent use.
type Trouble struct {
	mu       sync.Mutex
	failedAt time.Time
	// answeredFrom is when the call began that began last of those that were answered.
	answeredFrom time.Time
}

// Answered notes the answer to a call.
func (tr *Trouble) Answered(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answeredFrom = later(tr.answeredFrom, began)
}

// Failed notes that a call has failed now.
func (tr *Trouble) Failed(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := time.Now()
	if tr.answeredFrom.After(began) {
		at = began
	}
	tr.failedAt = later(tr.failedAt, at)
}

// FailedAt notes a failure that a peer saw.
func (tr *Trouble) FailedAt(at time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failedAt = later(tr.failedAt, at)
}

// LastFailure is the latest time at which the store is known to have failed; zero if it never has.
func (tr *Trouble) LastFailure() time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.failedAt
}

// Within tells whether the store has failed within a time before now.
func (tr *Trouble) Within(span time.Duration) bool {
	failed := tr.LastFailure()
	return !failed.IsZero() && time.Since(failed) < span
}

// AnsweredSince tells whether the store has answered a call that began after a time.
func (tr *Trouble) AnsweredSince(at time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.answeredFrom.After(at)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
