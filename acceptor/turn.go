package acceptor

import (
	"time"

	"lovagebank/balancer"
	"lovagebank/profiler"
	"lovagebank/router"
	"lovagebank/sequencer"
	"lovagebank/sleeper"
)

const (
	// onTimeTurnShare is the share of the latency objective by which a prompt has to be prefilled to be answered in time.
	onTimeTurnShare = 0.75
	// maxTurnWaitObjectives limits the wait for a turn, in multiples of the latency objective after the arrival.
	maxTurnWaitObjectives = 2.0
	// minTurnRetryInterval is the least time between two turn requests of a prompt that can no longer be answered in
	// time. lateTurnMaxWait is the longest wait for a turn that such a prompt accepts; it is short so that prompts which
	// can still be in time go first.
	minTurnRetryInterval = 40 * time.Millisecond
	lateTurnMaxWait      = 10 * time.Millisecond
	// otherTargetsMaxWait is the longest wait for a turn that a prompt accepts while other targets could take it, and
	// maxSkippedForTurn the number of targets that it skips because their wait is longer.
	otherTargetsMaxWait = 60 * time.Millisecond
	maxSkippedForTurn   = 2
)

// awaitTurn waits for the prompt's turn at a target, so that its prefill does not pause the streams there for too long. It
// returns false if the request should no longer go there, or should go to another target.
func (ex *exchange) awaitTurn(ch *balancer.Choice) bool {
	pa, ok := ex.promptPace()
	if !ok {
		return true
	}
	began := time.Now()
	next := askAgain
	for next == askAgain {
		next = ex.askTurn(ch, pa)
	}
	ex.outcome.turnWait += time.Since(began)
	return next == sendNow && ex.ctx.Err() == nil && ex.ac.op.Balancer.Available(ch.Target())
}

// turnResult is the result of one request for a turn.
type turnResult int

const (
	sendNow turnResult = iota
	tryOtherTarget
	askAgain
)

// askTurn asks the target's holder once for a turn and waits for it.
func (ex *exchange) askTurn(ch *balancer.Choice, pa profiler.Pace) turnResult {
	maxWait := max(ex.timeUntilShare(onTimeTurnShare)-pa.Prefill, lateTurnMaxWait)
	maySkip := ch.Alternatives() > 0 && ex.skippedForTurn < maxSkippedForTurn && maxWait > otherTargetsMaxWait
	if maySkip {
		maxWait = otherTargetsMaxWait
	}
	tn, err := ex.ac.op.RequestTurn(ex.ctx, ch.Holder(), ch.Target(), sequencer.Request{Pace: pa, MaxWait: maxWait})
	if err != nil {
		// The Turn function logs its errors; the request itself has not failed.
		return sendNow
	}
	if tn.Granted {
		ex.ac.op.Balancer.SetTurnWait(ch.Target().ID(), tn.Wait+pa.Prefill)
		sleeper.For(ex.ctx, tn.Wait)
		return sendNow
	}
	ex.ac.op.Balancer.SetTurnWait(ch.Target().ID(), tn.Wait)
	if maySkip {
		ex.skippedForTurn++
		return tryOtherTarget
	}
	left := ex.timeUntilShare(maxTurnWaitObjectives)
	if left <= 0 {
		return sendNow
	}
	sleeper.For(ex.ctx, min(max(tn.Wait, minTurnRetryInterval), left))
	return askAgain
}

// recordArrival records an arrival of events. The first arrival gives the profiler the prefill time of the prompt, the
// later ones the pauses between events.
func (ex *exchange) recordArrival(now time.Time) {
	pause, further := ex.outcome.timing.arrived(now)
	if ex.service.Engine() == nil {
		return
	}
	ex.recordSpeed(now)
	if further {
		ex.ac.op.Profiler.RecordGap(ex.service.Name(), pause)
		return
	}
	if tokens, ok := ex.prefilledTokens(); ok && ex.showsPrefill() {
		ex.ac.op.Profiler.RecordFirstAnswer(ex.service.Name(), tokens, now.Sub(ex.sentAt))
	}
}

// recordStreamEnd reports the longest pause of a stream that has ended to the profiler.
func (ex *exchange) recordStreamEnd() {
	ex.endSpeedSample()
	if ex.service.Engine() != nil {
		ex.ac.op.Profiler.RecordStream(ex.service.Name(), ex.outcome.timing.longestPause, ex.route.GapObjective())
	}
}

// promptPace returns how the prompt may follow others at an engine, or false if the prompt needs no turn.
func (ex *exchange) promptPace() (profiler.Pace, bool) {
	if ex.route.Kind() != router.Stream || ex.service.Engine() == nil {
		return profiler.Pace{}, false
	}
	return ex.ac.op.Profiler.Pace(ex.service.Name(), ex.caller.PromptTokens, ex.route.GapObjective())
}

// timeUntilShare returns the time until the given share of the request's latency objective has passed.
func (ex *exchange) timeUntilShare(share float64) time.Duration {
	return time.Until(ex.outcome.arrived.Add(time.Duration(share * float64(ex.route.LatencyObjective()))))
}
