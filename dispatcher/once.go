package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/requester"
	"lovagebank/wire"
)

// runOnce runs a request that may not be repeated. It claims the request just before the first byte can be sent. From
// then on the run continues to its end even if the caller disconnects, and its outcome is recorded.
func (di *Dispatcher) runOnce(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	ru := di.newRun(rq, sink)
	tg, err := ru.choose()
	if err != nil {
		return requester.Usage{}, err
	}
	if err := ctx.Err(); err != nil {
		ru.endChoice(tg, rq, requester.Usage{}, 0, err)
		return requester.Usage{}, requester.Refuse(requester.CodeCancelled, "the caller went away before the request ran", 0)
	}
	stored, err := di.options.Claim(ctx, rq)
	if err != nil || stored != nil {
		ru.endChoice(tg, rq, requester.Usage{}, 0, err)
		return requester.Usage{}, replay(stored, sink, err)
	}
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), di.options.RunTimeout)
	defer cancel()
	ar := newAnswerRecorder(sink, di.options.MaxStoredAnswerBytes)
	us, rf := ru.sendOnce(runCtx, tg, ar)
	di.recordOutcome(runCtx, rq, ar, rf)
	if rf != nil {
		return us, rf
	}
	return us, nil
}

// sendOnce sends a claimed request. It tries another target only if no byte of the request can have been sent.
func (ru *run) sendOnce(ctx context.Context, tg *wire.Target, ar *answerRecorder) (requester.Usage, *requester.Refusal) {
	for attempt := 1; ; attempt++ {
		started := time.Now()
		us, err := ru.sendTo(ctx, tg, ar.sink())
		ru.endChoice(tg, ru.rq, us, time.Since(started), err)
		rf := requester.AsRefusal(err)
		if rf == nil {
			return us, nil
		}
		if ru.targetDied(ctx, tg, rf) {
			ru.di.quarantine.recordDeath(ru.rq.Fingerprint(), death{tg.GetId(), started, time.Now()})
		}
		if rf.Outcome() != requester.OutcomeNotRun || !retryableElsewhere(rf.Code()) || attempt >= ru.di.options.MaxAttempts {
			return us, rf
		}
		ru.excludeTarget(tg, rf)
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

// recordOutcome records the outcome of a claimed request, or releases the claim if the request did not run.
func (di *Dispatcher) recordOutcome(ctx context.Context, rq *requester.Request, ar *answerRecorder, rf *requester.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var err error
	switch {
	case rf == nil:
		err = di.options.FinishClaim(ctx, rq, wire.ClaimState_CLAIM_STATE_DONE, ar.answer())
	case rf.Outcome() == requester.OutcomeNotRun:
		err = di.options.ReleaseClaim(ctx, rq)
	default:
		err = di.options.FinishClaim(ctx, rq, wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	}
	if err != nil {
		log.WithPrefix("dispatcher").Error("outcome not recorded", "request", rq.ID(), "error", err.Error())
	}
}

// replay passes the stored answer of an earlier run to the sink, or returns the error of the claim.
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
