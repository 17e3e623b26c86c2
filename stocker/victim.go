package stocker

import (
	"time"

	"lovagebank/balancer"
)

const (
	// untoldUse is how long after its load an adapter is kept unless a use has been told: whoever asked for it is about
	// to use it, and instances tell of their uses with a delay.
	untoldUse = 600 * time.Millisecond
	// lateTelling is the longest such delay in a large fleet. Until then an adapter without a use that has been told goes
	// only where no other can.
	lateTelling = 2 * time.Second
)

// candidate is an adapter that can be given up.
type candidate struct {
	adapter balancer.Adapter
	// untold tells that it may be in use by whoever asked for it.
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

// victim picks the least used adapter that nobody is known to use now.
func (sk *Stock) victim(now time.Time) (candidate, bool) {
	var best candidate
	found := false
	for ad, pl := range sk.places {
		if !pl.ready || sk.running(ad) || sk.untold(ad, pl, untoldUse, now) {
			continue
		}
		ca := candidate{adapter: ad, untold: sk.untold(ad, pl, lateTelling, now), value: sk.value(ad, now)}
		if !found || ca.before(best) {
			best, found = ca, true
		}
	}
	return best, found
}

// value is how much an adapter was used of late.
func (sk *Stock) value(ad balancer.Adapter, now time.Time) float64 {
	us, ok := sk.uses[ad]
	if !ok {
		return 0
	}
	return us.count.ValueAt(now)
}

// untold tells whether an adapter was loaded within a time and no use of it has been told since.
func (sk *Stock) untold(ad balancer.Adapter, pl *place, within time.Duration, now time.Time) bool {
	us, used := sk.uses[ad]
	return now.Sub(pl.loadedAt) < within && (!used || us.lastAt.Before(pl.loadedAt))
}

// running tells whether an instance is known to have requests on an adapter.
func (sk *Stock) running(ad balancer.Adapter) bool {
	for _, running := range sk.requests {
		if running[ad] > 0 {
			return true
		}
	}
	return false
}
