package balancer

import (
	"math"
	"time"
)

const (
	// demandMemory is the time over which a request's weight in an adapter's demand falls to 1/e.
	demandMemory = 6 * time.Second
	// forgetBelow is the demand, in requests, below which an adapter is no longer counted.
	forgetBelow = 0.02
	// sweepInterval is the time between two passes that forget adapters.
	sweepInterval = 2 * time.Second
	// leastDemand is the demand, in requests, below which an adapter gets no further replica: chance alone may bring it.
	leastDemand = 5
	// replicaShare is the share of an even part of all requests that one replica of an adapter is given.
	replicaShare = 0.35
)

// demand counts requests by adapter with exponential forgetting.
type demand struct {
	counts  map[Adapter]*decayed
	total   decayed
	sweptAt time.Time
}

type decayed struct {
	value float64
	at    time.Time
}

func newDemand() *demand { return &demand{counts: make(map[Adapter]*decayed)} }

func (de *decayed) now(at time.Time) float64 {
	de.value *= math.Exp(-at.Sub(de.at).Seconds() / demandMemory.Seconds())
	de.at = at
	return de.value
}

func (de *demand) add(ad Adapter, at time.Time) {
	co, ok := de.counts[ad]
	if !ok {
		co = &decayed{at: at}
		de.counts[ad] = co
	}
	co.value = co.now(at) + 1
	de.total.value = de.total.now(at) + 1
	if at.Sub(de.sweptAt) > sweepInterval {
		de.sweep(at)
	}
}

func (de *demand) sweep(at time.Time) {
	de.sweptAt = at
	for ad, co := range de.counts {
		if co.now(at) < forgetBelow {
			delete(de.counts, ad)
		}
	}
}

// replicas returns on how many of a number of targets an adapter should be.
func (de *demand) replicas(ad Adapter, targets int, at time.Time) int {
	co, ok := de.counts[ad]
	total := de.total.now(at)
	if !ok || co.now(at) < leastDemand {
		return 1
	}
	share := co.value / total
	count := int(math.Ceil(share * float64(targets) / replicaShare))
	return max(1, min(count, targets))
}
