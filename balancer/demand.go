package balancer

import (
	"math"
	"time"

	"lovagebank/counter"
)

const (
	// demandTimeConstant is the time in which a request's weight in an adapter's demand decays to 1/e.
	demandTimeConstant = 6 * time.Second
	// minTrackedDemand is the demand, in requests, below which an adapter is no longer counted.
	minTrackedDemand = 0.02
	// sweepInterval is the time between two passes that remove adapters without demand.
	sweepInterval = 2 * time.Second
	// minReplicationDemand is the demand, in requests, below which an adapter gets no further replica, as chance alone can
	// cause such a demand.
	minReplicationDemand = 2.5
	// demandMargin is the number of standard deviations of a random arrival count that are subtracted from the counted demand.
	demandMargin = 1.0
	// localReplicaDemand is the fleet's demand, in requests, from which each failure domain holds a replica of its own. The
	// requests that stay in the domain while the replica is used then outweigh the adapter's load by far.
	localReplicaDemand = 30
	// replicaShare is the load of one replica of an adapter, as a share of one target's even part of all requests.
	replicaShare = 0.35
)

// demand counts requests by adapter with exponential decay.
type demand struct {
	counts  map[Adapter]*counter.Count
	total   counter.Count
	sweptAt time.Time
}

func newDemand() *demand {
	return &demand{counts: make(map[Adapter]*counter.Count), total: counter.New(demandTimeConstant, time.Time{})}
}

func (de *demand) add(ad Adapter, at time.Time) {
	co, ok := de.counts[ad]
	if !ok {
		created := counter.New(demandTimeConstant, at)
		co = &created
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
		if co.ValueAt(at) < minTrackedDemand {
			delete(de.counts, ad)
		}
	}
}

// replicas returns how many of the given number of targets should hold an adapter.
func (de *demand) replicas(ad Adapter, targets int, at time.Time) int {
	co, ok := de.counts[ad]
	if !ok {
		return 1
	}
	count := co.ValueAt(at)
	return replicas(count, de.total.ValueAt(at), targets)
}

// replicas returns how many of the given number of targets should hold an adapter that has count of the total requests.
func replicas(count, total float64, targets int) int {
	if count < minReplicationDemand {
		return 1
	}
	share := (count - demandMargin*math.Sqrt(count)) / total
	desired := int(math.Ceil(share * float64(targets) / replicaShare))
	return max(1, min(desired, targets))
}
