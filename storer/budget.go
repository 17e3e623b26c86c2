package storer

import (
	"context"
	"sync"
	"time"

	"lovagebank/sleeper"
)

// budget is a token bucket that limits the rate of calls. Calls are served in the order of their reservations.
type budget struct {
	mu       sync.Mutex
	interval time.Duration
	burst    time.Duration
	// available is the time, past or future, at which the bucket holds exactly one call.
	available time.Time
}

func newBudget(callsPerSecond float64, burst int) *budget {
	interval := time.Duration(float64(time.Second) / callsPerSecond)
	return &budget{interval: interval, burst: time.Duration(burst-1) * interval}
}

// wait blocks until the budget admits a call. It returns ErrOverBudget without waiting if that takes longer than maxWait or
// until after the context's deadline.
func (bd *budget) wait(ctx context.Context, maxWait time.Duration) error {
	delay, ok := bd.reserve(time.Now(), capToDeadline(ctx, maxWait))
	if !ok {
		return ErrOverBudget
	}
	if delay > 0 && !sleeper.For(ctx, delay) {
		return ErrUnavailable
	}
	return nil
}

// reserve takes one call from the bucket and returns the delay until it is available. It takes none and returns false if
// the delay exceeds maxWait.
func (bd *budget) reserve(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if earliest := now.Add(-bd.burst); bd.available.Before(earliest) {
		bd.available = earliest
	}
	delay := bd.available.Sub(now)
	if delay > maxWait {
		return 0, false
	}
	bd.available = bd.available.Add(bd.interval)
	return delay, true
}

// capToDeadline returns maxWait, or the time until the context's deadline if that is shorter.
func capToDeadline(ctx context.Context, maxWait time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline))
	}
	return maxWait
}
