package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/requester"
	"lovagebank/wire"
)

// runOnce runs a request that may not be repeated. The claim is made just before the first byte can leave; after that
// the run goes on to its end also when the caller is gone, and its outcome is recorded.
func (di *Dispatcher) runOnce(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	ru := di.newRun(rq, sink)
	tg, err := ru.choose()
	if err != nil {
		return requester.Usage{}, err
	}
	if err := ctx.Err(); err != nil {
		ru.ended(tg, rq, requester.Usage{}, 0, err)
		return requester.Usage{}, requester.Refuse(requester.CodeCancelled, "the caller went away before the request ran", 0)
	}
	stored, err := di.options.Claim(ctx, rq)
	if err != nil || stored != nil {
		ru.ended(tg, rq, requester.Usage{}, 0, err)
		return requester.Usage{}, replay(stored, sink, err)
	}
	apart, cancel := context.WithTimeout(context.WithoutCancel(ctx), di.options.RunTimeout)
	defer cancel()
	rc := newRecording(sink, di.options.MaxStoredAnswerBytes)
	us, rf := ru.sendOnce(apart, tg, rc)
	di.record(apart, rq, rc, rf)
	if rf != nil {
		return us, rf
	}
	return us, nil
}

// sendOnce sends a claimed request, and goes on to another target only while no byte can have left.
func (ru *run) sendOnce(ctx context.Context, tg *wire.Target, rc *recording) (requester.Usage, *requester.Refusal) {
	for attempt := 1; ; attempt++ {
		started := time.Now()
		us, err := ru.sendTo(ctx, tg, rc.sink())
		ru.ended(tg, ru.rq, us, time.Since(started), err)
		rf := requester.AsRefusal(err)
		if rf == nil {
			return us, nil
		}
		if ru.died(ctx, tg, rf) {
			ru.di.quarantine.died(ru.rq.Fingerprint(), death{tg.GetId(), started, time.Now()})
		}
		if rf.Outcome() != requester.OutcomeNotRun || !elsewhere(rf.Code()) || attempt >= ru.di.options.MaxAttempts {
			return us, rf
		}
		ru.avoid(tg, rf)
		next, err := ru.choose()
		if err != nil {
			return us, rf
		}
		tg = next
	}
}

func (ru *run) sendTo(ctx context.Context, tg *wire.Target, sink requester.Sink) (requester.Usage, error) {
	if ru.rq.Kind() == requester.KindService {
		return ru.di.options.Invoke(ctx, tg, ru.rq, sink)
	}
	return ru.di.options.Execute(ctx, tg, ru.rq, sink)
}

// record stores how a claimed request ended.
func (di *Dispatcher) record(ctx context.Context, rq *requester.Request, rc *recording, rf *requester.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var err error
	switch {
	case rf == nil:
		err = di.options.FinishClaim(ctx, rq, wire.ClaimState_CLAIM_STATE_DONE, rc.answer())
	case rf.Outcome() == requester.OutcomeNotRun:
		err = di.options.ReleaseClaim(ctx, rq)
	default:
		err = di.options.FinishClaim(ctx, rq, wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	}
	if err != nil {
		log.WithPrefix("dispatcher").Error("Outcome not recorded.", "request", rq.ID(), "error", err.Error())
	}
}

// replay passes on the stored answer of an earlier run, or the claim's error.
func replay(stored *wire.Answer, sink requester.Sink, err error) error {
	if err != nil {
		return err
	}
	header := http.Header{}
	for _, field := range stored.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	if err := sink.Head(int(stored.GetStatus()), header); err != nil {
		return errCallerGone
	}
	if err := sink.Data(stored.GetBody()); err != nil {
		return errCallerGone
	}
	return nil
}
