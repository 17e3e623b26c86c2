package cacher

import (
	"time"

	"lovagebank/balancer"
	"lovagebank/counter"
)

const (
	// shareTimeConstant is the time in which the weight of a measurement decays to 1/e. It is long because an instance of a
	// large fleet sends a long prompt only every few seconds.
	shareTimeConstant = 2 * time.Minute
	// priorWeight is the number of measurements that the initial estimates count for.
	priorWeight = 2.0
	// initialChance is the initial estimate of the probability that the target ranked first has a part from the other instances'
	// requests. Each further target in rank is initially estimated at half of the one before it.
	initialChance = 0.5
)

// hitShares measures how often parts were cached where that was expected. It starts with no measurements.
type hitShares struct {
	// byPosition counts the measurements of prompts whose shared parts this instance did not have cached at the target itself, by
	// the target's position in rank. A hit is due to another instance's request.
	byPosition [balancer.UnrankedPosition + 1]tally
	// own counts those whose parts this instance had cached there. Its expected hits are the sum of the probabilities.
	own tally
}

// tally counts hits and the number of hits expected, both with exponential decay.
type tally struct {
	hits, expected counter.Count
}

// record counts a measurement.
func (hs *hitShares) record(es *balancer.PrefixEstimate, hit bool, now time.Time) {
	if es.Own >= likelyKept {
		hs.own.add(hit, es.Own, now)
		return
	}
	hs.byPosition[min(max(es.Position, 0), balancer.UnrankedPosition)].add(hit, 1, now)
}

func (ta *tally) add(hit bool, expected float64, now time.Time) {
	if ta.hits.At().IsZero() {
		ta.hits, ta.expected = counter.New(shareTimeConstant, now), counter.New(shareTimeConstant, now)
	}
	ta.expected.Add(expected, now)
	if hit {
		ta.hits.Add(1, now)
	}
}

// share returns the share of the expected hits that were hits. It is initially prior.
func (ta *tally) share(prior float64, now time.Time) float64 {
	if ta.hits.At().IsZero() {
		return prior
	}
	share := (ta.hits.ValueAt(now) + prior*priorWeight) / (ta.expected.ValueAt(now) + priorWeight)
	return min(max(share, 0), 1)
}

// chances are the probabilities that follow from the measurements: byPosition that a target has a part from other instances'
// requests, and own is the ratio of hits to expected ones where this instance's requests had the part cached.
type chances struct {
	byPosition [balancer.UnrankedPosition + 1]float64
	own        float64
}

func (hs *hitShares) chances(now time.Time) chances {
	ch := chances{own: hs.own.share(1, now)}
	prior := initialChance
	for at := range hs.byPosition {
		if at == balancer.UnrankedPosition {
			prior = 0
		}
		ch.byPosition[at] = hs.byPosition[at].share(prior, now)
		prior = ch.byPosition[at] / 2
	}
	return ch
}
