package invoker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/tidwall/sjson"

	"lovagebank/requester"
	"lovagebank/wire"
)

var (
	errSilence  = errors.New("the target went silent")
	errDeadline = errors.New("the deadline passed")
)

// call is a request to a target that is in progress.
type call struct {
	iv *Invoker
	rq *requester.Request
	tg *wire.Target
	// connected is set once there is a connection, so that bytes of the request may have been sent.
	connected atomic.Bool
	// silenceTimer cancels the call if the target sends nothing for too long.
	silenceTimer *time.Timer
}

// Invoke sends a request to a target and forwards the answer to the sink. The returned usage counts the forwarded
// tokens, also if an error ends the answer early. An error is a *requester.Refusal; its outcome is not-run only if no
// byte of the request can have reached the target.
func (iv *Invoker) Invoke(
	ctx context.Context, tg *wire.Target, rq *requester.Request, fencing uint64, sink requester.Sink,
) (requester.Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ca := &call{iv: iv, rq: rq, tg: tg}
	if rq.Repeatable() && !rq.Deadline().IsZero() {
		defer time.AfterFunc(time.Until(rq.Deadline()), func() { cancel(errDeadline) }).Stop()
	}
	ca.silenceTimer = time.AfterFunc(ca.firstByteTimeout(), func() { cancel(errSilence) })
	defer ca.silenceTimer.Stop()

	hr, err := ca.newRequest(ctx, fencing)
	if err != nil {
		return requester.Usage{}, err
	}
	response, err := ca.transport().RoundTrip(hr)
	if err != nil {
		return requester.Usage{}, ca.toRefusal(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	us, err := ca.forwardAnswer(response, sink)
	if err != nil {
		return us, ca.toRefusal(ctx, err)
	}
	return us, nil
}

// firstByteTimeout returns the timeout for the first byte of the answer. For an engine's answer that is not streamed,
// it includes TokenTime for each token that the answer may have.
func (ca *call) firstByteTimeout() time.Duration {
	op := ca.iv.options
	if ca.rq.Stream() || ca.rq.Kind() == requester.KindService {
		return op.FirstByteTimeout
	}
	return op.FirstByteTimeout + time.Duration(ca.rq.MaxTokens())*op.TokenTime
}

func (ca *call) transport() http.RoundTripper {
	if ca.rq.Repeatable() {
		return ca.iv.options.Transport
	}
	return ca.iv.options.SingleUseTransport
}

func (ca *call) newRequest(ctx context.Context, fencing uint64) (*http.Request, error) {
	body := ca.rq.Body()
	if ca.rq.Kind() != requester.KindService {
		withModel, err := sjson.SetBytes(body, "model", ca.rq.Model())
		if err != nil {
			return nil, requester.Refuse(requester.CodeBadRequest, "the body is no JSON object", 0)
		}
		body = withModel
	}
	targetURL, err := url.ParseRequestURI(ca.rq.Path())
	if err != nil {
		return nil, requester.Refuse(requester.CodeBadRequest, "the path can't be parsed", 0)
	}
	targetURL.Scheme, targetURL.Host = "http", ca.tg.GetAddress()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { ca.connected.Store(true) }}
	// The reader's type is hidden, so that the transport can't rewind the body and send it again.
	bodyReader := io.NopCloser(bytes.NewReader(body))
	hr, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), ca.rq.Method(), targetURL.String(), bodyReader)
	if err != nil {
		return nil, requester.Refuse(requester.CodeBadRequest, "the request can't be formed", 0)
	}
	hr.ContentLength = int64(len(body))
	hr.Header = targetHeader(ca.rq, fencing)
	if len(body) == 0 {
		hr.Body = http.NoBody
	}
	return hr, nil
}

// toRefusal converts an error to a refusal, by the cause that ended the call and by whether bytes of the request may
// have been sent.
func (ca *call) toRefusal(ctx context.Context, err error) error {
	var rf *requester.Refusal
	if errors.As(err, &rf) {
		return rf
	}
	cause := context.Cause(ctx)
	if !ca.connected.Load() {
		return ca.unreachedRefusal(cause)
	}
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return requester.RefuseUnknown(requester.CodeDeadline, "the deadline passed while the request ran", 0)
	case errors.Is(cause, errSilence):
		return requester.RefuseUnknown(requester.CodeTargetLost, fmt.Sprintf("target %s went silent", ca.tg.GetId()), 0)
	case cause != nil:
		return requester.RefuseUnknown(requester.CodeCancelled, "the request was cancelled while it ran", 0)
	default:
		ca.iv.options.Broken(ca.tg.GetId(), err)
		return requester.RefuseTargetLost(fmt.Sprintf("the connection to target %s was lost", ca.tg.GetId()))
	}
}

// unreachedRefusal returns the refusal of a call that ended before there was a connection; the outcome is not-run.
func (ca *call) unreachedRefusal(cause error) error {
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return requester.Refuse(requester.CodeDeadline, "the deadline passed before the target was reached", 0)
	case cause != nil && !errors.Is(cause, errSilence):
		return requester.Refuse(requester.CodeCancelled, "the request was cancelled before the target was reached", 0)
	default:
		return requester.Refuse(requester.CodeTargetLost, fmt.Sprintf("target %s can't be reached", ca.tg.GetId()), 0)
	}
}
