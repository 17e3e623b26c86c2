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

// A target in trouble sends bytes without end where the head of an answer is due. The connection is closed after a bounded
// number of them, well before the caller's deadline, and the request may have run.
func TestHeadsWithoutEnd(t *testing.T) {
	junk := strings.Repeat("x", 1000)
	tests := map[string]struct{ begin, again string }{
		"a first line":                    {"", junk},
		"one field":                       {"HTTP/1.1 200 OK\r\nLong: ", junk},
		"fields":                          {"HTTP/1.1 200 OK\r\n", "Field: " + junk + "\r\n"},
		"interim answers":                 {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"empty lines":                     {"", "\r\n"},
		"answers to other requests":       {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"},
		"answers to others, with a body":  {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1000\r\n\r\n" + junk},
		"the body of an answer to others": {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 9000000\r\n\r\n", junk},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			tr := newTarget(t, func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				tr.receive(reader)
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
			_, err := send(forwarder.New(), tr, "id-1", "body")
			if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("got %v", err)
			}
			if !mayHaveRun(t, err) {
				t.Errorf("got %v: the request may have run", err)
			}
			<-closed
			// What was read, and what the buffers of the link hold.
			if got := sent.Load(); got > 16<<20 {
				t.Errorf("%d bytes were taken in", got)
			}
		})
	}
}
