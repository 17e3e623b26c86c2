package allotter

import (
	"math"
	"time"
)

const (
	// lentCertainty is by how many standard deviations of what chance brings an instance may exceed its even part of the
	// demand while the bucket is full, and fewer where it is not. Beyond surgeCertainty it is taken to be asked for more
	// than usual.
	lentCertainty  = 3.0
	surgeCertainty = 2.5
)

// demand is what the whole fleet was asked for of one organisation of late, weighed by demandMemory.
type demand struct {
	tokens   float64
	requests float64
}

func (al *Allotter) demand(name string, bu *bucket, now time.Time) demand {
	de := demand{tokens: bu.asked.ValueAt(now), requests: bu.requests.ValueAt(now)}
	for _, pe := range al.peers {
		if to, ok := pe.tallies[name]; ok {
			de.tokens += to.asked.ValueAt(now)
			de.requests += to.requests.ValueAt(now)
		}
	}
	return de
}

// within is the part of the demand that a rate pays for.
func (de demand) within(rate float64) float64 {
	return min(rate*demandMemory.Seconds()/de.tokens, 1)
}

// plenty tells whether a well filled bucket may lend to a request although this instance's part is spent: the instance
// gets no more requests than may come by chance, and the fleet is not asked for more than the rate.
func (al *Allotter) plenty(bu *bucket, cost float64, de demand, now time.Time) bool {
	if !al.complete || !bu.ample(cost+al.pressing(bu, de)) {
		return false
	}
	pace := de.requests * de.within(bu.rate) / demandMemory.Seconds() / float64(len(al.peers)+1)
	perTelling, perMemory := pace*al.op.Interval().Seconds(), pace*demandMemory.Seconds()
	fill := bu.ledger.level / bu.ledger.burst
	return bu.recent <= likely(perTelling, fill*lentCertainty) &&
		bu.requests.ValueAt(now) <= 1+likely(perMemory, fill*surgeCertainty)
}

// likely is the largest number of requests that comes by chance where a number is expected, but for some standard deviations.
func likely(expected, deviations float64) float64 { return expected + deviations*math.Sqrt(expected) }

// pressing is how much the fleet may have admitted beyond the rate since its instances last told this one, if it is asked
// for more than the rate.
func (al *Allotter) pressing(bu *bucket, de demand) float64 {
	return max(de.tokens/demandMemory.Seconds()-bu.rate, 0) * al.op.Interval().Seconds() / 2
}

// spare is what this instance may spend beyond its part until the others have been told. It is less the more the fleet is
// asked for beyond the rate: what is refused then is not due.
func (al *Allotter) spare(bu *bucket, de demand) float64 {
	if !al.complete {
		return 0
	}
	return al.op.Slack * slackPart * de.within(bu.rate) / float64(len(al.peers)+1)
}
