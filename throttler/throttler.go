// Package throttler keeps the rate limits that targets name in their answers. It performs no I/O.
package throttler

import (
	"sync"
	"time"

	"lovagebank/balancer"
)

// lapseRetention is how long a lapsed limit is remembered and told to peers that may still believe in it.
const lapseRetention = 30 * time.Second

// Throttler keeps the rate limits that targets have named. It is safe for concurrent use.
type Throttler struct {
	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState is what is known of one start of a target that has named a rate limit.
type targetState struct {
	started time.Time
	limit   Limit
	// changedAt is when the limit last changed, at this instance.
	changedAt time.Time
}

// New returns a throttler that knows no limits.
func New() *Throttler {
	return &Throttler{targets: make(map[string]*targetState)}
}

// Remove forgets a target that has been removed from the platform's list.
func (th *Throttler) Remove(target string) {
	th.mu.Lock()
	defer th.mu.Unlock()
	delete(th.targets, target)
}

// state returns what is known of a start of a target; nil if it has named no limit.
func (th *Throttler) state(ts balancer.Start) *targetState {
	st, ok := th.targets[ts.Target]
	if !ok || !st.started.Equal(ts.Started) {
		return nil
	}
	return st
}
