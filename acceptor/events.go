package acceptor

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// maxEventSize limits the buffered part of an incomplete event, in bytes.
	maxEventSize = 256 << 10
	// usualEventSize is the size up to which the buffered part is not reserved, as each request in progress accounts for it.
	usualEventSize = 8 << 10
	// eventCost is what is held of a buffered byte, as the buffer grows by doubling.
	eventCost = 2
)

// errEventTooLong means that a target's response is not a valid stream of events.
var errEventTooLong = errors.New("event in response exceeds the size limit")

// errInsideEvent means that a stream ended inside an event or, if the end of its connection is its end, before the first one.
var errInsideEvent = errors.New("the stream ended inside an event")

// eventScanner splits a stream into server-sent events. If wholeOnly is set, it returns complete events only.
type eventScanner struct {
	wholeOnly bool
	// after is the ID of the last event that the caller has of this stream; empty for a stream that begins. repeats is
	// true once the first event does not come after it.
	after   string
	repeats bool
	// anonymous is true once an event with data had no ID, so that no later event can be asked for.
	anonymous bool
	// pending is the buffered part of an incomplete event, and searched its length in which the end of an event has been
	// looked for. reserved is the memory reserved for it, in bytes.
	pending  []byte
	searched int
	reserved int64
	// reserve and release reserve memory and give it back.
	reserve func(bytes int64) bool
	release func(bytes int64)
	// tail holds the last bytes of the stream.
	tail   []byte
	lastID string
	events int
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
	dataField    = []byte("data:")
)

// add appends a chunk of the stream and returns the bytes to relay.
func (es *eventScanner) add(chunk []byte) []byte {
	es.tail = append(es.tail, chunk...)
	es.tail = append([]byte(nil), es.tail[max(len(es.tail)-len(eventEndCRLF), 0):]...)
	if !es.wholeOnly {
		return chunk
	}
	es.pending = append(es.pending, chunk...)
	end := 0
	for {
		length := eventLength(es.pending[end:], es.searched)
		es.searched = 0
		if length == 0 {
			break
		}
		es.record(es.pending[end : end+length])
		if es.repeats {
			break
		}
		end += length
	}
	out := es.pending[:end:end]
	if end > 0 {
		es.pending = append([]byte(nil), es.pending[end:]...)
		es.giveBack()
	}
	es.searched = max(len(es.pending)-len(eventEndCRLF), 0)
	return out
}

// tooLong reports whether the pending event exceeds maxEventSize, or what all requests may hold of events together.
func (es *eventScanner) tooLong() bool {
	more := eventCost*int64(max(len(es.pending)-usualEventSize, 0)) - es.reserved
	if more <= 0 {
		return false
	}
	// A step of reservation, so that few bytes at a time cost little.
	more = max(more, usualEventSize)
	if len(es.pending) > maxEventSize || !es.reserve(more) {
		return true
	}
	es.reserved += more
	return false
}

// giveBack releases what is reserved for the pending event.
func (es *eventScanner) giveBack() {
	if es.reserved > 0 {
		es.release(es.reserved)
		es.reserved = 0
	}
}

// insideEvent reports whether the stream so far ends inside an event.
func (es *eventScanner) insideEvent() bool {
	return len(es.tail) > 0 && !bytes.HasSuffix(es.tail, eventEnd) && !bytes.HasSuffix(es.tail, eventEndCRLF)
}

// empty reports whether the stream has no bytes so far.
func (es *eventScanner) empty() bool { return len(es.tail) == 0 }

// rest returns the bytes left at the end of a complete stream.
func (es *eventScanner) rest() []byte { return es.pending }

// eventLength returns the length in bytes of the first complete event; 0 if there is none. It does not end in the first
// bytes that have been searched.
func eventLength(text []byte, searched int) int {
	rest := text[searched:]
	at := bytes.Index(rest, eventEnd)
	atCRLF := bytes.Index(rest, eventEndCRLF)
	switch {
	case at < 0 && atCRLF < 0:
		return 0
	case atCRLF >= 0 && (at < 0 || atCRLF < at):
		return searched + atCRLF + len(eventEndCRLF)
	default:
		return searched + at + len(eventEnd)
	}
}

// record records an event: its ID, and whether the event comes after those that the caller has.
func (es *eventScanner) record(event []byte) {
	id, hasData := "", false
	for line := range bytes.Lines(event) {
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(text))
		}
		hasData = hasData || bytes.HasPrefix(line, dataField)
	}
	if es.after != "" && es.lastID == "" && (id != "" || hasData) {
		es.repeats = !follows(es.after, id)
	}
	es.events++
	es.anonymous = es.anonymous || hasData && id == ""
	if id != "" {
		es.lastID = id
	}
}

// follows reports whether an event with the given ID comes after one with the ID last. IDs that are no numbers only have
// to differ.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || err != nil {
		return id != "" && id != last
	}
	return number > before
}
