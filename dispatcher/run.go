package dispatcher

import (
	"context"
	"slices"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// run is one repeatable request on its way.
type run struct {
	di      *Dispatcher
	rq      *requester.Request
	relay   *relay
	exclude []string
	// sent counts the attempts after which the request may have run.
	sent int
	// deaths counts the targets that died while they ran the request; holders keep such requests apart.
	deaths int
	// held counts answers of former holders, after which the same target is asked again.
	held int
	// rounds counts how often all targets had refused.
	rounds int
}

const (
	// firstPause is the time before all targets are tried again; it doubles up to maxRounds.
	firstPause = 100 * time.Millisecond
	maxRounds  = 5
)

func (di *Dispatcher) newRun(rq *requester.Request, sink requester.Sink) *run {
	return &run{di: di, rq: rq, relay: newRelay(rq, sink)}
}

// attempts tries targets until the answer is whole, or the request is given up. The bound on attempts holds for each
// round: a lease that is being handed over makes every target refuse for a moment.
func (ru *run) attempts(ctx context.Context) (requester.Usage, error) {
	var last *requester.Refusal
	round := 0
	for attempt := 0; max(attempt, ru.sent) < ru.di.options.MaxAttempts; attempt++ {
		tg, err := ru.chooseAgain(ctx)
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
			ru.di.budget.succeeded()
			return us, nil
		}
		last = rf
		if !ru.goesOn(ctx, rf) {
			break
		}
	}
	return ru.relay.delivered(), ru.final(last)
}

// chooseAgain picks a target. When all have refused, it pauses and begins again with all of them, as long as the
// deadline allows: what they refused for, such as a slot that is being freed, passes soon.
func (ru *run) chooseAgain(ctx context.Context) (*wire.Target, error) {
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
	ru.relay.begin()
	us, err := ru.send(ctx, tg, rq)
	if err == nil {
		err = ru.relay.finish()
	}
	ru.ended(tg, rq, us, time.Since(started), err)
	rf := requester.AsRefusal(err)
	switch {
	case rf == nil:
		ru.di.quarantine.exonerate(rq.Fingerprint(), time.Now())
		return us, nil
	case ru.died(ctx, tg, rf):
		ru.deaths++
		ru.di.quarantine.died(rq.Fingerprint(), death{tg.GetId(), started, time.Now()})
	}
	if rf.Outcome() == requester.OutcomeUnknown {
		ru.sent++
	}
	ru.avoid(tg, rf)
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

func (ru *run) ended(tg *wire.Target, rq *requester.Request, us requester.Usage, took time.Duration, err error) {
	if rq.Kind() == requester.KindService {
		ru.di.services.ended(tg.GetId())
		return
	}
	ru.di.options.ChoiceEnded(tg, rq, us, took, err)
}

// died tells whether the target died while it ran the request. A holder has confirmed that for an engine; for a plain
// service a refused connection does.
func (ru *run) died(ctx context.Context, tg *wire.Target, rf *requester.Refusal) bool {
	if !rf.TargetLost() || ru.rq.Kind() != requester.KindService {
		return rf.TargetLost()
	}
	return !ru.di.options.Reachable(context.WithoutCancel(ctx), tg)
}

// avoid leaves a target out of the next choices. A holder that changed is no fault of the target's.
func (ru *run) avoid(tg *wire.Target, rf *requester.Refusal) {
	if rf.Code() == requester.CodeWrongHolder && ru.held == 0 {
		ru.held++
		return
	}
	if !slices.Contains(ru.exclude, tg.GetId()) {
		ru.exclude = append(ru.exclude, tg.GetId())
	}
}

// goesOn tells whether another target is to be tried after a refusal.
func (ru *run) goesOn(ctx context.Context, rf *requester.Refusal) bool {
	if ctx.Err() != nil || ru.relay.broken || !elsewhere(rf.Code()) {
		return false
	}
	if deadline := ru.rq.Deadline(); !deadline.IsZero() && !time.Now().Before(deadline) {
		return false
	}
	if ru.di.quarantine.quarantined(ru.rq.Fingerprint(), time.Now()) {
		return false
	}
	return rf.Outcome() == requester.OutcomeNotRun || ru.di.budget.take()
}

// elsewhere tells whether another target may fare better.
func elsewhere(code requester.Code) bool {
	switch code {
	case requester.CodeTargetLost, requester.CodeTargetFailed, requester.CodeWrongAdapter, requester.CodeWrongHolder,
		requester.CodeLoadFailed, requester.CodeQueueFull, requester.CodeNoTarget, requester.CodeShuttingDown:
		return true
	default:
		return false
	}
}

// final returns the refusal of a request that is given up. It says not-run only if no attempt can have run.
func (ru *run) final(rf *requester.Refusal) error {
	retryAfter := rf.RetryAfter()
	if retryAfter == 0 && elsewhere(rf.Code()) {
		retryAfter = giveUpRetryAfter
	}
	code := rf.Code()
	if ru.di.quarantine.quarantined(ru.rq.Fingerprint(), time.Now()) {
		code, retryAfter = requester.CodeQuarantined, ru.di.options.QuarantineTime
	}
	if ru.sent > 0 {
		return requester.RefuseUnknown(code, rf.Message(), retryAfter)
	}
	if rf.Outcome() == requester.OutcomeNotRun {
		return requester.Refuse(code, rf.Message(), retryAfter)
	}
	return rf
}
