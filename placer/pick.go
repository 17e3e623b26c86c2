package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagebank/requester"
)

const (
	// extraCandidates is the number of preferred targets that are compared beyond an adapter's replicas.
	extraCandidates = 8
	// overloadLoad is the load, in full batches, from which targets of other regions are considered.
	overloadLoad = 1.5

	// The parts of a target's cost, in units of its full batch.
	costNotResident = 0.6
	costSlot        = 1.0
	costRank        = 0.1
	costQueued      = 0.3
	costWait        = 1.0
	costOtherDomain = 0.05
	costRemote      = 0.5
)

// pick returns the adapter's preferred target with the lowest cost; nil if there is none.
func (pl *Placer) pick(rq *requester.Request, key adapterKey, exclude []string, now time.Time) *targetState {
	po := pl.table[rq.Base()]
	if po == nil {
		return nil
	}
	replicas := pl.demands.replicas(key, po.batch, now, pl.options)
	ch := chooser{pl: pl, key: key, organisation: rq.Organisation(), replicas: replicas, exclude: exclude, now: now}
	ch.hash = xxhash.Sum64String(rq.Adapter())
	best, cost := ch.cheapest(po.local)
	if best != nil && best.load(now) < overloadLoad {
		return best
	}
	other, otherCost := ch.cheapest(po.remote)
	if other != nil && (best == nil || otherCost+costRemote < cost) {
		return other
	}
	return best
}

// chooser compares the costs of targets for one request.
type chooser struct {
	pl           *Placer
	key          adapterKey
	organisation string
	hash         uint64
	replicas     int
	exclude      []string
	now          time.Time
}

func (ch *chooser) cheapest(candidates []candidate) (*targetState, float64) {
	best, cost := ch.cheapestByRank(candidates, false)
	if best == nil {
		return ch.cheapestByRank(candidates, true)
	}
	return best, cost
}

// cheapestByRank ranks all candidates by hash and returns the one with the lowest cost among the first few. Ejected
// targets are left out unless fewer than Options.EjectionFloor would remain.
func (ch *chooser) cheapestByRank(candidates []candidate, ejected bool) (*targetState, float64) {
	pr := &ch.pl.scratch
	pr.reset(ch.replicas + extraCandidates)
	skipped := 0
	for index := range candidates {
		ca := &candidates[index]
		if !ejected && ch.now.Before(ca.state.ejectedUntil) {
			skipped++
			continue
		}
		if len(ch.exclude) > 0 && slices.Contains(ch.exclude, ca.state.target.GetId()) {
			continue
		}
		pr.add(rendezvousScore(ch.hash, ca.hash), ca.state)
	}
	if !ejected && float64(skipped) > (1-ch.pl.options.EjectionFloor)*float64(len(candidates)) {
		return ch.cheapestByRank(candidates, true)
	}
	var best *targetState
	least := math.Inf(1)
	for rank, sc := range pr.list[:pr.count] {
		if ch.pl.backoff.active(backoffKey{sc.state.target.GetId(), ch.key}, ch.now) {
			continue
		}
		if cost := ch.cost(rank, sc.state); cost < least {
			best, least = sc.state, cost
		}
	}
	return best, least
}

// cost sums a target's costs for its load, its queue, the expected wait, its rank beyond the adapter's replicas, another
// failure domain and the load of an adapter that is not resident.
func (ch *chooser) cost(rank int, ts *targetState) float64 {
	load := ts.load(ch.now)
	cost := load + costQueued*max(load-1, 0) + costWait*ts.expectedWait(ch.organisation, ch.now)
	if beyond := rank - ch.replicas + 1; beyond > 0 {
		cost += costRank * float64(beyond)
	}
	if ts.target.GetFailureDomain() != ch.pl.options.FailureDomain {
		cost += costOtherDomain
	}
	if _, ok := ts.resident[ch.key]; !ok {
		cost += costNotResident + costSlot*ts.slotPressure(ch.now)
	}
	return cost
}
