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

// relay joins the answers of several attempts to one whole answer for the caller.
type relay struct {
	rq *requester.Request
	to requester.Sink

	status int
	header http.Header
	// opened tells that the caller has the head, tokens how many tokens it has.
	opened bool
	tokens int64
	// broken means that nothing more can be passed on.
	broken bool
	closed bool

	// pending is the part of the answer of the attempt in progress that is not passed on yet.
	pending []byte
	// id and created are those of the first attempt's stream, which later attempts go on under.
	id      string
	created int64
}

func newRelay(rq *requester.Request, to requester.Sink) *relay {
	return &relay{rq: rq, to: to, tokens: rq.ResumeFrom()}
}

// begin starts an attempt; what the last one left incomplete is dropped.
func (re *relay) begin() {
	re.pending = re.pending[:0]
	re.status, re.header = 0, nil
}

func (re *relay) sink() requester.Sink {
	return requester.Sink{Head: re.takeHead, Data: re.takeData}
}

func (re *relay) takeHead(status int, header http.Header) error {
	re.status, re.header = status, header
	return nil
}

// takeData passes on a stream by whole events. Any other answer is kept until it is whole, so that another attempt can
// still replace it.
func (re *relay) takeData(chunk []byte) error {
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
		if err := re.passEvent(event); err != nil {
			return err
		}
		re.pending = re.pending[end+2:]
	}
}

// passEvent passes on an event unless the caller has its tokens already.
func (re *relay) passEvent(event []byte) error {
	data := invoker.EventData(event)
	if data == nil {
		return nil
	}
	if invoker.IsDone(data) {
		re.closed = true
		return re.pass(event)
	}
	tokens := invoker.CountTokens(re.tokens, data)
	if re.opened && tokens == re.tokens && re.hasTokens(data) {
		return nil
	}
	renamed, err := re.underFirstName(data)
	if err != nil {
		return err
	}
	if renamed != nil {
		event = append(append([]byte("data: "), renamed...), "\n\n"...)
	}
	if err := re.pass(event); err != nil {
		return err
	}
	re.tokens = tokens
	return nil
}

// hasTokens tells whether a chunk carries text, so that a chunk whose count does not rise repeats old tokens.
func (re *relay) hasTokens(data []byte) bool {
	for _, choice := range gjson.GetBytes(data, "choices").Array() {
		if choice.Get("text").String() != "" || choice.Get("delta.content").String() != "" {
			return true
		}
	}
	return false
}

// underFirstName gives a later attempt's chunk the name and time of the first one; nil when it has them.
func (re *relay) underFirstName(data []byte) ([]byte, error) {
	id, created := gjson.GetBytes(data, "id").String(), gjson.GetBytes(data, "created").Int()
	if !re.opened {
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

func (re *relay) pass(event []byte) error {
	if err := re.open(); err != nil {
		return err
	}
	if err := re.to.Data(event); err != nil {
		re.broken = true
		return errCallerGone
	}
	return nil
}

func (re *relay) open() error {
	if re.opened {
		return nil
	}
	if err := re.to.Head(re.status, re.header); err != nil {
		re.broken = true
		return errCallerGone
	}
	re.opened = true
	return nil
}

// finish passes on an answer that was kept until it was whole.
func (re *relay) finish() error {
	if re.rq.Stream() && re.rq.Kind() != requester.KindService {
		if !re.closed {
			return requester.RefuseTargetLost("the answer ended without its closing mark")
		}
		return nil
	}
	if err := re.open(); err != nil {
		return err
	}
	if len(re.pending) == 0 {
		return nil
	}
	if err := re.to.Data(re.pending); err != nil {
		re.broken = true
		return errCallerGone
	}
	return nil
}

// delivered counts what the caller has of an answer that is not whole.
func (re *relay) delivered() requester.Usage {
	if !re.opened {
		return requester.Usage{}
	}
	return requester.NewUsage(re.rq.PromptTokens(), re.tokens, re.rq.Adapter(), re.rq.Version(), 0, 0)
}
