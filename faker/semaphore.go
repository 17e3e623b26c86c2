package faker

import (
	"context"
	"slices"
	"sync"
)

// prioritySemaphore admits a limited number of requests to an engine's batch. Waiting requests are admitted in the
// order of their priority number, lowest first, then of their arrival.
type prioritySemaphore struct {
	mu      sync.Mutex
	limit   int
	running int
	waiting []*semaphoreWaiter
}

type semaphoreWaiter struct {
	priority int
	admitted chan struct{}
}

// acquire waits for admission. It returns the context's error when the context ends first.
func (ps *prioritySemaphore) acquire(ctx context.Context, priority int) error {
	ps.mu.Lock()
	if ps.running < ps.limit {
		ps.running++
		ps.mu.Unlock()
		return nil
	}
	waiter := &semaphoreWaiter{priority, make(chan struct{})}
	position := len(ps.waiting)
	for position > 0 && ps.waiting[position-1].priority > priority {
		position--
	}
	ps.waiting = slices.Insert(ps.waiting, position, waiter)
	ps.mu.Unlock()
	select {
	case <-waiter.admitted:
		return nil
	case <-ctx.Done():
		ps.cancel(waiter)
		return ctx.Err()
	}
}

// cancel removes a waiter from the queue. If it was admitted in the meantime, cancel releases its slot.
func (ps *prioritySemaphore) cancel(waiter *semaphoreWaiter) {
	ps.mu.Lock()
	position := slices.Index(ps.waiting, waiter)
	if position >= 0 {
		ps.waiting = slices.Delete(ps.waiting, position, position+1)
	}
	ps.mu.Unlock()
	if position < 0 {
		ps.release()
	}
}

// release frees a slot, or hands it to the next waiter.
func (ps *prioritySemaphore) release() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if len(ps.waiting) == 0 {
		ps.running--
		return
	}
	next := ps.waiting[0]
	ps.waiting = ps.waiting[1:]
	close(next.admitted)
}

// counts returns the number of admitted requests and of waiting ones.
func (ps *prioritySemaphore) counts() (running, waiting int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.running, len(ps.waiting)
}
