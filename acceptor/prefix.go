package acceptor

import (
	"time"

	"lovagebank/balancer"
	"lovagebank/cacher"
	"lovagebank/router"
)

// prefixOutcome is what was expected and measured of the parts of a prompt that its target had cached.
type prefixOutcome struct {
	// start is the start of the target of the last send, and version the version of the adapter there.
	start   balancer.Start
	version int64
	// expected is the estimate on which the target was chosen; nil if there was none.
	expected *balancer.PrefixEstimate
	answer   cacher.Answer
	measured cacher.Measurement
}

// pendingTokens returns the number of tokens that the target is expected to prefill before it answers.
func (ex *exchange) pendingTokens(ch *balancer.Choice) int {
	if es := ch.Prefix(); es != nil {
		return max(ex.caller.PromptTokens-int(es.Kept), 0)
	}
	return ex.caller.PromptTokens
}

// newPrefixOutcome returns what is expected of a target; nil where cached parts do not count in the choice of targets.
func (ex *exchange) newPrefixOutcome(ch *balancer.Choice) *prefixOutcome {
	if ex.service.Engine() == nil || !ex.ac.op.PrefixCache(ex.service.Name()) {
		return nil
	}
	return &prefixOutcome{start: ch.Target().Start(), version: ch.Version(), expected: ch.Prefix()}
}

// recordPrefix records that a target has begun to answer, so that it has cached the parts of the prompt.
func (ex *exchange) recordPrefix(now time.Time) {
	po, name := ex.outcome.prefix, ex.service.Name()
	if po == nil {
		return
	}
	an := cacher.Answer{
		Prompt: ex.requirements().Prompt(), Start: po.start, Version: po.version, Expected: po.expected,
		AnswerTokens: ex.caller.MaxAnswerTokens, Capacity: ex.service.Engine().CacheTokens, Instances: ex.ac.op.InstanceCount(),
	}
	if full, perToken, ok := ex.ac.op.Profiler.FirstAnswer(name, an.Prompt.Tokens); ok {
		an.Full, an.PerToken = full, perToken
		if ex.showsPrefill() && ex.route.Kind() == router.Stream && !ex.relayed {
			an.Took = now.Sub(ex.sentAt)
		}
	}
	po.answer, po.measured = an, ex.ac.op.Cacher.Began(an)
}

// showsPrefill reports whether the time to the first event shows how long the prefill took.
func (ex *exchange) showsPrefill() bool { return ex.queueEmpty && ex.lastEventID == "" }

// prefilledTokens returns the number of tokens that the target prefilled, and false if that is uncertain. It is the whole
// prompt where cached parts do not count.
func (ex *exchange) prefilledTokens() (int, bool) {
	if po := ex.outcome.prefix; po != nil {
		return po.answer.PrefilledTokens(po.measured)
	}
	return ex.caller.PromptTokens, true
}

// ExpectedCached returns the number of tokens of the prompt that its target was expected to have cached.
func (ou *Outcome) ExpectedCached() int {
	if ou.prefix == nil || ou.prefix.expected == nil {
		return 0
	}
	return int(ou.prefix.expected.Kept)
}

// PrefixMeasurement returns what the beginning of the answer shows of the cached parts.
func (ou *Outcome) PrefixMeasurement() cacher.Measurement {
	if ou.prefix == nil {
		return cacher.Measurement{}
	}
	return ou.prefix.measured
}

// prefixFields returns the expected and the measured cached tokens as key and value pairs of a log line; none without an
// estimate.
func (ou *Outcome) prefixFields() []any {
	if ou.prefix == nil || ou.prefix.expected == nil {
		return nil
	}
	es, an, me := ou.prefix.expected, ou.prefix.answer, ou.prefix.measured
	fields := []any{"cached", int(es.Kept), "rank", es.Position, "own", int(es.Own * 100), "for-cache", es.ForCache}
	if me.Measured {
		expected := an.Full - time.Duration(es.Kept)*an.PerToken
		fields = append(fields, "began-ms", an.Took.Milliseconds(), "expected-ms", expected.Milliseconds(), "hit", me.Hit,
			"cached-measured", me.Tokens)
	}
	return fields
}
