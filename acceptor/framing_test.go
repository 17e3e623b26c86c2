package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"lovagebank/listener"
	"lovagebank/reserver"
)

const (
	firstEvent  = "id: 1\ndata: x1\n\n"
	secondEvent = "id: 2\ndata: x2\n\n"
	// chunkedHead and bareHead are fields of a head: with chunks, and with neither chunks nor a length.
	chunkedHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	bareHead    = "Content-Type: text/event-stream\r\n"
)

// chunk returns a text as a chunk of a body; the empty text as the last one.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// answerRaw returns a handler that answers with the given fields of the head and bytes of the body, and then closes the
// connection or resets it.
func answerRaw(fields, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\n%s\r\n%s", r.Header.Get("Request-Id"), fields, body)
		if tc, ok := conn.(*net.TCPConn); ok && reset {
			_ = tc.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// rawAnswer is an answer as a caller finds it on its connection.
type rawAnswer struct {
	*http.Response
	text string
	// err is why the body ended before its end; nil if it looks whole.
	err error
}

// ask sends a request on a new connection in the given version of HTTP and returns its answer.
func (ti *testInstance) ask(protocol, path string) rawAnswer {
	ti.t.Helper()
	conn, err := net.Dial("tcp4", ti.address)
	if err != nil {
		ti.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: %s\r\nX-Api-Key: key\r\nRequest-Id: id-1\r\nModel-Name: m/a\r\nContent-Length: 4\r\n\r\nbody",
		path, protocol, host)
	if err != nil {
		ti.t.Fatal(err)
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		ti.t.Fatal(err)
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	return rawAnswer{rs, string(text), err}
}

// newFramingInstance returns an instance of whose two targets the one that is asked first answers as given, and the other one
// with the rest of the stream in the second handler; nil for a target that fails.
func newFramingInstance(t *testing.T, first, second http.HandlerFunc) *testInstance {
	t.Helper()
	ti := newTestInstance(t)
	ti.bounded(reserver.New(reserver.Options{}), listener.Options{})
	var asked atomic.Int64
	answer := func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			first(w, r)
			return
		}
		second(w, r)
	}
	for _, id := range []string{"1", "2"} {
		ti.addTarget("p"+id, "plain", answer)
		ti.addTarget("e"+id, "engines", answer)
	}
	return ti
}

// Guards against a broken-off answer that its caller took for whole, because this instance added a length or a last chunk to an
// answer whose end only its connection marked.
func TestUnframedAnswersGetNoFraming(t *testing.T) {
	tests := map[string]struct{ path, fields, body string }{
		"a stream, which may have broken off between two events": {"/stream/1", bareHead, firstEvent},
		"a resumable stream":              {"/resume/1", bareHead, firstEvent},
		"an answer to a safe request":     {"/safe/1", "", "answer"},
		"an answer to an unsafe request":  {"/unsafe/1", "", "answer"},
		"an empty answer":                 {"/unsafe/1", "", ""},
		"an answer too long to buffer":    {"/safe/1", "", strings.Repeat("long", maxBuffered/4+1)},
		"an answer that asks for a close": {"/safe/1", "Connection: close\r\n", "answer"},
	}
	for name, tt := range tests {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+protocol, func(t *testing.T) {
				ti := newFramingInstance(t, answerRaw(tt.fields, tt.body, false), failure)
				an := ti.ask(protocol, tt.path)
				if an.err != nil || an.text != tt.body || an.Header.Get("Response-Seal") != "seal" {
					t.Fatalf("got %d bytes, %v, header %v", len(an.text), an.err, an.Header)
				}
				if an.ContentLength >= 0 || len(an.TransferEncoding) > 0 || !an.Close {
					t.Errorf("framed as whole: length %d, encoding %q, close %t", an.ContentLength, an.TransferEncoding, an.Close)
				}
			})
		}
	}
}

// maxBuffered is the size up to which a response is buffered, in bytes.
const maxBuffered = 1 << 20

// Guards against a broken-off answer that its caller took for whole, because the caller's connection was closed in the ordinary
// way where only that marks the end of an answer.
func TestBrokenAnswersNeverLookWhole(t *testing.T) {
	long := strings.Repeat("long", maxBuffered/4+1)
	tests := map[string]struct {
		path string
		// protocols are the versions of HTTP in which the caller asks.
		protocols     []string
		first, second http.HandlerFunc
		text          string
	}{
		"a stream without framing, inside an event": {
			"/stream/1", []string{"HTTP/1.1", "HTTP/1.0"}, answerRaw(bareHead, firstEvent+"id: 2\nda", false), failure, firstEvent + "id: 2\nda",
		},
		"a stream without framing, reset": {
			"/stream/1", []string{"HTTP/1.1", "HTTP/1.0"}, answerRaw(bareHead, firstEvent, true), failure, firstEvent,
		},
		"a stream in chunks": {
			"/stream/1", []string{"HTTP/1.1", "HTTP/1.0"}, answerRaw(chunkedHead, chunk(firstEvent), false), failure, firstEvent,
		},
		"a long answer without framing, reset": {"/safe/1", []string{"HTTP/1.1", "HTTP/1.0"}, answerRaw("", long, true), failure, ""},
		"a long answer in chunks":              {"/safe/1", []string{"HTTP/1.0"}, answerRaw("Transfer-Encoding: chunked\r\n", chunk(long), false), failure, ""},
		"a long answer with a length":          {"/safe/1", []string{"HTTP/1.1", "HTTP/1.0"}, answerRaw("Content-Length: 9999999\r\n", long, false), failure, ""},
		"a resumable stream in chunks, whose next target fails": {
			"/resume/1", []string{"HTTP/1.1", "HTTP/1.0"}, answerRaw(chunkedHead, chunk(firstEvent), false), failure, firstEvent,
		},
		"a resumable stream in chunks, whose rest comes without framing": {
			"/resume/1",
			[]string{"HTTP/1.1"},
			answerRaw(chunkedHead, chunk(firstEvent), false), answerRaw(bareHead, secondEvent, false),
			firstEvent + secondEvent,
		},
	}
	for name, tt := range tests {
		for _, protocol := range tt.protocols {
			t.Run(name+", "+protocol, func(t *testing.T) {
				ti := newFramingInstance(t, tt.first, tt.second)
				an := ti.ask(protocol, tt.path)
				if an.err == nil && an.StatusCode == http.StatusOK {
					t.Errorf("looks whole: %d bytes, length %d, encoding %q", len(an.text), an.ContentLength, an.TransferEncoding)
				}
				if tt.text != "" && an.text != tt.text {
					t.Errorf("got %q, want %q", an.text, tt.text)
				}
			})
		}
	}
}
