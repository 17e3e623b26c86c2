package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"lovagebank/forwarder"
	"lovagebank/inspector"
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

// Guards against review/3: heads that never end, of short fields, stop just below the limit in bytes and go on with a line
// now and then. Each held over a megabyte until its caller's deadline, and the process ran out of memory.
func TestHeadsOfShortFieldsEndAtOnce(t *testing.T) {
	tests := map[string]struct{ begin, field string }{
		"a head":              {"HTTP/1.1 200 OK\r\n", "ab:\r\n"},
		"an interim response": {"HTTP/1.1 103 Early Hints\r\n", "ab:\r\n"},
		"interim responses":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"after a response to another request": {
			"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", "ab:\r\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
				st.receive(reader)
				_, _ = conn.Write([]byte(tt.begin + strings.Repeat(tt.field, 60000/len(tt.field))))
				_, _ = reader.ReadByte()
			})
			_, err := send(forwarder.New(forwarder.Options{}), st, "id-1", "body")
			if !errors.Is(err, inspector.ErrHeadTooLong) || !mayHaveRun(t, err) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// The heads of all responses together hold no more than the budget, and nothing once they have ended.
func TestHeadsShareABudget(t *testing.T) {
	const limit, requests = 1 << 20, 40
	var mu sync.Mutex
	var used, peak int64
	fo := forwarder.New(forwarder.Options{Budget: inspector.Budget{
		Reserve: func(bytes int64) bool {
			mu.Lock()
			defer mu.Unlock()
			if used+bytes > limit {
				return false
			}
			used += bytes
			peak = max(peak, used)
			return true
		},
		Release: func(bytes int64) {
			mu.Lock()
			defer mu.Unlock()
			used -= bytes
		},
	}})
	ctx, cancel := context.WithCancel(t.Context())
	var refused atomic.Int64
	st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
		st.receive(reader)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 60000)))
		_, _ = reader.ReadByte()
	})
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			_, err := fo.Send(ctx, forwarder.Target{ID: "t", Address: st.listener.Addr().String()}, &forwarder.Request{
				Method: http.MethodGet, URI: "/", Host: "h", ID: "id", ResponseID: func(http.Header) string { return "id" },
			})
			if errors.Is(err, inspector.ErrNoMemory) {
				refused.Add(1)
			}
			if refused.Load() > requests/2 {
				cancel()
			}
		})
	}
	all.Wait()
	cancel()
	if peak > limit || used != 0 || refused.Load() == 0 {
		t.Errorf("at most %d bytes reserved, %d stay reserved, %d refused", peak, used, refused.Load())
	}
}
