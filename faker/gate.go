package faker

import (
	"context"
	"slices"
	"sync"
)

// gate admits a limited number of requests to an engine's batch, the lowest priority number first, then the oldest.
type gate struct {
	mu      sync.Mutex
	limit   int
	inside  int
	waiting []*gateTicket
}

type gateTicket struct {
	priority int
	admitted chan struct{}
}

// enter waits for admission.
func (ga *gate) enter(ctx context.Context, priority int) error {
	ga.mu.Lock()
	if ga.inside < ga.limit {
		ga.inside++
		ga.mu.Unlock()
		return nil
	}
	ticket := &gateTicket{priority, make(chan struct{})}
	place := len(ga.waiting)
	for place > 0 && ga.waiting[place-1].priority > priority {
		place--
	}
	ga.waiting = slices.Insert(ga.waiting, place, ticket)
	ga.mu.Unlock()
	select {
	case <-ticket.admitted:
		return nil
	case <-ctx.Done():
		ga.withdraw(ticket)
		return ctx.Err()
	}
}

// withdraw takes back a ticket, which may have been admitted meanwhile.
func (ga *gate) withdraw(ticket *gateTicket) {
	ga.mu.Lock()
	place := slices.Index(ga.waiting, ticket)
	if place >= 0 {
		ga.waiting = slices.Delete(ga.waiting, place, place+1)
	}
	ga.mu.Unlock()
	if place < 0 {
		ga.leave()
	}
}

// leave frees a place.
func (ga *gate) leave() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if len(ga.waiting) == 0 {
		ga.inside--
		return
	}
	next := ga.waiting[0]
	ga.waiting = ga.waiting[1:]
	close(next.admitted)
}

// counts returns how many are inside and how many wait.
func (ga *gate) counts() (inside, waiting int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.inside, len(ga.waiting)
}
