package forwarder_test

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"lovagebank/forwarder"
)

// A faulty target sends an unbounded response head. The connection is closed after a bounded number of bytes, well before
// the caller's deadline, and the error says that the request may have run.
func TestUnboundedResponseHeads(t *testing.T) {
	junk := strings.Repeat("x", 1000)
	tests := map[string]struct{ begin, again string }{
		"status line":                                {"", junk},
		"one header field":                           {"HTTP/1.1 200 OK\r\nLong: ", junk},
		"many header fields":                         {"HTTP/1.1 200 OK\r\n", "Field: " + junk + "\r\n"},
		"interim responses":                          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"empty lines":                                {"", "\r\n"},
		"responses to other requests":                {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"},
		"responses to other requests, with a body":   {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1000\r\n\r\n" + junk},
		"long body of a response to another request": {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 9000000\r\n\r\n", junk},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				st.receive(reader)
				text := tt.begin
				for {
					count, err := conn.Write([]byte(text))
					sent.Add(int64(count))
					if err != nil {
						return
					}
					text = tt.again
				}
			})
			_, err := send(forwarder.New(forwarder.Options{}), st, "id-1", "body")
			if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("got %v", err)
			}
			if !mayHaveRun(t, err) {
				t.Errorf("got %v: the request may have run", err)
			}
			<-closed
			// The count includes the bytes read and the bytes in the connection's buffers.
			if got := sent.Load(); got > 16<<20 {
				t.Errorf("%d bytes were sent", got)
			}
		})
	}
}
