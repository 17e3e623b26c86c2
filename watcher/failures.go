package watcher

import (
	"sync"
	"time"
)

// FailureTracker records when the store last failed a call. If a call fails after the store has answered a call that began
// later, the failure belongs to an outage that is over: the connection of the failed call has gone silent. It is safe for
// concurrent use.
type FailureTracker struct {
	mu       sync.Mutex
	failedAt time.Time
	// answeredStart is the latest start time of an answered call.
	answeredStart time.Time
}

// RecordAnswer records the answer to a call that began at a given time.
func (tr *FailureTracker) RecordAnswer(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answeredStart = later(tr.answeredStart, began)
}

// RecordFailure records that a call has failed now. If a call that began later was answered, the failure counts as of the failed
// call's start.
func (tr *FailureTracker) RecordFailure(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := time.Now()
	if tr.answeredStart.After(began) {
		at = began
	}
	tr.failedAt = later(tr.failedAt, at)
}

// RecordFailureAt records a failure that a peer observed.
func (tr *FailureTracker) RecordFailureAt(at time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failedAt = later(tr.failedAt, at)
}

// LastFailure returns the latest known time of a store failure, or the zero time if there has been none.
func (tr *FailureTracker) LastFailure() time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.failedAt
}

// FailedWithin reports whether the store has failed within the given period before now.
func (tr *FailureTracker) FailedWithin(period time.Duration) bool {
	failed := tr.LastFailure()
	return !failed.IsZero() && time.Since(failed) < period
}

// AnsweredSince reports whether the store has answered a call that began after a given time.
func (tr *FailureTracker) AnsweredSince(at time.Time) bool {
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
