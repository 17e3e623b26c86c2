package balancer

import "time"

const (
	// unreadPerTarget is the number of prompt tokens not yet read that weigh as much as a whole target's slots: reading them
	// takes about as long as a stream may pause.
	unreadPerTarget = 6000
	// turnWait is the wait for a prompt's turn that weighs as much as a whole target's slots: a request that waits for so long
	// is hardly in time.
	turnWait = 500 * time.Millisecond
	// failurePenalty is what a target that fails all its requests weighs more, in shares of its slots.
	failurePenalty = 2.0
	// overduePenalty is what each overdue request of the instance's own adds.
	overduePenalty = 0.35
	// otherDomainPenalty prefers targets in the instance's own failure domain among equals.
	otherDomainPenalty = 0.02
	// jitter keeps instances with the same beliefs from all choosing the same target. The older the word on a target's
	// load, the less it decides: jitterPerSecond is added for its age, up to mostJitter, in shares of a target's slots.
	jitter          = 0.04
	jitterPerSecond = 0.25
	mostJitter      = 0.5
)

// weight is the believed load of a target with the wait for a prompt's turn there, in shares of its slots.
func (st *state) weight() float64 {
	return st.loadWeight() + max(time.Until(st.turnAt).Seconds(), 0)/turnWait.Seconds()
}

// loadWeight is the believed load of a target, in shares of its slots.
func (st *state) loadWeight() float64 {
	requests := max(st.load+st.inFlight-st.inFlightThen, st.inFlight)
	weight := float64(requests) / float64(max(st.target.Slots(), 1))
	weight += float64(st.unread) / unreadPerTarget
	weight += st.failureShare * failurePenalty
	return weight + float64(st.overdue)*overduePenalty
}

// cost is what speaks against a target: its believed load, with chance where that is not certain.
func (ba *Balancer) cost(st *state, now time.Time) float64 {
	spread := min(jitter+jitterPerSecond*now.Sub(st.loadAt).Seconds(), mostJitter)
	cost := st.weight() + ba.op.Random()*spread
	if st.target.FailureDomain() != ba.op.FailureDomain {
		cost += otherDomainPenalty
	}
	return cost
}

func (ba *Balancer) idlest(states []*state, now time.Time) *state {
	best, least := states[0], ba.cost(states[0], now)
	for _, st := range states[1:] {
		if cost := ba.cost(st, now); cost < least {
			best, least = st, cost
		}
	}
	return best
}
