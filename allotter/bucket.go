package allotter

import (
	"time"

	"lovagebank/counter"
)

// bucket is the state of one organisation's quota at this instance.
type bucket struct {
	rate float64
	// ledger holds the tokens that the fleet may still admit. Until settled is set, the level is an estimate.
	ledger     ledger
	settled    bool
	createdAt  time.Time
	refilledAt time.Time
	own        Tally
	// tokens and requests count the tokens and the requests that arrived here, with exponential decay.
	tokens   counter.Count
	requests counter.Count
	// unreported is the number of tokens admitted here that peers may not know of yet. overdrawn is the part of them that
	// was admitted beyond this instance's share.
	unreported float64
	overdrawn  float64
	// unreportedRequests is the number of requests that unreported sums up.
	unreportedRequests float64
	// lastRefusals holds the time of the last refusal at this instance by rank.
	lastRefusals map[int]time.Time
}

// presume deducts the admissions that a silent peer is presumed to have made at the given rate since its last update or
// since the last call, whichever is later. It returns false if less than presumeStep has passed.
func (bu *bucket) presume(us *usage, rate float64, updatedAt, now time.Time) bool {
	from := updatedAt
	if us.presumedUntil.After(from) {
		from = us.presumedUntil
	}
	if now.Sub(from) < presumeStep {
		return false
	}
	amount := rate * now.Sub(from).Seconds()
	bu.ledger.spread(-amount, from, now)
	us.presumed += amount
	us.presumedUntil = now
	return true
}

// refusedMoreUrgent reports whether a request more urgent than rank was refused within refusalMemory.
func (bu *bucket) refusedMoreUrgent(rank int, now time.Time) bool {
	for other, at := range bu.lastRefusals {
		if other < rank && now.Sub(at) < refusalMemory {
			return true
		}
	}
	return false
}

// affords reports whether a request fits into the tokens that this instance may spend until its peers have its next
// update.
func (bu *bucket) affords(cost, limit float64) bool {
	return bu.unreported-bu.overdrawn+cost <= limit && cost <= bu.ledger.level
}

// mayOverdraw reports whether a request that does not fit into limit may exceed it: a large request, or any request
// while the bucket is well filled and the organisation as a whole therefore stays below its rate.
func (bu *bucket) mayOverdraw(cost, limit float64) bool {
	if bu.unreported > limit {
		return false
	}
	if bu.wellFilled(cost) {
		return true
	}
	return cost >= bu.rate*largeRequestShare && bu.ledger.level > 0 &&
		cost <= bu.ledger.level+bu.rate*maxDebtTime.Seconds()
}

// wellFilled reports whether the bucket is still well filled after deducting cost.
func (bu *bucket) wellFilled(cost float64) bool {
	return bu.ledger.level-cost > bu.ledger.burst*wellFilledShare
}

// spend deducts the cost of an admitted request.
func (bu *bucket) spend(cost float64, now time.Time) {
	bu.ledger.add(-cost, now)
	bu.unreported += cost
	bu.unreportedRequests++
	bu.own.Admitted += cost
}

// applyUsage replaces the presumed admissions of a peer by the admissions that it reported since its previous update.
// Tokens up to the peer's usual rate are spread evenly over that time; the excess is entered as of now, because it may
// have been admitted just before the update. An unsettled bucket adopts the level of the first settled peer instead.
func (bu *bucket) applyUsage(us *usage, admitted float64, lastUpdate, now time.Time) {
	if !bu.settled && us.tally.Settled {
		bu.settled = true
		bu.ledger.reset(us.tally.Remaining, now)
		return
	}
	if begin := bu.ledger.resetAt; lastUpdate.Before(begin) {
		// The initial level of the ledger accounts for admissions before the reset already.
		admitted *= now.Sub(begin).Seconds() / now.Sub(lastUpdate).Seconds()
		lastUpdate = begin
	}
	steady := min(admitted, steadyShare*us.tokensPerSecond*now.Sub(lastUpdate).Seconds())
	if us.presumed > 0 {
		bu.ledger.spread(us.presumed, lastUpdate, us.presumedUntil)
	}
	bu.ledger.spread(-steady, lastUpdate, now)
	bu.ledger.spread(steady-admitted, now, now)
	bu.ledger.recompute()
}
