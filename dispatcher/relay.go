package dispatcher

import (
	"bytes"
	"net/http"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"lovagebank/invoker"
	"lovagebank/requester"
)

var errCallerGone = requester.RefuseUnknown(requester.CodeCancelled, "the caller went away while the request ran", 0)

// relay joins the answers of several attempts into one complete answer for the caller.
type relay struct {
	rq   *requester.Request
	dest requester.Sink

	status int
	header http.Header
	// headSent is set once the head was sent to the caller; tokens is the number of tokens that it has.
	headSent bool
	tokens   int64
	// callerGone is set when the caller has disconnected, so that nothing more can be sent.
	callerGone bool
	doneSent   bool

	// pending is the part of the current attempt's answer that has not been sent yet.
	pending []byte
	// id and created come from the first attempt's stream; chunks of later attempts get the same values.
	id      string
	created int64
}

func newRelay(rq *requester.Request, dest requester.Sink) *relay {
	return &relay{rq: rq, dest: dest, tokens: rq.ResumeFrom()}
}

// beginAttempt starts an attempt and drops the incomplete rest of the previous one.
func (re *relay) beginAttempt() {
	re.pending = re.pending[:0]
	re.status, re.header = 0, nil
}

func (re *relay) sink() requester.Sink {
	return requester.Sink{Head: re.handleHead, Data: re.handleData}
}

func (re *relay) handleHead(status int, header http.Header) error {
	re.status, re.header = status, header
	return nil
}

// handleData sends a stream on by complete events. It buffers any other answer until it is complete, so that another
// attempt can still replace it.
func (re *relay) handleData(chunk []byte) error {
	re.pending = append(re.pending, chunk...)
	if !re.rq.Stream() || re.rq.Kind() == requester.KindService {
		return nil
	}
	for {
		end := bytes.Index(re.pending, []byte("\n\n"))
		if end < 0 {
			return nil
		}
		event := re.pending[:end+2]
		if err := re.forwardEvent(event); err != nil {
			return err
		}
		re.pending = re.pending[end+2:]
	}
}

// forwardEvent sends an event on, unless the caller already has its tokens.
func (re *relay) forwardEvent(event []byte) error {
	data := invoker.EventData(event)
	if data == nil {
		return nil
	}
	if invoker.IsDone(data) {
		re.doneSent = true
		return re.forward(event)
	}
	tokens := invoker.CountTokens(re.tokens, data)
	if re.headSent && tokens == re.tokens && re.hasTokens(data) {
		return nil
	}
	renamed, err := re.withFirstID(data)
	if err != nil {
		return err
	}
	if renamed != nil {
		event = append(append([]byte("data: "), renamed...), "\n\n"...)
	}
	if err := re.forward(event); err != nil {
		return err
	}
	re.tokens = tokens
	return nil
}

// hasTokens reports whether a chunk carries text. A chunk with text that does not raise the token count repeats tokens
// already sent.
func (re *relay) hasTokens(data []byte) bool {
	for _, choice := range gjson.GetBytes(data, "choices").Array() {
		if choice.Get("text").String() != "" || choice.Get("delta.content").String() != "" {
			return true
		}
	}
	return false
}

// withFirstID returns a later attempt's chunk with the id and creation time of the first attempt, or nil if the
// chunk can be sent as it is.
func (re *relay) withFirstID(data []byte) ([]byte, error) {
	id, created := gjson.GetBytes(data, "id").String(), gjson.GetBytes(data, "created").Int()
	if !re.headSent {
		re.id, re.created = id, created
		return nil, nil
	}
	if id == re.id {
		return nil, nil
	}
	renamed, err := sjson.SetBytes(data, "id", re.id)
	if err != nil {
		return nil, err
	}
	return sjson.SetBytes(renamed, "created", re.created)
}

func (re *relay) forward(event []byte) error {
	if err := re.sendHead(); err != nil {
		return err
	}
	if err := re.dest.Data(event); err != nil {
		re.callerGone = true
		return errCallerGone
	}
	return nil
}

func (re *relay) sendHead() error {
	if re.headSent {
		return nil
	}
	if err := re.dest.Head(re.status, re.header); err != nil {
		re.callerGone = true
		return errCallerGone
	}
	re.headSent = true
	return nil
}

// finish sends a buffered answer, or returns an error if a stream ended without its last event.
func (re *relay) finish() error {
	if re.rq.Stream() && re.rq.Kind() != requester.KindService {
		if !re.doneSent {
			return requester.RefuseTargetLost("the answer ended without its closing mark")
		}
		return nil
	}
	if err := re.sendHead(); err != nil {
		return err
	}
	if len(re.pending) == 0 {
		return nil
	}
	if err := re.dest.Data(re.pending); err != nil {
		re.callerGone = true
		return errCallerGone
	}
	return nil
}

// deliveredUsage returns the usage of the part of an incomplete answer that the caller has received.
func (re *relay) deliveredUsage() requester.Usage {
	if !re.headSent {
		return requester.Usage{}
	}
	return requester.NewUsage(re.rq.PromptTokens(), re.tokens, re.rq.Adapter(), re.rq.Version(), 0, 0)
}
