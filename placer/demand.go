package placer

import (
	"math"
	"time"
)

type adapterKey struct {
	adapter string
	version string
}

// demand is the measured use of one adapter by this instance, in requests in flight.
type demand struct {
	inFlight int
	// mean is the running mean of requests in flight.
	mean     float64
	at       time.Time
	replicas int
}

// demands holds the adapters in use; adapters that have been idle for long are removed.
type demands struct {
	active  map[adapterKey]*demand
	sweepAt time.Time
}

const (
	// demandDecayTime is the time constant of an adapter's mean use.
	demandDecayTime = 20 * time.Second
	// idleDemand is the mean below which an adapter without requests is removed.
	idleDemand    = 0.01
	sweepInterval = 10 * time.Second
	// growShare is the use per replica, as a share of a target's batch, above which an adapter gets another replica.
	// shrinkShare is the use per remaining replica below which it loses one again.
	growShare   = 0.5
	shrinkShare = 0.3
)

func newDemands() demands { return demands{active: map[adapterKey]*demand{}} }

func (de *demand) decay(now time.Time) {
	elapsed := now.Sub(de.at).Seconds() / demandDecayTime.Seconds()
	de.mean += (float64(de.inFlight) - de.mean) * (1 - math.Exp(-elapsed))
	de.at = now
}

func (ds *demands) started(key adapterKey, now time.Time) {
	de := ds.active[key]
	if de == nil {
		ds.sweep(now)
		de = &demand{at: now, replicas: 1}
		ds.active[key] = de
	}
	de.decay(now)
	de.inFlight++
}

func (ds *demands) finished(key adapterKey, now time.Time) {
	if de := ds.active[key]; de != nil {
		de.decay(now)
		de.inFlight = max(de.inFlight-1, 0)
	}
}

// replicas returns the number of targets that an adapter is spread over, with hysteresis.
func (ds *demands) replicas(key adapterKey, batch int, now time.Time, op Options) int {
	de := ds.active[key]
	if de == nil {
		return 1
	}
	de.decay(now)
	use := de.mean * float64(op.Instances()) / float64(batch)
	for de.replicas < op.MaxReplicas && use > growShare*float64(de.replicas) {
		de.replicas++
	}
	for de.replicas > 1 && use < shrinkShare*float64(de.replicas-1) {
		de.replicas--
	}
	return de.replicas
}

func (ds *demands) sweep(now time.Time) {
	if now.Before(ds.sweepAt) {
		return
	}
	ds.sweepAt = now.Add(sweepInterval)
	for key, de := range ds.active {
		if de.decay(now); de.inFlight == 0 && de.mean < idleDemand {
			delete(ds.active, key)
		}
	}
}
