package allotter

import (
	"math"
	"time"
)

const (
	// overdraftDeviations is the number of standard deviations by which the requests between two updates may exceed an
	// equal share of the demand while the bucket is full; it shrinks with the fill of the bucket. surgeDeviations is the
	// same bound for the requests within demandDecayTime; demand beyond it counts as a surge.
	overdraftDeviations = 3.0
	surgeDeviations     = 2.5
)

// demand is the recent demand of one organisation on the whole fleet, with a decay time of demandDecayTime.
type demand struct {
	tokens   float64
	requests float64
}

// demand sums up the recent demand of an organisation at this instance and at all peers.
func (al *Allotter) demand(name string, bu *bucket, now time.Time) demand {
	de := demand{tokens: bu.tokens.ValueAt(now), requests: bu.requests.ValueAt(now)}
	for _, pe := range al.peers {
		if us, ok := pe.usages[name]; ok {
			de.tokens += us.tokens.ValueAt(now)
			de.requests += us.requests.ValueAt(now)
		}
	}
	return de
}

// covered returns the fraction of the demand that the rate covers, at most 1.
func (de demand) covered(rate float64) float64 {
	return min(rate*demandDecayTime.Seconds()/de.tokens, 1)
}

// mayExceedShare reports whether a request may overdraw a spent share because the bucket is well filled: this instance
// receives no more requests than random variation explains, and the bucket stays well filled after the excess demand of
// the fleet.
func (al *Allotter) mayExceedShare(bu *bucket, cost float64, de demand, now time.Time) bool {
	if !al.peersComplete || !bu.wellFilled(cost+al.excessDemand(bu, de)) {
		return false
	}
	pace := de.requests * de.covered(bu.rate) / demandDecayTime.Seconds() / float64(len(al.peers)+1)
	perUpdate, perDecayTime := pace*al.op.Interval().Seconds(), pace*demandDecayTime.Seconds()
	fill := bu.ledger.level / bu.ledger.burst
	return bu.unreportedRequests <= maxLikely(perUpdate, fill*overdraftDeviations) &&
		bu.requests.ValueAt(now) <= 1+maxLikely(perDecayTime, fill*surgeDeviations)
}

// maxLikely returns the upper bound of a random number of requests: the expected number plus the given number of
// standard deviations of a Poisson distribution.
func maxLikely(expected, deviations float64) float64 {
	return expected + deviations*math.Sqrt(expected)
}

// excessDemand returns the tokens that the fleet may have admitted beyond the rate since the last updates of the peers,
// which are assumed to be half an interval old. It is zero while the demand is within the rate.
func (al *Allotter) excessDemand(bu *bucket, de demand) float64 {
	return max(de.tokens/demandDecayTime.Seconds()-bu.rate, 0) * al.op.Interval().Seconds() / 2
}

// slackAllowance returns the tokens that this instance may spend beyond its share until its peers have its next update.
// It shrinks as the demand on the fleet exceeds the rate, because the excess is not within the quota and may be
// refused.
func (al *Allotter) slackAllowance(bu *bucket, de demand) float64 {
	if !al.peersComplete {
		return 0
	}
	return al.op.Slack * usableSlack * de.covered(bu.rate) / float64(len(al.peers)+1)
}
