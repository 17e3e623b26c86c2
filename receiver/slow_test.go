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

func dialHarness(t *testing.T, ha *harness) net.Conn {
	t.Helper()
	hs := httptest.NewServer(ha.handler)
	t.Cleanup(hs.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(hs.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestRefusesBodyThatArrivesTooSlowly(t *testing.T) {
	t.Parallel()
	ha := newHarness(t)
	conn := dialHarness(t, ha)
	if _, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n{", ha.key); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	checkAnswer(t, response, http.StatusRequestTimeout, "too-slow")
}

// TestAbortsAnswerToCallerThatStopsReading guards against a caller that reads nothing and so keeps its slot on the
// target. The test ends only when writing to such a caller fails.
func TestAbortsAnswerToCallerThatStopsReading(t *testing.T) {
	t.Parallel()
	ha := newHarness(t)
	writeErr := make(chan error, 1)
	ha.answer = func(_ *requester.Request, sink requester.Sink) (requester.Usage, error) {
		err := sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		for block := make([]byte, 1<<16); err == nil; {
			err = sink.Data(block)
		}
		writeErr <- err
		return requester.Usage{}, requester.RefuseUnknown(requester.CodeCancelled, "The caller is gone.", 0)
	}
	conn := dialHarness(t, ha)
	body := strings.Replace(chatBody, "{", `{"stream":true,`, 1)
	if _, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", ha.key, len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := <-writeErr; err == nil {
		t.Error("no error for a caller that reads nothing")
	}
}
