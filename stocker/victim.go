package stocker

import (
	"time"

	"lovagebank/balancer"
)

const (
	// unreportedGrace is the time after its load for which an adapter is kept unless a use has been reported: the caller
	// that asked for it is about to use it, and instances report their uses with a delay.
	untoldUse = 600 * time.Millisecond
	// maxReportDelay is the longest such delay in a large fleet. Until then an adapter without a reported use is unloaded
	// only if no other one can be.
	lateTelling = 2 * time.Second
)

// candidate is an adapter that can be unloaded.
type candidate struct {
	adapter balancer.Adapter
	// unreported is set if the caller that asked for the adapter may be using it without a report of that use yet.
	untold bool
	value  float64
}

func (ca candidate) before(other candidate) bool {
	switch {
	case ca.untold != other.untold:
		return other.untold
	case ca.value != other.value:
		return ca.value < other.value
	}
	return ca.adapter.Name < other.adapter.Name
}

// victim returns the least used adapter without known running requests; false if there is none.
func (sk *Stock) victim(now time.Time) (candidate, bool) {
	var best candidate
	found := false
	for ad, sl := range sk.places {
		if !sl.ready || sk.running(ad) || sk.untold(ad, sl, untoldUse, now) {
			continue
		}
		ca := candidate{adapter: ad, untold: sk.untold(ad, sl, lateTelling, now), value: sk.value(ad, now)}
		if !found || ca.before(best) {
			best, found = ca, true
		}
	}
	return best, found
}

// value returns the decayed count of requests for an adapter.
func (sk *Stock) value(ad balancer.Adapter, now time.Time) float64 {
	us, ok := sk.uses[ad]
	if !ok {
		return 0
	}
	return us.count.Now(now)
}

// untold reports whether an adapter was loaded within a time and no use of it has been reported since.
func (sk *Stock) untold(ad balancer.Adapter, sl *place, within time.Duration, now time.Time) bool {
	us, used := sk.uses[ad]
	return now.Sub(sl.loadedAt) < within && (!used || us.lastAt.Before(sl.loadedAt))
}

// running reports whether an instance is known to have running requests on an adapter.
func (sk *Stock) running(ad balancer.Adapter) bool {
	for _, running := range sk.requests {
		if running[ad] > 0 {
			return true
		}
	}
	return false
}
