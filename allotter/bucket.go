package allotter

import (
	"time"

	"lovagebank/decayer"
)

// bucket is what an instance knows of one organisation's allowance.
type bucket struct {
	rate float64
	// ledger holds what the fleet may still admit. It is a guess until settled.
	ledger  ledger
	settled bool
	metAt   time.Time
	at      time.Time
	own     Tally
	// asked counts the tokens and requests the number of requests asked for here.
	asked    decayer.Count
	requests decayer.Count
	// unheard is what this instance has admitted that the others may not have been told of yet, and lent what of it was
	// lent to large requests.
	unheard float64
	lent    float64
	// recent is the number of requests in unheard.
	recent float64
	// refusals are the times of the last refusals here by urgency.
	refusals map[int]time.Time
}

// presume enters what a silent peer is presumed to have admitted at a rate since it was last heard, or since this was
// last worked out; false where that is too short ago.
func (bu *bucket) presume(to *told, rate float64, heardAt, now time.Time) bool {
	from := heardAt
	if to.presumedTo.After(from) {
		from = to.presumedTo
	}
	if now.Sub(from) < presumeStep {
		return false
	}
	amount := rate * now.Sub(from).Seconds()
	bu.ledger.spread(-amount, from, now)
	to.presumed += amount
	to.presumedTo = now
	return true
}

// refusesBefore tells whether a request more urgent than a rank has been refused of late.
func (bu *bucket) refusesBefore(rank int, now time.Time) bool {
	for other, at := range bu.refusals {
		if other < rank && now.Sub(at) < refusalMemory {
			return true
		}
	}
	return false
}

// affords tells whether a request fits into the part that this instance may spend until the others have been told.
func (bu *bucket) affords(cost, part float64) bool {
	return bu.unheard-bu.lent+cost <= part && cost <= bu.ledger.level
}

// lends tells whether a request for which the part would not pay may be lent to beyond it: a large one, or any while the
// bucket is well filled, so that the organisation as a whole stays below its rate.
func (bu *bucket) lends(cost, part float64) bool {
	if bu.unheard > part {
		return false
	}
	if bu.ample(cost) {
		return true
	}
	return cost >= bu.rate*largePart && bu.ledger.level > 0 && cost <= bu.ledger.level+bu.rate*debtTime.Seconds()
}

// ample tells whether the bucket is still well filled after a cost.
func (bu *bucket) ample(cost float64) bool { return bu.ledger.level-cost > bu.ledger.burst*amplePart }

// spend enters a request that is admitted.
func (bu *bucket) spend(cost float64, now time.Time) {
	bu.ledger.enter(-cost, now)
	bu.unheard += cost
	bu.recent++
	bu.own.Admitted += cost
}

// hear takes in what a peer has admitted since it was last heard, in place of what was presumed. What it usually asks for
// came evenly over that time; what goes beyond may have come just now. Until settled, the bucket goes by what a settled
// peer believes is left.
func (bu *bucket) hear(to *told, admitted float64, before, now time.Time) {
	if !bu.settled && to.tally.Settled {
		bu.settled = true
		bu.ledger.reset(to.tally.Remaining, now)
		return
	}
	if begin := bu.ledger.began; before.Before(begin) {
		// The level that the ledger began with already lacks what was admitted before.
		admitted *= now.Sub(begin).Seconds() / now.Sub(before).Seconds()
		before = begin
	}
	usual := min(admitted, usualPart*to.pace*now.Sub(before).Seconds())
	if to.presumed > 0 {
		bu.ledger.spread(to.presumed, before, to.presumedTo)
	}
	bu.ledger.spread(-usual, before, now)
	bu.ledger.spread(usual-admitted, now, now)
	bu.ledger.settle()
}
