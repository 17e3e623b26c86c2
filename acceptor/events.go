package acceptor

import (
	"bytes"
	"errors"
)

// maxEvent bounds an event that has not ended, in bytes.
const maxEvent = 256 << 10

// errLongEvent means that what a target sends is no stream of events.
var errLongEvent = errors.New("an event of the answer does not end")

// eventScanner splits a stream of events. Where whole is set it gives out whole events only.
type eventScanner struct {
	whole   bool
	pending []byte
	lastID  string
	events  int
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// add takes bytes in and returns those to pass on.
func (es *eventScanner) add(chunk []byte) []byte {
	if !es.whole {
		return chunk
	}
	es.pending = append(es.pending, chunk...)
	end := 0
	for {
		length := eventLength(es.pending[end:])
		if length == 0 {
			break
		}
		es.note(es.pending[end : end+length])
		end += length
	}
	out := es.pending[:end:end]
	es.pending = append([]byte(nil), es.pending[end:]...)
	return out
}

// tooLong tells whether an event has grown beyond all measure without an end.
func (es *eventScanner) tooLong() bool { return len(es.pending) > maxEvent }

// rest returns what is left at the end of a complete stream.
func (es *eventScanner) rest() []byte { return es.pending }

// eventLength is the length of the first whole event; 0 if there is none.
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

func (es *eventScanner) note(event []byte) {
	es.events++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			es.lastID = string(bytes.TrimSpace(id))
		}
	}
}
