package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"lovagebank/requester"
)

// errorBody is the shape in which OpenAI's clients read errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
}

func newErrorBody(rf *requester.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: rf.Message(),
		Type:    errorType(rf.Status()),
		Code:    string(rf.Code()),
		Outcome: string(rf.Outcome()),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// writeRefusal answers a request that got no answer from a target.
func writeRefusal(rw http.ResponseWriter, rf *requester.Refusal) {
	header := rw.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(rf.Outcome()))
	if rf.Status() == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if rf.RetryAfter() > 0 {
		header.Set("Retry-After", retrySeconds(rf.RetryAfter()))
	}
	rw.WriteHeader(rf.Status())
	_ = json.NewEncoder(rw).Encode(newErrorBody(rf))
}

func retrySeconds(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// answer passes one answer on to the caller and remembers how far it got.
type answer struct {
	rw      http.ResponseWriter
	control *http.ResponseController
	stream  bool
	opened  bool
	// patience is how long the caller may take no byte.
	patience time.Duration
}

func (rc *Receiver) newAnswer(rw http.ResponseWriter, stream bool) *answer {
	return &answer{rw: rw, control: http.NewResponseController(rw), stream: stream, patience: rc.options.Limits.WriteTimeout}
}

func (an *answer) sink() requester.Sink {
	return requester.Sink{Head: an.head, Data: an.data}
}

// answerHeaders are the headers of a target that callers get.
var answerHeaders = []string{"Content-Type", "Content-Language", "Location", "ETag", "Last-Modified"}

func (an *answer) head(status int, header http.Header) error {
	for _, name := range answerHeaders {
		if value := header.Get(name); value != "" {
			an.rw.Header().Set(name, value)
		}
	}
	an.opened = true
	an.rw.WriteHeader(status)
	return nil
}

// data writes a part of the answer. A caller that takes nothing for too long counts as gone, which frees its place on
// the target.
func (an *answer) data(chunk []byte) error {
	_ = an.control.SetWriteDeadline(time.Now().Add(an.patience))
	if _, err := an.rw.Write(chunk); err != nil {
		return err
	}
	if !an.stream {
		return nil
	}
	return an.control.Flush()
}

// fail ends an answer with a refusal. One that has begun is cut in a way that no client can take for whole.
func (an *answer) fail(rf *requester.Refusal) {
	if !an.opened {
		writeRefusal(an.rw, rf)
		return
	}
	if !an.stream {
		panic(http.ErrAbortHandler)
	}
	if encoded, err := json.Marshal(newErrorBody(rf)); err == nil {
		_ = an.data([]byte("data: " + string(encoded) + "\n\n"))
	}
}
