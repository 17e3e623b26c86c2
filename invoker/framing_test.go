package invoker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"lovagebank/requester"
)

// Guards against a service's answer without framing that is passed on as one whose end is known. An engine's answer shows its end by
// itself: a stream by its end marker, any other by being valid.
func TestMarksServiceAnswersWithoutFraming(t *testing.T) {
	tests := map[string]struct {
		kind   requester.Kind
		fields string
		body   string
		marked bool
	}{
		"a service, with a length":      {requester.KindService, "Content-Length: 2\r\n", "ok", false},
		"a service, in chunks":          {requester.KindService, "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n", false},
		"a service, with neither":       {requester.KindService, "", "ok", true},
		"a service, nothing at all":     {requester.KindService, "", "", true},
		"an engine, with neither":       {requester.KindChat, "", `{"model":"a@2"}`, false},
		"an engine's stream, the same":  {requester.KindChat, "Content-Type: text/event-stream\r\n", streamChunk("a@2", 1) + doneEvent, false},
		"an engine, a part of its text": {requester.KindChat, "", `{"model":"a@2"`, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", tt.fields, tt.body)
				_ = conn.Close()
			}))
			defer server.Close()
			iv := New(Options{})
			defer iv.Close()
			rq := newChat(func(fields *requester.Fields) { fields.Kind = tt.kind })
			marked := false
			_, err := iv.Invoke(t.Context(), targetOf(server), rq, 0, requester.Sink{
				Head: func(_ int, header http.Header) error { marked = requester.Unframed(header); return nil },
				Data: func([]byte) error { return nil },
			})
			if marked != tt.marked {
				t.Errorf("marked %t, want %t", marked, tt.marked)
			}
			if broken := name == "an engine, a part of its text"; (err != nil) != broken {
				t.Errorf("got %v", err)
			}
		})
	}
}
