package invoker

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/tidwall/gjson"

	"lovagebank/inspector"
	"lovagebank/requester"
)

const (
	eventStream      = "text/event-stream"
	relayBufferBytes = 32 << 10
)

var (
	errCallerLeft = requester.RefuseUnknown(requester.CodeCancelled, "the caller went away while the request ran", 0)
	errTooLarge   = requester.RefuseUnknown(requester.CodeTargetFailed, "the target's answer is too large", 0)
)

// forwardAnswer forwards a target's answer to the sink. It checks the answer of an engine, but not of a service.
func (ca *call) forwardAnswer(response *http.Response, sink requester.Sink) (requester.Usage, error) {
	if ca.rq.Kind() == requester.KindService {
		return requester.Usage{}, ca.relayService(response, sink)
	}
	if response.StatusCode != http.StatusOK {
		return requester.Usage{}, ca.engineRefusal(response)
	}
	if isEventStream(response.Header) {
		return ca.forwardStream(response, sink)
	}
	return ca.forwardWhole(response, sink)
}

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// engineRefusal converts an engine's error status to a refusal. The outcome is unknown, because the engine received the
// request.
func (ca *call) engineRefusal(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return requester.RefuseUnknown(requester.CodeWrongAdapter,
			fmt.Sprintf("target %s doesn't hold %s", ca.tg.GetId(), ca.rq.Model()), 0)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return requester.RefuseUnknown(requester.CodeBadRequest, "the engine didn't accept the request's body", 0)
	default:
		return requester.RefuseUnknown(requester.CodeTargetFailed,
			fmt.Sprintf("target %s answered with status %d", ca.tg.GetId(), response.StatusCode), 0)
	}
}

// forwardWhole reads an answer that is not streamed, checks it and forwards it.
func (ca *call) forwardWhole(response *http.Response, sink requester.Sink) (requester.Usage, error) {
	body, release, err := inspector.Read(response.Body, ca.iv.options.MaxAnswerBytes, ca.iv.options.Budget)
	if errors.Is(err, inspector.ErrBodyTooLong) || errors.Is(err, inspector.ErrNoMemory) {
		return requester.Usage{}, errTooLarge
	}
	if err != nil {
		return requester.Usage{}, err
	}
	defer release()
	if !gjson.ValidBytes(body) {
		return requester.Usage{}, ca.malformedAnswer()
	}
	if err := ca.checkModel(body); err != nil {
		return requester.Usage{}, err
	}
	us := ca.readUsage(body, 0)
	if err := sink.Head(http.StatusOK, copyHeaders(response.Header, forwardedToCaller)); err != nil {
		return requester.Usage{}, errCallerLeft
	}
	if err := sink.Data(body); err != nil {
		return us, errCallerLeft
	}
	return us, nil
}

// checkModel returns an error if an answer names another model than the requested adapter@version.
func (ca *call) checkModel(answer []byte) error {
	model := gjson.GetBytes(answer, "model").String()
	if model == ca.rq.Model() {
		return nil
	}
	return requester.RefuseUnknown(requester.CodeWrongAdapter,
		fmt.Sprintf("target %s answered for %q instead of %q", ca.tg.GetId(), model, ca.rq.Model()), 0)
}

func (ca *call) malformedAnswer() error {
	return requester.RefuseUnknown(requester.CodeTargetFailed, fmt.Sprintf("target %s sent a malformed answer", ca.tg.GetId()), 0)
}

// readUsage returns the token counts of an answer. If the answer has no prompt count, the request's estimate is used.
// The count of generated tokens is at least generated.
func (ca *call) readUsage(answer []byte, generated int64) requester.Usage {
	usage := gjson.GetBytes(answer, "usage")
	if count := usage.Get("completion_tokens"); count.Exists() {
		generated = max(generated, count.Int())
	}
	prompt := ca.rq.PromptTokens()
	if count := usage.Get("prompt_tokens"); count.Exists() {
		prompt = count.Int()
	}
	return requester.NewUsage(prompt, generated, ca.rq.Adapter(), ca.rq.Version(), 0, 0)
}

// relayService forwards a service's answer unchecked as it arrives.
func (ca *call) relayService(response *http.Response, sink requester.Sink) error {
	header := copyHeaders(response.Header, forwardedToCaller)
	if unframed(response) {
		requester.MarkUnframed(header)
	}
	if err := sink.Head(response.StatusCode, header); err != nil {
		return errCallerLeft
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		ca.silenceTimer.Reset(ca.iv.options.TokenGapTimeout)
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if err := sink.Data(buffer[:count]); err != nil {
				return errCallerLeft
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// unframed reports whether only the end of its connection marks the end of an answer, so that one that broke off may look whole.
func unframed(response *http.Response) bool {
	hasBody := response.Request == nil || response.Request.Method != http.MethodHead
	return hasBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
