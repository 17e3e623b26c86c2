package provisioner

import (
	"time"

	"lovagebank/balancer"
)

const (
	// unreportedGrace is the time after its load for which an adapter is kept unless a use has been reported: the caller
	// that asked for it is about to use it, and instances report their uses with a delay.
	unreportedGrace = 600 * time.Millisecond
	// maxReportDelay is the longest such delay in a large fleet. Until then an adapter without a reported use is unloaded
	// only if no other one can be.
	maxReportDelay = 2 * time.Second
)

// candidate is an adapter that can be unloaded.
type candidate struct {
	adapter balancer.Adapter
	// unreported is set if the caller that asked for the adapter may be using it without a report of that use yet.
	unreported bool
	value      float64
}

func (ca candidate) precedes(other candidate) bool {
	switch {
	case ca.unreported != other.unreported:
		return other.unreported
	case ca.value != other.value:
		return ca.value < other.value
	}
	return ca.adapter.Name < other.adapter.Name
}

// victim returns the least used adapter without known running requests; false if there is none.
func (iv *Inventory) victim(now time.Time) (candidate, bool) {
	var best candidate
	found := false
	for ad, sl := range iv.slots {
		if !sl.ready || iv.running(ad) || iv.useUnreported(ad, sl, unreportedGrace, now) {
			continue
		}
		ca := candidate{adapter: ad, unreported: iv.useUnreported(ad, sl, maxReportDelay, now), value: iv.value(ad, now)}
		if !found || ca.precedes(best) {
			best, found = ca, true
		}
	}
	return best, found
}

// value returns the decayed count of requests for an adapter.
func (iv *Inventory) value(ad balancer.Adapter, now time.Time) float64 {
	us, ok := iv.uses[ad]
	if !ok {
		return 0
	}
	return us.count.ValueAt(now)
}

// useUnreported reports whether an adapter was loaded within a time and no use of it has been reported since.
func (iv *Inventory) useUnreported(ad balancer.Adapter, sl *slot, within time.Duration, now time.Time) bool {
	us, used := iv.uses[ad]
	return now.Sub(sl.loadedAt) < within && (!used || us.lastAt.Before(sl.loadedAt))
}

// running reports whether an instance is known to have running requests on an adapter.
func (iv *Inventory) running(ad balancer.Adapter) bool {
	for _, running := range iv.requests {
		if running[ad] > 0 {
			return true
		}
	}
	return false
}
