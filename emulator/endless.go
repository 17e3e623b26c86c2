package emulator

import (
	"net/http"
	"strings"
)

// EndlessPart is where a target in trouble sends bytes that are no answer without end.
type EndlessPart int

// Where bytes come without end.
const (
	EndlessNone EndlessPart = iota
	// EndlessHead is in place of the head of an answer, EndlessEvent after the head of a stream, and EndlessRefusal in the
	// body of an answer that says that the request has not run.
	EndlessHead
	EndlessEvent
	EndlessRefusal
)

// junk is what is sent again and again.
var junk = []byte(strings.Repeat("x", 16<<10))

// SendEndless has the target answer all requests, reports and orders with bytes without end, until it is told EndlessNone.
func (ta *Target) SendEndless(where EndlessPart) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.endless = where
}

// sendWithoutEnd sends until the caller closes the connection; false where the target is well.
func (ta *Target) sendWithoutEnd(w http.ResponseWriter, r *http.Request) bool {
	ta.mu.Lock()
	where := ta.endless
	ta.mu.Unlock()
	switch where {
	case EndlessHead:
		sendRaw(w)
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
		if _, err := w.Write(junk); err != nil {
			break
		}
	}
	return true
}

// sendRaw sends on the connection itself.
func sendRaw(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for err == nil {
		_, err = conn.Write(junk)
	}
}
