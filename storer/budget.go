package storer

import (
	"context"
	"sync"
	"time"

	"lovagebank/pauser"
)

// budget is a token bucket of calls. Callers reserve a call each and wait their turn, in order.
type budget struct {
	mu       sync.Mutex
	interval time.Duration
	burst    time.Duration
	// free is the time at which the bucket was, or will be, full to one call.
	free time.Time
}

func newBudget(callsPerSecond float64, burst int) *budget {
	interval := time.Duration(float64(time.Second) / callsPerSecond)
	return &budget{interval: interval, burst: time.Duration(burst-1) * interval}
}

// take waits for a call's turn. It returns ErrOverBudget at once if the turn comes later than longest or the context's deadline.
func (bd *budget) take(ctx context.Context, longest time.Duration) error {
	wait, ok := bd.reserve(time.Now(), allowance(ctx, longest))
	if !ok {
		return ErrOverBudget
	}
	if wait > 0 && !pauser.For(ctx, wait) {
		return ErrUnavailable
	}
	return nil
}

func (bd *budget) reserve(now time.Time, longest time.Duration) (time.Duration, bool) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if earliest := now.Add(-bd.burst); bd.free.Before(earliest) {
		bd.free = earliest
	}
	wait := bd.free.Sub(now)
	if wait > longest {
		return 0, false
	}
	bd.free = bd.free.Add(bd.interval)
	return wait, true
}

func allowance(ctx context.Context, longest time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, time.Until(deadline))
	}
	return longest
}
