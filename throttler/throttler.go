// Package throttler keeps the requests that all instances together send to a target within the rate limit that the
// target names in its answers and, while the target is cold, within the rate that it tolerates then. A target's holder
// grants the sends one by one: a single instance has to count them, and the holder's lease makes it the only one. An
// instance that cannot ask the holder sends its part of a small share of the rate. The package performs no I/O.
package throttler

import (
	"context"
	"sync"
	"time"

	"lovagebank/balancer"
)

// lapseRetention is how long a lapsed limit is kept, so that an instance that still applies it is corrected.
const lapseRetention = 30 * time.Second

// Options configures a Throttler.
type Options struct {
	// Ask asks the holder of a target whether this instance may send it a request now. The notice holds the limit that
	// this instance applies. An error means that the holder is not known, did not answer, or is no holder now.
	Ask func(ctx context.Context, no Notice) (Grant, error)
	// Instances returns the number of instances, including this one, that may send requests to the targets.
	Instances func() int
	// Random returns a number in [0, 1).
	Random func() float64
	// ColdRate returns the rate at which sends to a target may be granted while it is cold; false if the targets of its
	// service are never cold. If it is nil, no target is ever cold.
	ColdRate func(target string) (rate float64, ok bool)
}

// Throttler keeps the rate limits that targets have named. It is safe for concurrent use.
type Throttler struct {
	op      Options
	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState is the state of one start of a target that has named a rate limit or is cold. If the target has named
// none, the limit is marked as lapsed and its SeenAt is zero.
type targetState struct {
	started time.Time
	limit   Limit
	cold    coldTime
	// askedUntil is the latest time until which instances that have asked this one, as the holder, consider the target cold.
	askedUntil time.Time
	// changedAt is when the limit last changed, at this instance.
	changedAt time.Time
	// grants counts the sends that this instance grants as the target's holder.
	grants bucket
	// share counts the sends of this instance while it cannot ask the holder; nil until the first such time.
	share *bucket
	// decidedAt is when a send of this instance was last decided.
	decidedAt time.Time
}

// New returns a throttler that has no limits.
func New(op Options) *Throttler {
	if op.ColdRate == nil {
		op.ColdRate = func(string) (float64, bool) { return 0, false }
	}
	return &Throttler{op: op, targets: make(map[string]*targetState)}
}

// Remove forgets a target that has been removed from the platform's list.
func (th *Throttler) Remove(target string) {
	th.mu.Lock()
	defer th.mu.Unlock()
	delete(th.targets, target)
}

// state returns what is known of a start of a target; nil if it has named no limit and was not cold.
func (th *Throttler) state(ts balancer.Start) *targetState {
	st, ok := th.targets[ts.Target]
	if !ok || !st.started.Equal(ts.Started) {
		return nil
	}
	return st
}
