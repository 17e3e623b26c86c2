package emulator

import (
	"net/http"
	"strings"
	"time"
)

// EndlessPart selects the part of a response in which a faulty target sends meaningless bytes without end.
type EndlessPart int

// The parts of a response that can be endless. EndlessNone turns the fault off.
const (
	EndlessNone EndlessPart = iota
	// EndlessHead replaces the head of the response. EndlessEvent follows the head of an event stream. EndlessRefusal is the
	// body of a response that states that the request has not run.
	EndlessHead
	EndlessEvent
	EndlessRefusal
	// EndlessFields is a head of very many short fields, EndlessInterim the same in interim answers, and EndlessElements a
	// report of very many small elements. They go on slowly after many bytes, so that no limit in bytes ends them.
	EndlessFields
	EndlessInterim
	EndlessElements
)

// EndlessParts returns all parts of a response that can be endless.
func EndlessParts() []EndlessPart {
	return []EndlessPart{EndlessHead, EndlessEvent, EndlessRefusal, EndlessFields, EndlessInterim, EndlessElements}
}

const (
	// endlessStart is the number of bytes that are sent at once before the slow rest, and endlessPause the pause between
	// its parts.
	endlessStart = 63000
	endlessPause = 50 * time.Millisecond
)

// endlessChunk is the chunk that is sent repeatedly.
var endlessChunk = []byte(strings.Repeat("x", 16<<10))

// SendEndless makes the target answer all requests, report queries and orders with endless bytes, until it is called with
// EndlessNone.
func (ta *Target) SendEndless(where EndlessPart) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.endlessPart = where
}

// sendEndless sends bytes until the caller closes the connection. It returns false if the fault is off.
func (ta *Target) sendEndless(w http.ResponseWriter, r *http.Request) bool {
	ta.mu.Lock()
	where := ta.endlessPart
	ta.mu.Unlock()
	switch where {
	case EndlessHead:
		sendEndlessRaw(w)
		return true
	case EndlessFields:
		sendSlowly(w, "HTTP/1.1 200 OK\r\n", "ab:\r\n")
		return true
	case EndlessInterim:
		sendSlowly(w, "", "HTTP/1.1 103 Early Hints\r\nab:\r\n\r\n")
		return true
	case EndlessElements:
		sendSlowly(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"models\":[", "{},")
		return true
	case EndlessEvent:
		w.Header().Set("Content-Type", "text/event-stream")
	case EndlessRefusal:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		return false
	}
	for r.Context().Err() == nil {
		if _, err := w.Write(endlessChunk); err != nil {
			break
		}
	}
	return true
}

// sendEndlessRaw sends bytes on the hijacked connection, without a response head.
func sendEndlessRaw(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for err == nil {
		_, err = conn.Write(endlessChunk)
	}
}

// sendSlowly sends a text and then many copies of another one, and then one at a time until the connection ends.
func sendSlowly(w http.ResponseWriter, begin, again string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(begin + strings.Repeat(again, endlessStart/len(again))))
	for err == nil {
		time.Sleep(endlessPause)
		_, err = conn.Write([]byte(again))
	}
}
