package scheduler

import (
	"sync"
	"time"
)

const (
	unlimitedLoads = 1e9
	// fullSpeedLoadTime is the duration of a load while the weight store is at full speed.
	fullSpeedLoadTime = 250 * time.Millisecond
	// urgentReserveShare is the share of the budget that only urgent loads may use.
	urgentReserveShare = 0.25
)

// LoadBudget limits the adapter loads in flight of an instance to its share of the loads that the weight store serves at
// full speed. All schedulers of the instance use the same budget, so that one can use what another leaves free. A share
// below one load is enforced by spacing the starts of loads. Its methods may be called from any goroutine.
type LoadBudget struct {
	share func() float64

	mu          sync.Mutex
	inFlight    int
	nextStartAt time.Time
	waiters     map[chan struct{}]struct{}
}

// NewLoadBudget returns a budget. The function share returns the instance's share of the fleet's limit, in loads in flight;
// it may be a fraction.
func NewLoadBudget(share func() float64) *LoadBudget {
	return &LoadBudget{share: share, waiters: map[chan struct{}]struct{}{}}
}

// InFlight returns the number of adapter loads in flight.
func (bu *LoadBudget) InFlight() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.inFlight
}

// acquire reserves one load and reports whether the budget allows it. Loads that are not urgent leave
// urgentReserveShare of the budget free.
func (bu *LoadBudget) acquire(now time.Time, urgent bool) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	share := bu.share()
	limit := max(int(share), 1)
	if !urgent && limit > 1 {
		limit = max(int(share*(1-urgentReserveShare)), 1)
	}
	if bu.inFlight >= limit || (share < 1 && now.Before(bu.nextStartAt)) {
		return false
	}
	bu.inFlight++
	if share < 1 && share > 0 {
		bu.nextStartAt = now.Add(time.Duration(float64(fullSpeedLoadTime) / share))
	}
	return true
}

// release ends a load and wakes the subscribed schedulers, which may wait for a load.
func (bu *LoadBudget) release() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.inFlight--
	for waiter := range bu.waiters {
		select {
		case waiter <- struct{}{}:
		default:
		}
	}
}

func (bu *LoadBudget) subscribe(waiter chan struct{}) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.waiters[waiter] = struct{}{}
}

func (bu *LoadBudget) unsubscribe(waiter chan struct{}) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	delete(bu.waiters, waiter)
}
