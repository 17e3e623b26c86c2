package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// AnswerEnd selects how the answers of a faulty target end.
type AnswerEnd int

// The ends of answers. EndWhole turns the fault off.
const (
	EndWhole AnswerEnd = iota
	// EndUnframed answers have neither a length nor chunks and are whole. The following ones break off: EndInHead within the head,
	// EndInEvent within a stream's last event or an application's answer, EndBetweenEvents after a stream's first event, each in chunks;
	// EndUnframedInEvent and EndUnframedReset without framing, the latter with a reset of the connection between two events.
	EndUnframed
	EndInHead
	EndInEvent
	EndBetweenEvents
	EndUnframedInEvent
	EndUnframedReset
	// EndUnframedBetweenEvents breaks off like EndUnframedReset, but the connection ends in the ordinary way, so that nobody can tell
	// it from a whole answer.
	EndUnframedBetweenEvents
	// EndAsText answers a request for the rest of a stream with a text, EndAsRepeat with the stream from its first event; both with
	// status 200. Other answers break off like EndBetweenEvents.
	EndAsText
	EndAsRepeat

	// AnswerEnds is the number of ends.
	AnswerEnds
)

// The ends of answers that are none, or that come while their request is still being written. EndNoStatus answers have
// the status 000, and the body of EndNoStatusFirst ones looks like a further answer. EndBlankInName is a blank in the
// name of a field, EndBlankInEncoding one behind that of the framing, so that net/http takes the chunks for the body.
// EndUploadReset answers at once with a part, without framing, and resets the connection. EndUploadClosed answers in
// the same way with the whole, and closes the connection in order.
const (
	EndNoStatus AnswerEnd = AnswerEnds + 1 + iota
	EndNoStatusFirst
	EndBlankInName
	EndBlankInEncoding
	EndUploadReset
	EndUploadClosed
)

// notAnswer is the body of an answer within the body of another one.
const notAnswer = "id: 1\ndata: none\n\n"

// DamagedEnds returns the ends of answers that are none, and of those that come early.
func DamagedEnds() []AnswerEnd {
	return []AnswerEnd{EndNoStatus, EndNoStatusFirst, EndBlankInName, EndBlankInEncoding, EndUploadReset, EndUploadClosed}
}

// early reports whether an answer is sent before its request has been read.
func (an AnswerEnd) early() bool { return an == EndUploadReset || an == EndUploadClosed }

// EndAnswers makes the answers of a target end as given.
func (ta *Target) EndAnswers(end AnswerEnd) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.answerEnd = end
}

// DelayAnswers makes an application wait before it answers a request that it runs.
func (ta *Target) DelayAnswers(delay time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.answerDelay = delay
}

// readRequest reads the body of a request, unless its answer comes before that.
func (ta *Target) readRequest(r *http.Request) {
	ta.mu.Lock()
	early := ta.answerEnd.early()
	ta.mu.Unlock()
	if !early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// awaitAnswer waits until the answer to a request is ready, or its caller has left.
func (ta *Target) awaitAnswer(r *http.Request) {
	ta.mu.Lock()
	delay := ta.answerDelay
	ta.mu.Unlock()
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
	}
}

// endAnswer answers a request in the way that EndAnswers has selected; false if its answer is whole and framed.
func (ta *Target) endAnswer(w http.ResponseWriter, r *http.Request, adapter string) bool {
	ta.mu.Lock()
	end := ta.answerEnd
	ta.mu.Unlock()
	if end == EndWhole {
		return false
	}
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	resumed := err == nil && ta.engine
	text, kind := "answer to "+r.Header.Get("Request-Id"), "text/plain"
	if ta.engine {
		kind = "text/event-stream"
		if end == EndAsRepeat {
			first = 0
		}
		text = CompleteStream(adapter, ta.events)[len(CompleteStream(adapter, min(first, ta.events))):]
	}
	if resumed && end == EndAsText {
		text, kind = "no such stream\n\n", "text/plain"
	}
	ra := rawAnswer{
		begin: "HTTP/1.1 200 OK\r\n", encoding: "Transfer-Encoding",
		id: r.Header.Get("Request-Id"), kind: kind, text: text, cut: len(text),
	}
	switch end {
	case EndInHead:
		ra.cutHead = true
	case EndInEvent:
		ra.chunked, ra.cut = true, len(text)-len(text)/8-1
	case EndUnframedInEvent:
		ra.cut = len(text) - 3
	case EndBetweenEvents:
		ra.chunked, ra.cut = true, ta.betweenEvents(text, adapter, first)
	case EndUnframedReset, EndUnframedBetweenEvents:
		ra.reset, ra.cut = end == EndUnframedReset, ta.betweenEvents(text, adapter, first)
	case EndAsText, EndAsRepeat:
		if ra.chunked = true; !resumed {
			ra.cut = ta.betweenEvents(text, adapter, first)
		}
	case EndNoStatus:
		ra.begin = "HTTP/1.1 000 None\r\n"
	case EndNoStatusFirst:
		ra.begin, ra.text, ra.cut = "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n", notAnswer, len(notAnswer)
	case EndBlankInName:
		ra.begin += "Odd Name: x\r\n"
	case EndBlankInEncoding:
		ra.chunked, ra.encoding = true, "Transfer-Encoding "
	case EndUploadReset:
		ra.reset, ra.cut = true, ta.betweenEvents(text, adapter, first)
	}
	ra.send(w)
	return true
}

// betweenEvents returns the length of a stream up to the end of its first event; half of the text of an application.
func (ta *Target) betweenEvents(text, adapter string, first int) int {
	if !ta.engine {
		return len(text) / 2
	}
	return min(len(event(first+1, adapter)), len(text))
}

// rawAnswer is an answer as it is written to the connection.
type rawAnswer struct {
	// begin is the begin of the head, and encoding the name of the field that states chunks.
	begin, encoding string
	id, kind, text  string
	// cut is the length of the text after which the answer breaks off, cutHead is set if that is within the head, and reset if the
	// connection is reset.
	cut     int
	cutHead bool
	reset   bool
	chunked bool
}

// send writes the answer, with the fields that the target states of itself in each.
func (ra rawAnswer) send(w http.ResponseWriter) {
	var stated bytes.Buffer
	// A buffer takes all that is written.
	_ = w.Header().WriteSubset(&stated, map[string]bool{"Request-Id": true, "Response-Seal": true, "Content-Type": true})
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	framing, body := "Connection: close\r\n", ra.text[:ra.cut]
	if ra.chunked {
		framing = ra.encoding + ": chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n", ra.cut, body)
		if ra.cut == len(ra.text) {
			body += "0\r\n\r\n"
		}
	}
	head := fmt.Sprintf("%sRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: %s\r\n%s%s\r\n",
		ra.begin, ra.id, ra.id, ra.kind, stated.String(), framing)
	if ra.cutHead {
		head, body = head[:len(head)/2], ""
	}
	_, _ = conn.Write([]byte(head + body))
	if hc, ok := conn.(interface{ CloseWrite() error }); ok && !ra.reset {
		// Bytes that are unread would make the close a reset.
		_ = hc.CloseWrite()
	}
	if lc, ok := conn.(interface{ SetLinger(seconds int) error }); ok && ra.reset {
		_ = lc.SetLinger(0)
	}
	_ = conn.Close()
}
