package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"lovagebank/listener"
	"lovagebank/requester"
)

// serveRaw serves the handler behind a Listener, as an instance does, and returns the address.
func (ha *harness) serveRaw(t *testing.T) string {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hs := &http.Server{Handler: ha.handler}
	bounded := listener.Wrap(inner, listener.Options{})
	bounded.Attach(hs)
	go func() { _ = hs.Serve(bounded) }()
	t.Cleanup(func() { _ = hs.Close() })
	return inner.Addr().String()
}

// Guards against a service's answer that was broken off and that its caller took for whole: because of a framing of this instance's
// own, because the connection ended in the ordinary way, or because the text of a failure followed.
func TestServiceAnswersThatMayHaveBrokenOff(t *testing.T) {
	const part = "part of an answer"
	lost := requester.RefuseTargetLost("The target was lost.")
	tests := map[string]struct {
		protocol string
		unframed bool
		err      error
		panics   bool
		// whole is true if the answer may look whole, and framed if it then may have a length or chunks.
		whole, framed bool
	}{
		"whole":                         {"HTTP/1.1", false, nil, false, true, true},
		"whole, HTTP/1.0":               {"HTTP/1.0", false, nil, false, true, true},
		"without framing":               {"HTTP/1.1", true, nil, false, true, false},
		"without framing, HTTP/1.0":     {"HTTP/1.0", true, nil, false, true, false},
		"broken off":                    {"HTTP/1.1", false, lost, false, false, false},
		"broken off, HTTP/1.0":          {"HTTP/1.0", false, lost, false, false, false},
		"broken off without framing":    {"HTTP/1.1", true, lost, false, false, false},
		"the handler panics":            {"HTTP/1.1", false, nil, true, false, false},
		"the handler panics, HTTP/1.0":  {"HTTP/1.0", false, nil, true, false, false},
		"the handler panics, unframed":  {"HTTP/1.1", true, nil, true, false, false},
		"broken off, HTTP/1.0 unframed": {"HTTP/1.0", true, lost, false, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ha := newHarness(t)
			ha.answer = func(_ *requester.Request, sink requester.Sink) (requester.Usage, error) {
				header := http.Header{"Content-Type": {"text/plain"}}
				if tt.unframed {
					requester.MarkUnframed(header)
				}
				_ = sink.Head(http.StatusOK, header)
				_ = sink.Data([]byte(part))
				if tt.panics {
					panic("a fault of the handler")
				}
				return requester.Usage{}, tt.err
			}
			conn, err := net.Dial("tcp4", ha.serveRaw(t))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "GET /services/stock/parts %s\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", tt.protocol, ha.key)
			rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				if tt.whole {
					t.Error(err)
				}
				return
			}
			defer func() { _ = rs.Body.Close() }()
			text, err := io.ReadAll(rs.Body)
			if (err == nil) != tt.whole || tt.whole && string(text) != part {
				t.Errorf("got %q, %v", text, err)
			}
			if framed := rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0; tt.whole && framed && !tt.framed {
				t.Errorf("framed as whole: length %d, encoding %q", rs.ContentLength, rs.TransferEncoding)
			}
		})
	}
}
