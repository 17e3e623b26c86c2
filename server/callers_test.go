package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"lovagebank/requester"
)

// Guards against callers' requests that a draining instance reads and drops, or cuts at the end of its drain time, without an answer.
func TestDrainAnswersEachRequest(t *testing.T) {
	const drainTime = answerMargin + 500*time.Millisecond
	tests := map[string]struct {
		// late is set for a request that comes after the drain has begun, on a connection that was opened before.
		late   bool
		takes  time.Duration
		status int
		runs   bool
	}{
		"answered in time":     {false, 100 * time.Millisecond, http.StatusOK, true},
		"not answered in time": {false, time.Hour, http.StatusGatewayTimeout, true},
		"late":                 {true, time.Hour, http.StatusServiceUnavailable, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := make(chan string, 2)
			cr := newCallerRequests()
			handler := http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
				if err := cr.admit(); err != nil {
					rw.WriteHeader(requester.AsRefusal(err).Status())
					return
				}
				runs <- hr.URL.Path
				select {
				case <-hr.Context().Done():
					rw.WriteHeader(http.StatusGatewayTimeout)
				case <-time.After(tt.takes):
				}
			})
			socket, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			li := &listeners{requests: cr, caller: &http.Server{Handler: cr.handler(handler)}, peer: &http.Server{}, operator: &http.Server{}}
			li.sockets = []net.Listener{socket}
			go func() { _ = li.caller.Serve(socket) }()
			ask := func(conn net.Conn, path string) int {
				_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
				rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return 0
				}
				_ = rs.Body.Close()
				return rs.StatusCode
			}
			dial := func() net.Conn {
				conn, err := net.Dial("tcp4", socket.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			held, first := dial(), dial()
			answered := make(chan int, 2)
			go func() { answered <- ask(first, "/first") }()
			<-runs
			ctx, cancel := context.WithTimeout(t.Context(), drainTime)
			defer cancel()
			drained := make(chan error, 1)
			go func() { drained <- li.drainCallers(ctx) }()
			for tt.late && !cr.refusing.Load() {
				time.Sleep(time.Millisecond)
			}
			if tt.late {
				answered <- ask(held, "/held")
			}
			status, ran := <-answered, !tt.late || len(runs) > 0
			if status != tt.status || ran != tt.runs {
				t.Errorf("status %d, ran %t", status, ran)
			}
			if err := <-drained; err != nil {
				t.Errorf("drain: %v", err)
			}
		})
	}
}
