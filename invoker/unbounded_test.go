package invoker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lovagebank/inspector"
	"lovagebank/requester"
)

// Guards against targets that send without end: heads of very many short fields, an event and a whole answer beyond what
// all answers may hold. The request ends at once, and nothing stays reserved.
func TestAnswersWithoutEnd(t *testing.T) {
	const budget = 1 << 20
	raw := func(text string) http.HandlerFunc {
		return func(rw http.ResponseWriter, hr *http.Request) {
			conn, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write([]byte(text))
			_, _ = conn.Read(make([]byte, 1))
			_ = hr.Body.Close()
		}
	}
	long := strings.Repeat("x", 2*budget)
	tests := map[string]struct {
		change func(*requester.Fields)
		engine http.HandlerFunc
	}{
		"a head of short fields": {nil, raw("HTTP/1.1 200 OK\r\n" + strings.Repeat("ab:\r\n", 20000))},
		"interim answers":        {nil, raw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000))},
		"an event": {asStream, raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" +
			"data: " + long)},
		"a whole answer": {nil, raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + long)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tt.engine)
			defer server.Close()
			var used atomic.Int64
			iv := New(Options{FirstByteTimeout: time.Minute, TokenGapTimeout: time.Minute, Budget: inspector.Budget{
				Reserve: func(bytes int64) bool {
					if used.Add(bytes) > budget {
						used.Add(-bytes)
						return false
					}
					return true
				},
				Release: func(bytes int64) { used.Add(-bytes) },
			}})
			var answer recordedAnswer
			_, err := iv.Invoke(t.Context(), targetOf(server), newChat(tt.change), 1, answer.sink())
			if requester.AsRefusal(err) == nil {
				t.Errorf("got %v", err)
			}
			iv.Close()
			server.CloseClientConnections()
			for deadline := time.Now().Add(5 * time.Second); used.Load() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes stay reserved", used.Load())
				}
			}
		})
	}
}
