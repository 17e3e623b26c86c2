package watcher

import (
	"sync"
	"time"
)

// FailureTracker remembers when the store last failed a call. A call that fails after the store has answered one that began
// later tells of an outage that is over: its connection has gone silent. It is safe for concurrent use.
type FailureTracker struct {
	mu       sync.Mutex
	failedAt time.Time
	// answeredFrom is when the call began that began last of those that were answered.
	answeredFrom time.Time
}

// RecordAnswer notes the answer to a call.
func (tr *FailureTracker) RecordAnswer(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answeredFrom = later(tr.answeredFrom, began)
}

// RecordFailure notes that a call has failed now.
func (tr *FailureTracker) RecordFailure(began time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := time.Now()
	if tr.answeredFrom.After(began) {
		at = began
	}
	tr.failedAt = later(tr.failedAt, at)
}

// RecordFailureAt notes a failure that a peer saw.
func (tr *FailureTracker) RecordFailureAt(at time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failedAt = later(tr.failedAt, at)
}

// LastFailure is the latest time at which the store is known to have failed; zero if it never has.
func (tr *FailureTracker) LastFailure() time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.failedAt
}

// FailedWithin tells whether the store has failed within a time before now.
func (tr *FailureTracker) FailedWithin(span time.Duration) bool {
	failed := tr.LastFailure()
	return !failed.IsZero() && time.Since(failed) < span
}

// AnsweredSince tells whether the store has answered a call that began after a time.
func (tr *FailureTracker) AnsweredSince(at time.Time) bool {
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
