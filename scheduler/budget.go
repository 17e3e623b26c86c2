package scheduler

import (
	"sync"
	"time"
)

const (
	unlimitedLoads = 1e9
	// fullSpeedLoadTime is the time of a load while the weight store is at full speed.
	fullSpeedLoadTime = 250 * time.Millisecond
	// urgentReserve is the part of the budget that only urgent loads may use.
	urgentReserve = 0.25
)

// LoadBudget limits the loads in flight of an instance to its share of what the weight store serves at full speed. Its
// schedulers borrow from each other by using the same budget. A share below one load is kept by pacing the starts.
type LoadBudget struct {
	share func() float64

	mu       sync.Mutex
	inFlight int
	nextAt   time.Time
	waiters  map[chan struct{}]struct{}
}

// NewLoadBudget makes a budget; share returns the loads in flight that are the instance's part of the fleet's limit.
func NewLoadBudget(share func() float64) *LoadBudget {
	return &LoadBudget{share: share, waiters: map[chan struct{}]struct{}{}}
}

// InFlight returns the loads in flight.
func (bu *LoadBudget) InFlight() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.inFlight
}

// acquire takes leave for one load. Loads that are not urgent leave a part of the budget free.
func (bu *LoadBudget) acquire(now time.Time, urgent bool) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	share := bu.share()
	limit := max(int(share), 1)
	if !urgent && limit > 1 {
		limit = max(int(share*(1-urgentReserve)), 1)
	}
	if bu.inFlight >= limit || (share < 1 && now.Before(bu.nextAt)) {
		return false
	}
	bu.inFlight++
	if share < 1 && share > 0 {
		bu.nextAt = now.Add(time.Duration(float64(fullSpeedLoadTime) / share))
	}
	return true
}

// release ends a load and wakes the schedulers that may wait for leave.
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
