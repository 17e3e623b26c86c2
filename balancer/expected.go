package balancer

import "math"

// ExpectedWork returns the weight of a target for a request with a prompt of the given number of tokens, with the whole
// slowness of the target and without random jitter: it serves to compare targets whose load and pace were read just now. It is
// infinite for an unknown target.
func (ba *Balancer) ExpectedWork(ta *Target, promptTokens int) float64 {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ta.ID()]
	if !ok || !st.target.SameStart(ta) {
		return math.Inf(1)
	}
	return st.weight() + st.work(promptTokens)*(ba.op.Slowness(ta.Start())-1)
}
