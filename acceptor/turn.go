package acceptor

import (
	"time"

	"lovagebank/balancer"
	"lovagebank/pauser"
	"lovagebank/profiler"
	"lovagebank/router"
	"lovagebank/sequencer"
)

const (
	// turnShare is the share of the objective by which a prompt has to go to its target to be answered in time.
	turnShare = 0.75
	// latestTurn is the number of objectives after which a prompt waits for its turn no longer.
	latestTurn = 2.0
	// leastTurnPause bounds the time between two questions of a prompt that can no longer be answered in time, and
	// latePatience is how long a turn may be away that it takes: those that can be in time go first.
	leastTurnPause = 40 * time.Millisecond
	latePatience   = 10 * time.Millisecond
	// shortPatience is how long a prompt waits for its turn while other targets could take it, and maxLooksAround the number of
	// targets that it leaves for that.
	shortPatience  = 60 * time.Millisecond
	maxLooksAround = 2
)

// awaitTurn waits until the prompt may go to a target without making the streams there pause for too long. It is false
// where the request should not go there any more, or should rather go elsewhere.
func (ex *exchange) awaitTurn(ch *balancer.Choice) bool {
	pa, ok := ex.pace()
	if !ok {
		return true
	}
	began := time.Now()
	next := askAgain
	for next == askAgain {
		next = ex.askTurn(ch, pa)
	}
	ex.outcome.turnWait += time.Since(began)
	return next == goThere && ex.ctx.Err() == nil && ex.ac.op.Balancer.Available(ch.Target().ID())
}

// turnVerdict is what becomes of a prompt that has asked for its turn.
type turnVerdict int

const (
	goThere turnVerdict = iota
	goElsewhere
	askAgain
)

// askTurn asks once for a turn and waits for it.
func (ex *exchange) askTurn(ch *balancer.Choice, pa profiler.Pace) turnVerdict {
	patience := max(ex.untilShare(turnShare)-pa.Prefill, latePatience)
	looksAround := ch.Alternatives() > 0 && ex.lookedAround < maxLooksAround && patience > shortPatience
	if looksAround {
		patience = shortPatience
	}
	tn, err := ex.ac.op.RequestTurn(ex.ctx, ch.Holder(), ch.Target(), sequencer.Request{Pace: pa, MaxWait: patience})
	if err != nil {
		// Whoever asked has a line for it; the request itself has not failed.
		return goThere
	}
	if tn.Granted {
		ex.ac.op.Balancer.SetTurnWait(ch.Target().ID(), tn.Wait+pa.Prefill)
		pauser.For(ex.ctx, tn.Wait)
		return goThere
	}
	ex.ac.op.Balancer.SetTurnWait(ch.Target().ID(), tn.Wait)
	if looksAround {
		ex.lookedAround++
		return goElsewhere
	}
	left := ex.untilShare(latestTurn)
	if left <= 0 {
		return goThere
	}
	pauser.For(ex.ctx, min(max(tn.Wait, leastTurnPause), left))
	return askAgain
}

// learnArrival takes in that events have arrived: what the first tells of the reading of the prompt, and the others of the
// pauses.
func (ex *exchange) learnArrival(now time.Time) {
	pause, further := ex.outcome.pace.arrived(now)
	if ex.service.Engine() == nil {
		return
	}
	if further {
		ex.ac.op.Profiler.RecordGap(ex.service.Name(), pause)
		return
	}
	if ex.unqueued && ex.lastEvent == "" {
		ex.ac.op.Profiler.RecordFirstAnswer(ex.service.Name(), ex.caller.PromptTokens, now.Sub(ex.sentAt))
	}
}

// learnEnd takes in the longest pause of a stream that has ended.
func (ex *exchange) learnEnd() {
	if ex.service.Engine() != nil {
		ex.ac.op.Profiler.RecordStream(ex.service.Name(), ex.outcome.pace.longest, ex.route.Gap())
	}
}

// pace is how the prompt may follow others at an engine; false where nothing has to be held off.
func (ex *exchange) pace() (profiler.Pace, bool) {
	if ex.route.Kind() != router.Stream || ex.service.Engine() == nil {
		return profiler.Pace{}, false
	}
	return ex.ac.op.Profiler.Pace(ex.service.Name(), ex.caller.PromptTokens, ex.route.Gap())
}

// untilShare is the time until a share of the request's objective has passed.
func (ex *exchange) untilShare(share float64) time.Duration {
	return time.Until(ex.outcome.arrived.Add(time.Duration(share * float64(ex.route.Objective()))))
}
