// Package budgeter implements the retry budget: over a sliding window, the retries of each service at further targets
// are limited to a ratio of the service's requests plus a fixed number. Each instance enforces its own share, so the
// sum over all instances stays within the fleet's limit without any messages.
package budgeter

import (
	"sync"
	"time"
)

const (
	// slotsPerWindow is the number of slots of a window that are counted separately.
	slotsPerWindow = 10
	// usableShare is the share of the limit that is used. The rest covers the coarse steps of the sliding window and
	// changes in the number of instances.
	usableShare = 0.8
)

// Options configures a Budgeter.
type Options struct {
	// Ratio is the number of retries per request of a service, and Extra the number of retries beyond it in a window, over
	// all instances.
	Ratio float64
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances returns the number of instances that share Extra.
	Instances func() int
}

// Budgeter counts requests and retries by service. It is safe for concurrent use.
type Budgeter struct {
	op       Options
	started  time.Time
	mu       sync.Mutex
	services map[string]*window
}

// window counts the requests and retries of one service in a ring of slots.
type window struct {
	requests [slotsPerWindow]float64
	retries  [slotsPerWindow]float64
	// slot is the number of the current slot, counted since the start of the Budgeter.
	slot int64
}

// New returns a Budgeter without counted requests.
func New(op Options) *Budgeter {
	return &Budgeter{op: op, started: time.Now(), services: make(map[string]*window)}
}

// window returns the window of a service, created if needed and advanced to the current slot.
func (bu *Budgeter) window(service string) *window {
	wi, ok := bu.services[service]
	if !ok {
		wi = &window{}
		bu.services[service] = wi
	}
	wi.advance(int64(time.Since(bu.started) / (bu.op.Window / slotsPerWindow)))
	return wi
}

// advance clears the slots between the current one and the given slot and makes the given one current.
func (wi *window) advance(slot int64) {
	for steps := min(slot-wi.slot, slotsPerWindow); steps > 0; steps-- {
		at := (slot - steps + 1) % slotsPerWindow
		wi.requests[at], wi.retries[at] = 0, 0
	}
	wi.slot = max(wi.slot, slot)
}

func sum(counts [slotsPerWindow]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}

// Request counts a request of a service.
func (bu *Budgeter) Request(service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	wi.requests[wi.slot%slotsPerWindow]++
}

// Retry reports whether the budget of a service allows another retry and, if so, deducts it.
func (bu *Budgeter) Retry(service string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	bound := bu.op.Ratio*sum(wi.requests) + bu.op.Extra/float64(max(bu.op.Instances(), 1))
	if sum(wi.retries)+1 > usableShare*bound {
		return false
	}
	wi.retries[wi.slot%slotsPerWindow]++
	return true
}
