package emulator

import (
	"net/http"
	"strings"
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
