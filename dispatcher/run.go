package dispatcher

import (
	"context"
	"slices"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// run is the state of one request while it is being dispatched.
type run struct {
	di      *Dispatcher
	rq      *requester.Request
	relay   *relay
	exclude []string
	// maybeRan counts the attempts in which the request may have run.
	maybeRan int
	// deaths counts the targets that died while running the request. Holders don't run two such requests together.
	deaths int
	// wrongHolders counts wrong-holder refusals after which the same target may be chosen again.
	wrongHolders int
	// rounds counts how often all targets were excluded and tried again.
	rounds int
}

const (
	// firstPause is the time before all targets are tried again. It doubles in each round, up to maxRounds rounds.
	firstPause = 100 * time.Millisecond
	maxRounds  = 5
)

func (di *Dispatcher) newRun(rq *requester.Request, sink requester.Sink) *run {
	return &run{di: di, rq: rq, relay: newRelay(rq, sink)}
}

// runAttempts tries targets until the answer is complete or the request is given up. The limit on refused attempts
// applies to each round, because a lease handover makes every target refuse for a moment.
func (ru *run) runAttempts(ctx context.Context) (requester.Usage, error) {
	var last *requester.Refusal
	round := 0
	for attempt := 0; max(attempt, ru.maybeRan) < ru.di.options.MaxAttempts; attempt++ {
		tg, err := ru.chooseWithPause(ctx)
		if ru.rounds > round {
			round, attempt = ru.rounds, 0
		}
		if err != nil {
			if last == nil {
				last = requester.AsRefusal(err)
			}
			break
		}
		us, rf := ru.attempt(ctx, tg)
		if rf == nil {
			ru.di.budget.addSuccess()
			return us, nil
		}
		last = rf
		if !ru.shouldRetry(ctx, rf) {
			break
		}
	}
	return ru.relay.deliveredUsage(), ru.finalError(last)
}

// chooseWithPause picks a target. If all targets are excluded, it pauses and starts again with all of them, as far as
// the deadline and maxRounds allow, because the reasons for refusals, such as a slot that is being freed, are often
// temporary.
func (ru *run) chooseWithPause(ctx context.Context) (*wire.Target, error) {
	for {
		tg, err := ru.choose()
		if err == nil || len(ru.exclude) == 0 || ru.rounds == maxRounds {
			return tg, err
		}
		pause := firstPause << ru.rounds
		if deadline := ru.rq.Deadline(); !deadline.IsZero() && time.Until(deadline) < pause {
			return nil, err
		}
		ru.rounds++
		ru.exclude = nil
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// attempt sends the request to one target.
func (ru *run) attempt(ctx context.Context, tg *wire.Target) (requester.Usage, *requester.Refusal) {
	rq := ru.rq.WithAttempt(ru.deaths, ru.relay.tokens)
	started := time.Now()
	ru.relay.beginAttempt()
	us, err := ru.send(ctx, tg, rq)
	if err == nil {
		err = ru.relay.finish()
	}
	ru.endChoice(tg, rq, us, time.Since(started), err)
	rf := requester.AsRefusal(err)
	switch {
	case rf == nil:
		ru.di.quarantine.clearDeaths(rq.Fingerprint(), time.Now())
		return us, nil
	case ru.targetDied(ctx, tg, rf):
		ru.deaths++
		ru.di.quarantine.recordDeath(rq.Fingerprint(), death{tg.GetId(), started, time.Now()})
	}
	if rf.Outcome() == requester.OutcomeUnknown {
		ru.maybeRan++
	}
	ru.excludeTarget(tg, rf)
	return us, rf
}

func (ru *run) choose() (*wire.Target, error) {
	if ru.rq.Kind() == requester.KindService {
		return ru.di.services.choose(ru.di.options.ServiceTargets(ru.rq.Service()), ru.exclude)
	}
	return ru.di.options.Choose(ru.rq, ru.exclude)
}

func (ru *run) send(ctx context.Context, tg *wire.Target, rq *requester.Request) (requester.Usage, error) {
	if rq.Kind() == requester.KindService {
		return ru.di.options.Invoke(ctx, tg, rq, ru.relay.sink())
	}
	return ru.di.options.Execute(ctx, tg, rq, ru.relay.sink())
}

func (ru *run) endChoice(tg *wire.Target, rq *requester.Request, us requester.Usage, took time.Duration, err error) {
	if rq.Kind() == requester.KindService {
		ru.di.services.requestEnded(tg.GetId())
		return
	}
	ru.di.options.ChoiceEnded(tg, rq, us, took, err)
}

// targetDied reports whether the target died while it ran the request. For an engine, the holder has confirmed
// the death. For a plain service, it is confirmed if the target no longer accepts connections.
func (ru *run) targetDied(ctx context.Context, tg *wire.Target, rf *requester.Refusal) bool {
	if !rf.TargetLost() || ru.rq.Kind() != requester.KindService {
		return rf.TargetLost()
	}
	return !ru.di.options.Reachable(context.WithoutCancel(ctx), tg)
}

// excludeTarget excludes a target from the next choices. After the first wrong-holder refusal the target is not
// excluded, since a change of holder is not a fault of the target.
func (ru *run) excludeTarget(tg *wire.Target, rf *requester.Refusal) {
	if rf.Code() == requester.CodeWrongHolder && ru.wrongHolders == 0 {
		ru.wrongHolders++
		return
	}
	if !slices.Contains(ru.exclude, tg.GetId()) {
		ru.exclude = append(ru.exclude, tg.GetId())
	}
}

// shouldRetry reports whether to try another target after a refusal.
func (ru *run) shouldRetry(ctx context.Context, rf *requester.Refusal) bool {
	if ctx.Err() != nil || ru.relay.callerGone || !retryableElsewhere(rf.Code()) {
		return false
	}
	if deadline := ru.rq.Deadline(); !deadline.IsZero() && !time.Now().Before(deadline) {
		return false
	}
	if ru.di.quarantine.isQuarantined(ru.rq.Fingerprint(), time.Now()) {
		return false
	}
	return rf.Outcome() == requester.OutcomeNotRun || ru.di.budget.take()
}

// retryableElsewhere reports whether another target may succeed after a refusal with this code.
func retryableElsewhere(code requester.Code) bool {
	switch code {
	case requester.CodeTargetLost, requester.CodeTargetFailed, requester.CodeWrongAdapter, requester.CodeWrongHolder,
		requester.CodeLoadFailed, requester.CodeQueueFull, requester.CodeNoTarget, requester.CodeShuttingDown:
		return true
	default:
		return false
	}
}

// finalError returns the refusal of a request that is given up. Its outcome is not-run only if no attempt can have run.
func (ru *run) finalError(rf *requester.Refusal) error {
	retryAfter := rf.RetryAfter()
	if retryAfter == 0 && retryableElsewhere(rf.Code()) {
		retryAfter = giveUpRetryAfter
	}
	code := rf.Code()
	if ru.di.quarantine.isQuarantined(ru.rq.Fingerprint(), time.Now()) {
		code, retryAfter = requester.CodeQuarantined, ru.di.options.QuarantineTime
	}
	if ru.maybeRan > 0 {
		return requester.RefuseUnknown(code, rf.Message(), retryAfter)
	}
	if rf.Outcome() == requester.OutcomeNotRun {
		return requester.Refuse(code, rf.Message(), retryAfter)
	}
	return rf
}
