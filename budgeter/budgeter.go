// Package budgeter bounds the requests of each service that are sent to a further target: to a ratio of the service's
// requests plus a fixed number, over a sliding window. Each instance keeps to its own part, so that the sum over all
// instances stays within the fleet's bound without a message.
package budgeter

import (
	"sync"
	"time"
)

const (
	// slices is the number of parts of a window that are counted separately.
	slices = 10
	// margin is the part of the bound that is used: windows slide, and instances come and go.
	margin = 0.8
)

// Options set a Budgeter up.
type Options struct {
	// Ratio is the part of a service's requests that may be sent again, and Extra the number beyond it in a window,
	// over all instances.
	Ratio float64
	Extra float64
	// Window is the length of the window.
	Window time.Duration
	// Instances returns how many instances share Extra.
	Instances func() int
}

// Budgeter counts requests and retries by service. It is safe for concurrent use.
type Budgeter struct {
	op       Options
	started  time.Time
	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	requests [slices]float64
	retries  [slices]float64
	slice    int64
}

// New makes a budgeter.
func New(op Options) *Budgeter {
	return &Budgeter{op: op, started: time.Now(), services: make(map[string]*window)}
}

func (bu *Budgeter) window(service string) *window {
	wi, ok := bu.services[service]
	if !ok {
		wi = &window{}
		bu.services[service] = wi
	}
	wi.advance(int64(time.Since(bu.started) / (bu.op.Window / slices)))
	return wi
}

func (wi *window) advance(slice int64) {
	for steps := min(slice-wi.slice, slices); steps > 0; steps-- {
		at := (slice - steps + 1) % slices
		wi.requests[at], wi.retries[at] = 0, 0
	}
	wi.slice = max(wi.slice, slice)
}

func sum(counts [slices]float64) float64 {
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
	wi.requests[wi.slice%slices]++
}

// Retry takes one retry of a service from the budget; false where none is left.
func (bu *Budgeter) Retry(service string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	bound := bu.op.Ratio*sum(wi.requests) + bu.op.Extra/float64(max(bu.op.Instances(), 1))
	if sum(wi.retries)+1 > margin*bound {
		return false
	}
	wi.retries[wi.slice%slices]++
	return true
}
