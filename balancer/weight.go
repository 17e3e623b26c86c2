package balancer

import "time"

const (
	// prefillTokensPerTarget is the number of pending prompt tokens that weigh as much as all slots of a target. Their prefill
	// takes about as long as a stream may pause.
	prefillTokensPerTarget = 6000
	// turnWaitPerTarget is the wait for a prompt's turn that weighs as much as all slots of a target. A request that waits for
	// so long is hardly in time.
	turnWaitPerTarget = 500 * time.Millisecond
	// failurePenalty is added to the weight of a target that fails all its requests, as a share of its slots.
	failurePenalty = 2.0
	// overduePenalty is added for each overdue request of the instance's own, as a share of the target's slots.
	overduePenalty = 0.35
	// otherDomainPenalty makes the instance prefer its own failure domain among equally loaded targets. With
	// Options.PreferLocal, targets of other domains are used once those of the own domain are busier by localSlack. Both are
	// shares of a target's slots.
	otherDomainPenalty = 0.02
	localSlack         = 0.25
	// Random jitter keeps instances with the same view from all choosing the same target. It is at most baseJitter for a fresh
	// load report and grows by jitterPerSecond with the report's age, up to maxJitter, as an older report says less about the
	// load. All are shares of a target's slots.
	baseJitter      = 0.04
	jitterPerSecond = 0.25
	maxJitter       = 0.5
)

// weight returns the estimated load of a target plus the wait for a prompt's turn there, as a share of its slots.
func (st *targetState) weight() float64 {
	return st.loadWeight() + max(time.Until(st.turnAt).Seconds(), 0)/turnWaitPerTarget.Seconds()
}

// loadWeight returns the estimated load of a target, as a share of its slots.
func (st *targetState) loadWeight() float64 {
	weight := float64(st.requests()) / float64(max(st.target.Slots(), 1))
	weight += float64(st.pendingPrefill) / prefillTokensPerTarget
	weight += st.failureRatio * failurePenalty
	return weight + float64(st.overdue)*overduePenalty
}

// cost returns the cost of choosing a target for a prompt of the given number of tokens: its weight, the extra work due to its
// slowness, random jitter that grows with the age of the load report, and a penalty if the target runs in another failure
// domain.
func (ba *Balancer) cost(st *targetState, promptTokens int, now time.Time) float64 {
	jitter := min(baseJitter+jitterPerSecond*now.Sub(st.loadAt).Seconds(), maxJitter)
	cost := st.weight() + ba.extraWork(st, promptTokens) + ba.op.Random()*jitter
	if !ba.isLocal(st) {
		cost += ba.domainPenalty()
	}
	return cost
}

// isLocal reports whether a target runs in the failure domain of the instance.
func (ba *Balancer) isLocal(st *targetState) bool {
	return st.target.FailureDomain() == ba.op.FailureDomain
}

func (ba *Balancer) domainPenalty() float64 {
	if ba.op.PreferLocal {
		return localSlack
	}
	return otherDomainPenalty
}

func (ba *Balancer) leastLoaded(states []*targetState, promptTokens int, now time.Time) *targetState {
	best, lowest := states[0], ba.cost(states[0], promptTokens, now)
	for _, st := range states[1:] {
		if cost := ba.cost(st, promptTokens, now); cost < lowest {
			best, lowest = st, cost
		}
	}
	return best
}
