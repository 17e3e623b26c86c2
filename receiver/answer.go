package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"lovagebank/listener"
	"lovagebank/requester"
)

// errorBody is the error format of the OpenAI API, which its client libraries parse.
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

// writeRefusal writes the error response of a request for which no target's answer has been sent.
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

// answer forwards one answer to the caller and records whether its header has been sent.
type answer struct {
	rw         http.ResponseWriter
	controller *http.ResponseController
	stream     bool
	headSent   bool
	// conn is the caller's connection; nil if it is not one of a Listener. unframed is true once the head of an answer has been sent
	// whose end only that of the connection marks.
	conn     *listener.Conn
	unframed bool
	// chunks is true if the caller's version of HTTP knows them.
	chunks bool
	// writeTimeout applies to each part of the answer: a caller that accepts no byte for this long is dropped.
	writeTimeout time.Duration
}

func (rc *Receiver) newAnswer(rw http.ResponseWriter, hr *http.Request, stream bool) *answer {
	return &answer{
		rw: rw, controller: http.NewResponseController(rw), stream: stream, writeTimeout: rc.options.Limits.WriteTimeout,
		conn: listener.FromContext(hr.Context()), chunks: hr.ProtoAtLeast(1, 1),
	}
}

func (an *answer) sink() requester.Sink {
	return requester.Sink{Head: an.writeHead, Data: an.writeData}
}

// forwardedToCaller lists the headers of a target's answer that are forwarded to callers.
var forwardedToCaller = []string{"Content-Type", "Content-Language", "Location", "ETag", "Last-Modified"}

func (an *answer) writeHead(status int, header http.Header) error {
	for _, name := range forwardedToCaller {
		if value := header.Get(name); value != "" {
			an.rw.Header().Set(name, value)
		}
	}
	an.headSent = true
	an.unframed = requester.Unframed(header) || !an.chunks
	if requester.Unframed(header) {
		requester.MarkUnframed(an.rw.Header())
	}
	if an.unframed && an.conn != nil {
		an.conn.BeginUnframed()
	}
	an.rw.WriteHeader(status)
	return nil
}

// end is called when the whole answer has been written. What net/http still buffers is sent before the connection may end in the
// ordinary way.
func (an *answer) end() {
	if !an.unframed || an.conn == nil {
		return
	}
	if err := an.controller.Flush(); err == nil {
		an.conn.EndUnframed()
	}
}

// writeData writes a part of the answer. A caller that accepts no byte within the write timeout is treated as
// disconnected, which frees its slot on the target.
func (an *answer) writeData(chunk []byte) error {
	_ = an.controller.SetWriteDeadline(time.Now().Add(an.writeTimeout))
	if _, err := an.rw.Write(chunk); err != nil {
		return err
	}
	if !an.stream {
		return nil
	}
	return an.controller.Flush()
}

// fail ends an answer with a refusal. If the header has been sent already, a stream ends with an error event instead of
// its end marker, and any other answer by aborting the connection, so that no client takes it for complete.
func (an *answer) fail(rf *requester.Refusal) {
	if !an.headSent {
		writeRefusal(an.rw, rf)
		return
	}
	if !an.stream {
		panic(http.ErrAbortHandler)
	}
	if encoded, err := json.Marshal(newErrorBody(rf)); err == nil {
		_ = an.writeData([]byte("data: " + string(encoded) + "\n\n"))
		an.end()
	}
}
