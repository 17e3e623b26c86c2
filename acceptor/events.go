package acceptor

import (
	"bytes"
	"errors"
)

// maxEventSize limits the buffered part of an incomplete event, in bytes.
const maxEventSize = 256 << 10

// errEventTooLong means that a target's response is not a valid stream of events.
var errEventTooLong = errors.New("event in response exceeds the size limit")

// eventScanner splits a stream into server-sent events. If wholeOnly is set, it returns complete events only.
type eventScanner struct {
	wholeOnly bool
	pending   []byte
	lastID    string
	events    int
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// add appends a chunk of the stream and returns the bytes to relay.
func (es *eventScanner) add(chunk []byte) []byte {
	if !es.wholeOnly {
		return chunk
	}
	es.pending = append(es.pending, chunk...)
	end := 0
	for {
		length := eventLength(es.pending[end:])
		if length == 0 {
			break
		}
		es.record(es.pending[end : end+length])
		end += length
	}
	out := es.pending[:end:end]
	es.pending = append([]byte(nil), es.pending[end:]...)
	return out
}

// tooLong reports whether the pending event exceeds maxEventSize.
func (es *eventScanner) tooLong() bool { return len(es.pending) > maxEventSize }

// rest returns the bytes left at the end of a complete stream.
func (es *eventScanner) rest() []byte { return es.pending }

// eventLength returns the length in bytes of the first complete event; 0 if there is none.
func eventLength(text []byte) int {
	at := bytes.Index(text, eventEnd)
	atCRLF := bytes.Index(text, eventEndCRLF)
	switch {
	case at < 0 && atCRLF < 0:
		return 0
	case atCRLF >= 0 && (at < 0 || atCRLF < at):
		return atCRLF + len(eventEndCRLF)
	default:
		return at + len(eventEnd)
	}
}

func (es *eventScanner) record(event []byte) {
	es.events++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			es.lastID = string(bytes.TrimSpace(id))
		}
	}
}
