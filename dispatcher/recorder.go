package dispatcher

import (
	"net/http"

	"lovagebank/requester"
	"lovagebank/wire"
)

// answerRecorder passes an answer on and records it, up to a limit in bytes. It continues when the caller disconnects.
type answerRecorder struct {
	dest  requester.Sink
	limit int

	callerGone bool
	status     int
	header     http.Header
	body       []byte
	overLimit  bool
}

func newAnswerRecorder(dest requester.Sink, limit int) *answerRecorder {
	return &answerRecorder{dest: dest, limit: limit}
}

func (ar *answerRecorder) sink() requester.Sink { return requester.Sink{Head: ar.head, Data: ar.data} }

func (ar *answerRecorder) head(status int, header http.Header) error {
	ar.status, ar.header = status, header
	ar.callerGone = ar.dest.Head(status, header) != nil
	return nil
}

func (ar *answerRecorder) data(chunk []byte) error {
	if len(ar.body)+len(chunk) > ar.limit {
		ar.overLimit = true
	} else if !ar.overLimit {
		ar.body = append(ar.body, chunk...)
	}
	if !ar.callerGone {
		ar.callerGone = ar.dest.Data(chunk) != nil
	}
	return nil
}

// answer returns the answer to store. An answer over the limit is stored without its body.
func (ar *answerRecorder) answer() *wire.Answer {
	an := &wire.Answer{Status: int32(ar.status)}
	for name, values := range ar.header {
		for _, value := range values {
			an.Headers = append(an.Headers, &wire.AnswerHeader{Name: name, Value: value})
		}
	}
	if !ar.overLimit {
		an.Body = ar.body
	}
	return an
}
