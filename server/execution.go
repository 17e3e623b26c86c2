package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"lovagebank/connector"
	"lovagebank/requester"
	"lovagebank/wire"
)

// keepaliveInterval is the interval at which a holder sends keepalives to the entry instance, to show that a quiet
// request is still in progress.
const keepaliveInterval = time.Second

// holderSilenceTimeout is how long an entry instance waits for the next message of a holder before it cancels the call.
const holderSilenceTimeout = 4 * time.Second

var errHolderSilent = errors.New("the target's holder fell silent")

// executeOnPeer runs a request at the instance that holds its target.
// observe is called with the state of the target that arrives with the end of the answer.
func executeOnPeer(ctx context.Context, pe *connector.Peer, tg *wire.Target, rq *requester.Request, sink requester.Sink,
	observe func([]*wire.TargetReport),
) (requester.Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(holderSilenceTimeout, func() { cancel(errHolderSilent) })
	defer watchdog.Stop()
	stream, err := pe.Execution().Execute(ctx, connect.NewRequest(newExecuteRequest(tg, rq)))
	if err != nil {
		return requester.Usage{}, peerRefusal(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(holderSilenceTimeout)
		us, ended, err := relayStep(stream.Msg(), sink)
		if report := finalReport(stream.Msg()); report != nil {
			observe([]*wire.TargetReport{report})
		}
		if ended || err != nil {
			return us, err
		}
	}
	return requester.Usage{}, peerRefusal(ctx, stream.Err())
}

// finalReport returns the target's state if the step is the last one and has it, or nil.
func finalReport(step *wire.ExecuteResponse) *wire.TargetReport {
	if end := step.GetDone(); end != nil {
		return end.GetReport()
	}
	return step.GetFailure().GetReport()
}

// relayStep forwards one step of an answer to the sink. ended is true if the step was the last one.
func relayStep(step *wire.ExecuteResponse, sink requester.Sink) (us requester.Usage, ended bool, err error) {
	switch step := step.GetStep().(type) {
	case *wire.ExecuteResponse_Head:
		return us, false, sink.Head(int(step.Head.GetStatus()), headerFromWire(step.Head.GetHeaders()))
	case *wire.ExecuteResponse_Data:
		return us, false, sink.Data(step.Data)
	case *wire.ExecuteResponse_Failure:
		return us, true, refusalFromWire(step.Failure)
	case *wire.ExecuteResponse_Done:
		return usageFromWire(step.Done), true, nil
	default:
		return us, false, nil
	}
}

// peerRefusal converts the error of a call to a holder into a refusal. The request is repeatable and may have reached
// the target, unless the connection could not be established.
func peerRefusal(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errHolderSilent):
		return requester.RefuseUnknown(requester.CodeTargetLost, "The instance that holds the target fell silent.", peerRetryAfter)
	case ctx.Err() != nil:
		return requester.RefuseUnknown(requester.CodeCancelled, "The request was cancelled.", 0)
	case isDialError(err):
		return requester.Refuse(requester.CodeWrongHolder, "The instance that holds the target can't be reached.", peerRetryAfter)
	default:
		return requester.RefuseUnknown(requester.CodeTargetLost, "The instance that holds the target was lost.", peerRetryAfter)
	}
}

// peerRetryAfter is the time after which a caller should retry when an instance was lost. Successors take over within
// that time.
const peerRetryAfter = 2 * time.Second

func newExecuteRequest(tg *wire.Target, rq *requester.Request) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{
		RequestId:    rq.ID(),
		Organisation: rq.Organisation(),
		Target:       tg.GetId(),
		Adapter:      rq.Adapter(),
		Version:      rq.Version(),
		Base:         rq.Base(),
		Method:       rq.Method(),
		Path:         rq.Path(),
		Headers:      headerToWire(rq.Header()),
		Body:         rq.Body(),
		Stream:       rq.Stream(),
		PromptTokens: rq.PromptTokens(),
		MaxTokens:    rq.MaxTokens(),
		Urgency:      int32(rq.Urgency()),
		DeadlineMs:   time.Until(rq.Deadline()).Milliseconds(),
		Weight:       rq.Weight(),
		ResumeFrom:   rq.ResumeFrom(),
		Fingerprint:  rq.Fingerprint(),
		Attempt:      int32(rq.Attempt()),
		Kind:         int32(rq.Kind()),
	}
}

func requestFromWire(er *wire.ExecuteRequest) *requester.Request {
	return requester.New(requester.Fields{
		ID:           er.GetRequestId(),
		Organisation: er.GetOrganisation(),
		Kind:         requester.Kind(er.GetKind()),
		Adapter:      er.GetAdapter(),
		Version:      er.GetVersion(),
		Base:         er.GetBase(),
		Method:       er.GetMethod(),
		Path:         er.GetPath(),
		Header:       headerFromWire(er.GetHeaders()),
		Body:         er.GetBody(),
		Stream:       er.GetStream(),
		PromptTokens: er.GetPromptTokens(),
		MaxTokens:    er.GetMaxTokens(),
		Urgency:      requester.Urgency(er.GetUrgency()),
		Deadline:     time.Now().Add(time.Duration(er.GetDeadlineMs()) * time.Millisecond),
		Weight:       er.GetWeight(),
		Repeatable:   true,
		Fingerprint:  er.GetFingerprint(),
		ResumeFrom:   er.GetResumeFrom(),
		Attempt:      int(er.GetAttempt()),
	})
}

func headerToWire(header http.Header) []*wire.Header {
	fields := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &wire.Header{Name: name, Value: value})
		}
	}
	return fields
}

func headerFromWire(fields []*wire.Header) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header.Add(field.GetName(), field.GetValue())
	}
	return header
}

func failureToWire(rf *requester.Refusal) *wire.Failure {
	return &wire.Failure{
		Code:          string(rf.Code()),
		Message:       rf.Message(),
		ReachedTarget: rf.Outcome() != requester.OutcomeNotRun,
		RetryAfterMs:  rf.RetryAfter().Milliseconds(),
		TargetLost:    rf.TargetLost(),
	}
}

func refusalFromWire(fa *wire.Failure) *requester.Refusal {
	retryAfter := time.Duration(fa.GetRetryAfterMs()) * time.Millisecond
	switch {
	case fa.GetTargetLost():
		return requester.RefuseTargetLost(fa.GetMessage())
	case fa.GetReachedTarget():
		return requester.RefuseUnknown(requester.Code(fa.GetCode()), fa.GetMessage(), retryAfter)
	default:
		return requester.Refuse(requester.Code(fa.GetCode()), fa.GetMessage(), retryAfter)
	}
}

func usageToWire(us requester.Usage) *wire.Done {
	return &wire.Done{
		PromptTokens:    us.PromptTokens(),
		GeneratedTokens: us.GeneratedTokens(),
		Adapter:         us.Adapter(),
		Version:         us.Version(),
		QueuedUs:        us.Queued().Microseconds(),
		LoadWaitUs:      us.LoadWait().Microseconds(),
	}
}

func usageFromWire(do *wire.Done) requester.Usage {
	return requester.NewUsage(do.GetPromptTokens(), do.GetGeneratedTokens(), do.GetAdapter(), do.GetVersion(),
		time.Duration(do.GetQueuedUs())*time.Microsecond, time.Duration(do.GetLoadWaitUs())*time.Microsecond)
}
