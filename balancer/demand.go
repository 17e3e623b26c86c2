package balancer

import (
	"math"
	"time"

	"lovagebank/decayer"
)

const (
	// demandMemory is the time over which a request's weight in an adapter's demand falls to 1/e.
	demandMemory = 6 * time.Second
	// forgetBelow is the demand, in requests, below which an adapter is no longer counted.
	forgetBelow = 0.02
	// sweepInterval is the time between two passes that forget adapters.
	sweepInterval = 2 * time.Second
	// leastDemand is the demand, in requests, below which an adapter gets no further replica: chance alone may bring it.
	leastDemand = 2.5
	// certainty is by how many standard deviations of what chance brings the demand is taken lower than it was counted.
	certainty = 1.0
	// replicaShare is the share of an even part of all requests that one replica of an adapter is given.
	replicaShare = 0.35
)

// demand counts requests by adapter with exponential forgetting.
type demand struct {
	counts  map[Adapter]*decayer.Count
	total   decayer.Count
	sweptAt time.Time
}

func newDemand() *demand {
	return &demand{counts: make(map[Adapter]*decayer.Count), total: decayer.New(demandMemory, time.Time{})}
}

func (de *demand) add(ad Adapter, at time.Time) {
	co, ok := de.counts[ad]
	if !ok {
		fresh := decayer.New(demandMemory, at)
		co = &fresh
		de.counts[ad] = co
	}
	co.Add(1, at)
	de.total.Add(1, at)
	if at.Sub(de.sweptAt) > sweepInterval {
		de.sweep(at)
	}
}

func (de *demand) sweep(at time.Time) {
	de.sweptAt = at
	for ad, co := range de.counts {
		if co.ValueAt(at) < forgetBelow {
			delete(de.counts, ad)
		}
	}
}

// replicas returns on how many of a number of targets an adapter should be.
func (de *demand) replicas(ad Adapter, targets int, at time.Time) int {
	co, ok := de.counts[ad]
	if !ok {
		return 1
	}
	count := co.ValueAt(at)
	return replicas(count, de.total.ValueAt(at), targets)
}

// replicas returns on how many of a number of targets an adapter should be that has a count of a total of requests.
func replicas(count, total float64, targets int) int {
	if count < leastDemand {
		return 1
	}
	share := (count - certainty*math.Sqrt(count)) / total
	wanted := int(math.Ceil(share * float64(targets) / replicaShare))
	return max(1, min(wanted, targets))
}
