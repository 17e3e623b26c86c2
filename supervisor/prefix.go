package supervisor

import "lovagebank/acceptor"

// prefixCache reports whether the choice among the engines of a service takes into account which parts of prompts they
// have cached.
func (su *Supervisor) prefixCache(service string) bool {
	return !su.op.NoPrefixCache && (su.contended || su.estimator.Uneven(service))
}

// countPrefix updates the counters of expected cached tokens and of measured cache hits and misses for a request.
func (su *Supervisor) countPrefix(ou *acceptor.Outcome) {
	if tokens := ou.ExpectedCached(); tokens > 0 {
		su.reporter.AddToCounter("prefix_tokens_expected", int64(tokens))
	}
	me := ou.PrefixMeasurement()
	switch {
	case !me.Measured:
	case me.Hit:
		su.reporter.AddToCounter("prefix_hits", 1)
	default:
		su.reporter.AddToCounter("prefix_misses", 1)
	}
}
