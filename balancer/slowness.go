package balancer

import "time"

const (
	// The difference in slowness between targets counts in full only while views are fresh. With old views, all instances would
	// send to the same fast targets for as long as the views are old: in simulations of 85 and 300 instances, counting it in
	// full made the times to the first event longer than ignoring it. It counts for minSlownessShare plus slownessShareTime
	// divided by the update interval.
	minSlownessShare  = 0.2
	slownessShareTime = 100 * time.Millisecond
)

// slownessShare returns the share of the targets' slowness that counts at the present update interval.
func (ba *Balancer) slownessShare() float64 {
	interval := ba.op.Interval()
	if interval <= 0 {
		return 1
	}
	return min(1, minSlownessShare+slownessShareTime.Seconds()/interval.Seconds())
}

// extraWork returns what the slowness of a target adds to its weight: its work, and that of a request with a prompt of the
// given number of tokens, take longer there than on a target of usual speed. It is negative for fast targets. Thresholds for
// replicas and loads elsewhere go by the weight alone, as a disturbance ends before an adapter is loaded elsewhere.
func (ba *Balancer) extraWork(st *targetState, promptTokens int) float64 {
	slowness := ba.op.Slowness(st.target.Start())
	if slowness == 1 {
		return 0
	}
	return st.work(promptTokens) * (slowness - 1) * ba.slownessShare()
}

// work returns the part of the weight that is work, including that of a further request with a prompt of the given number of
// tokens.
func (st *targetState) work(promptTokens int) float64 {
	requests := max(st.load+st.inFlight-st.inFlightAtReport, st.inFlight) + 1
	work := float64(requests) / float64(max(st.target.Slots(), 1))
	return work + float64(st.pendingPrefill+promptTokens)/prefillTokensPerTarget
}

// extraPrefill returns what the slowness of a target adds to the prefill of a long prompt, as part of a weight. It is 0 for
// short prompts, so that their adapters are loaded where they rank, and are held in few places.
func (ba *Balancer) extraPrefill(st *targetState, promptTokens int) float64 {
	if promptTokens < minAffinityTokens {
		return 0
	}
	return float64(promptTokens) / prefillTokensPerTarget * (ba.op.Slowness(st.target.Start()) - 1)
}
