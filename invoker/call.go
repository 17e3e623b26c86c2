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
	errSilent   = errors.New("the target went silent")
	errDeadline = errors.New("the deadline passed")
)

// call is one request to a target in progress.
type call struct {
	iv *Invoker
	rq *requester.Request
	tg *wire.Target
	// connected tells that a connection was there, so that bytes may have left.
	connected atomic.Bool
	silence   *time.Timer
}

// Invoke sends a request to a target and passes the answer to the sink. The returned usage counts what was passed on,
// also when an error ends the answer early. An error is a *requester.Refusal, of outcome not-run only when no byte of
// the request can have reached the target.
func (iv *Invoker) Invoke(
	ctx context.Context, tg *wire.Target, rq *requester.Request, fencing uint64, sink requester.Sink,
) (requester.Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ca := &call{iv: iv, rq: rq, tg: tg}
	if rq.Repeatable() && !rq.Deadline().IsZero() {
		defer time.AfterFunc(time.Until(rq.Deadline()), func() { cancel(errDeadline) }).Stop()
	}
	ca.silence = time.AfterFunc(ca.firstWait(), func() { cancel(errSilent) })
	defer ca.silence.Stop()

	hr, err := ca.newRequest(ctx, fencing)
	if err != nil {
		return requester.Usage{}, err
	}
	response, err := ca.transport().RoundTrip(hr)
	if err != nil {
		return requester.Usage{}, ca.refusal(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	us, err := ca.answer(response, sink)
	if err != nil {
		return us, ca.refusal(ctx, err)
	}
	return us, nil
}

// firstWait returns the silence to bear before the first byte of the answer.
func (ca *call) firstWait() time.Duration {
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
		named, err := sjson.SetBytes(body, "model", ca.rq.Model())
		if err != nil {
			return nil, requester.Refuse(requester.CodeBadRequest, "the body is no JSON object", 0)
		}
		body = named
	}
	path, err := url.ParseRequestURI(ca.rq.Path())
	if err != nil {
		return nil, requester.Refuse(requester.CodeBadRequest, "the path can't be parsed", 0)
	}
	path.Scheme, path.Host = "http", ca.tg.GetAddress()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { ca.connected.Store(true) }}
	// The reader's type is hidden so that the transport can't rewind it and send the body twice.
	hidden := io.NopCloser(bytes.NewReader(body))
	hr, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), ca.rq.Method(), path.String(), hidden)
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

// refusal types an error by what ended the call and by whether bytes may have left.
func (ca *call) refusal(ctx context.Context, err error) error {
	var rf *requester.Refusal
	if errors.As(err, &rf) {
		return rf
	}
	cause := context.Cause(ctx)
	if !ca.connected.Load() {
		return ca.unreached(cause)
	}
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return requester.RefuseUnknown(requester.CodeDeadline, "the deadline passed while the request ran", 0)
	case errors.Is(cause, errSilent):
		return requester.RefuseUnknown(requester.CodeTargetLost, fmt.Sprintf("target %s went silent", ca.tg.GetId()), 0)
	case cause != nil:
		return requester.RefuseUnknown(requester.CodeCancelled, "the request was cancelled while it ran", 0)
	default:
		return requester.RefuseTargetLost(fmt.Sprintf("the connection to target %s was lost", ca.tg.GetId()))
	}
}

func (ca *call) unreached(cause error) error {
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return requester.Refuse(requester.CodeDeadline, "the deadline passed before the target was reached", 0)
	case cause != nil && !errors.Is(cause, errSilent):
		return requester.Refuse(requester.CodeCancelled, "the request was cancelled before the target was reached", 0)
	default:
		return requester.Refuse(requester.CodeTargetLost, fmt.Sprintf("target %s can't be reached", ca.tg.GetId()), 0)
	}
}
