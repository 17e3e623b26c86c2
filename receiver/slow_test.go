package receiver_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lovagebank/requester"
)

func dialBench(t *testing.T, be *bench) net.Conn {
	t.Helper()
	hs := httptest.NewServer(be.handler)
	t.Cleanup(hs.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(hs.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestCallerThatStopsSending(t *testing.T) {
	t.Parallel()
	be := newBench(t)
	conn := dialBench(t, be)
	if _, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n{", be.key); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	checkAnswer(t, response, http.StatusRequestTimeout, "too-slow")
}

// TestCallerThatStopsReading ends only when the receiver gives a caller up that takes no byte.
func TestCallerThatStopsReading(t *testing.T) {
	t.Parallel()
	be := newBench(t)
	gone := make(chan error, 1)
	be.answer = func(_ *requester.Request, sink requester.Sink) (requester.Usage, error) {
		err := sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		for block := make([]byte, 1<<16); err == nil; {
			err = sink.Data(block)
		}
		gone <- err
		return requester.Usage{}, requester.RefuseUnknown(requester.CodeCancelled, "The caller is gone.", 0)
	}
	conn := dialBench(t, be)
	body := strings.Replace(chatBody, "{", `{"stream":true,`, 1)
	if _, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", be.key, len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := <-gone; err == nil {
		t.Error("no error for a caller that takes nothing")
	}
}
