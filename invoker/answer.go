package invoker

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/tidwall/gjson"

	"lovagebank/requester"
)

const (
	eventStream   = "text/event-stream"
	relayPieceMax = 32 << 10
)

var (
	errCallerGone = requester.RefuseUnknown(requester.CodeCancelled, "the caller went away while the request ran", 0)
	errTooLarge   = requester.RefuseUnknown(requester.CodeTargetFailed, "the target's answer is too large", 0)
)

// answer passes on a target's answer, checked by its kind.
func (ca *call) answer(response *http.Response, sink requester.Sink) (requester.Usage, error) {
	if ca.rq.Kind() == requester.KindService {
		return requester.Usage{}, ca.relay(response, sink)
	}
	if response.StatusCode != http.StatusOK {
		return requester.Usage{}, ca.engineRefusal(response)
	}
	if isEventStream(response.Header) {
		return ca.stream(response, sink)
	}
	return ca.whole(response, sink)
}

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// engineRefusal types an engine's error status. The engine had the request, so the outcome is unknown.
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

// whole checks and passes on an answer that comes in one piece.
func (ca *call) whole(response *http.Response, sink requester.Sink) (requester.Usage, error) {
	limit := int64(ca.iv.options.MaxAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return requester.Usage{}, err
	}
	if int64(len(body)) > limit {
		return requester.Usage{}, errTooLarge
	}
	if !gjson.ValidBytes(body) {
		return requester.Usage{}, ca.malformed()
	}
	if err := ca.checkModel(body); err != nil {
		return requester.Usage{}, err
	}
	us := ca.usage(body, 0)
	if err := sink.Head(http.StatusOK, copyListed(response.Header, forwardedToCaller)); err != nil {
		return requester.Usage{}, errCallerGone
	}
	if err := sink.Data(body); err != nil {
		return us, errCallerGone
	}
	return us, nil
}

// checkModel compares the name in an answer with the adapter and version that were asked for.
func (ca *call) checkModel(answer []byte) error {
	named := gjson.GetBytes(answer, "model").String()
	if named == ca.rq.Model() {
		return nil
	}
	return requester.RefuseUnknown(requester.CodeWrongAdapter,
		fmt.Sprintf("target %s answered for %q instead of %q", ca.tg.GetId(), named, ca.rq.Model()), 0)
}

func (ca *call) malformed() error {
	return requester.RefuseUnknown(requester.CodeTargetFailed, fmt.Sprintf("target %s sent a malformed answer", ca.tg.GetId()), 0)
}

// usage reads the token counts of an answer; generated is used where it names none.
func (ca *call) usage(answer []byte, generated int64) requester.Usage {
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

// relay passes on a plain service's answer as it comes.
func (ca *call) relay(response *http.Response, sink requester.Sink) error {
	if err := sink.Head(response.StatusCode, copyListed(response.Header, forwardedToCaller)); err != nil {
		return errCallerGone
	}
	piece := make([]byte, relayPieceMax)
	for {
		ca.silence.Reset(ca.iv.options.TokenGapTimeout)
		count, err := response.Body.Read(piece)
		if count > 0 {
			if err := sink.Data(piece[:count]); err != nil {
				return errCallerGone
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
