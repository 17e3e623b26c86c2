package dispatcher

import (
	"net/http"

	"lovagebank/requester"
	"lovagebank/wire"
)

// recording passes an answer on and records it, up to a limit in bytes. It continues when the caller disconnects.
type recording struct {
	to    requester.Sink
	limit int

	gone   bool
	status int
	header http.Header
	body   []byte
	cut    bool
}

func newRecording(to requester.Sink, limit int) *recording { return &recording{to: to, limit: limit} }

func (rc *recording) sink() requester.Sink { return requester.Sink{Head: rc.head, Data: rc.data} }

func (rc *recording) head(status int, header http.Header) error {
	rc.status, rc.header = status, header
	rc.gone = rc.to.Head(status, header) != nil
	return nil
}

func (rc *recording) data(chunk []byte) error {
	if len(rc.body)+len(chunk) > rc.limit {
		rc.cut = true
	} else if !rc.cut {
		rc.body = append(rc.body, chunk...)
	}
	if !rc.gone {
		rc.gone = rc.to.Data(chunk) != nil
	}
	return nil
}

// answer returns the answer to store. An answer over the limit is stored without its body.
func (rc *recording) answer() *wire.Answer {
	an := &wire.Answer{Status: int32(rc.status)}
	for name, values := range rc.header {
		for _, value := range values {
			an.Headers = append(an.Headers, &wire.AnswerHeader{Name: name, Value: value})
		}
	}
	if !rc.cut {
		an.Body = rc.body
	}
	return an
}
