package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lovagebank/acceptor"
	"lovagebank/listener"
	"lovagebank/reserver"
	"lovagebank/router"
)

// bounded opens a second front of the instance, behind a Listener and with a budget.
func (ti *testInstance) bounded(re *reserver.Reserver, op listener.Options) {
	ti.t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		ti.t.Fatal(err)
	}
	ti.options.Reserver = re
	ac := acceptor.New(ti.options)
	op.MaxHeaderFields, op.TooManyFields, op.Reserver = 20, ac.RefuseFields, re
	bo := listener.Wrap(inner, op)
	hs := &http.Server{Handler: ac, ReadHeaderTimeout: time.Minute}
	bo.Attach(hs)
	go func() { _ = hs.Serve(bo) }()
	ti.t.Cleanup(func() { _ = hs.Close() })
	ti.address = inner.Addr().String()
}

// raw sends a text on a new connection and returns the response and whether the connection was closed after it.
func (ti *testInstance) raw(text string) (status int, header http.Header, closed bool) {
	ti.t.Helper()
	conn, err := net.Dial("tcp4", ti.address)
	if err != nil {
		ti.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		ti.t.Fatal(err)
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		ti.t.Fatal(err)
	}
	_ = rs.Body.Close()
	return rs.StatusCode, rs.Header, rs.Close
}

// TestUnfinishedBodies guards against memory held by bodies that are never used, and against waiting for the rest of one
// that is refused. The bodies of these requests stay unfinished.
func TestUnfinishedBodies(t *testing.T) {
	t.Parallel()
	budget := func(bodies, requests int64) reserver.Options {
		op := reserver.Options{Total: 1 << 20, SmallBody: 1 << 20}
		op.Limits[reserver.Connections], op.Limits[reserver.Bodies], op.Limits[reserver.Requests] = 1<<20, bodies, requests
		return op
	}
	head := func(path, key, rest string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nRequest-Id: r1\r\n%s", path, host, key, rest)
	}
	part := strings.Repeat("b", 500)
	tests := map[string]struct {
		budget reserver.Options
		text   string
		status int
	}{
		"no route":       {budget(0, 1<<20), head("/other", "key", "Content-Length: 900\r\n\r\n"+part), 404},
		"unknown key":    {budget(0, 1<<20), head("/safe/", "other", "Content-Length: 900\r\n\r\n"+part), 401},
		"over the limit": {budget(0, 1<<20), head("/safe/", "key", "Content-Length: 1001\r\n\r\n"+part), 413},
		"chunks over it": {
			budget(0, 1<<20), head("/safe/", "key", "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1f4\r\n"+part+"\r\n", 3)), 413,
		},
		"no room for a work": {budget(1<<20, 1<<10), head("/safe/", "key", "Content-Length: 500\r\n\r\n"+part), 503},
		"too many fields": {
			budget(1<<20, 1<<20), head("/safe/", "key", strings.Repeat("A: b\r\n", 30)+"Content-Length: 900\r\n\r\n"+part), 431,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ti := newTestInstance(t)
			ti.addTarget("t1", "plain", func(http.ResponseWriter, *http.Request) { t.Error("the target ran the request") })
			re := reserver.New(tt.budget)
			ti.bounded(re, listener.Options{})
			status, header, closed := ti.raw(tt.text)
			if status != tt.status || header.Get("Request-Id") != "r1" {
				t.Errorf("status %d, want %d; request ID %q", status, tt.status, header.Get("Request-Id"))
			}
			if unfinished := tt.status != 503; unfinished && !closed {
				t.Error("the connection stays open")
			}
			if status == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
				t.Error("503 without Retry-After")
			}
			<-ti.outcomes
			for _, class := range []reserver.Class{reserver.Bodies, reserver.Requests, reserver.Responses} {
				if used := re.Counts().Used[class]; used != 0 {
					t.Errorf("%d bytes of %v held afterwards", used, class)
				}
			}
		})
	}
}

// TestLargeBodies covers bodies that need more than one step, declared and in chunks, and a budget that has room for them or not.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	const size = 300 << 10
	for name, tt := range map[string]struct {
		bodies int64
		length int64
		status int
	}{
		"declared":           {1 << 20, size, 200},
		"in chunks":          {2 << 20, -1, 200},
		"declared, no room":  {100 << 10, size, 503},
		"in chunks, no room": {100 << 10, -1, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ti := newTestInstance(t)
			cf := configurationWith(1 << 20)
			ti.options.Configuration = func() *router.Configuration { return cf }
			got := make(chan int64, 1)
			ti.addTarget("t1", "plain", func(_ http.ResponseWriter, r *http.Request) { got <- r.ContentLength })
			op := reserver.Options{Total: 8 << 20, SmallBody: 1 << 20}
			op.Limits[reserver.Connections], op.Limits[reserver.Bodies] = 1<<20, tt.bodies
			op.Limits[reserver.Requests], op.Limits[reserver.Responses] = 1<<20, 1<<20
			ti.bounded(reserver.New(op), listener.Options{})
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+ti.address+"/safe/",
				io.LimitReader(strings.NewReader(strings.Repeat("b", size)), size))
			if err != nil {
				t.Fatal(err)
			}
			rq.Host, rq.ContentLength = host, tt.length
			rq.Header.Set("X-Api-Key", "key")
			rq.Header.Set("Request-Id", "r1")
			rs, err := http.DefaultClient.Do(rq)
			if err != nil {
				t.Fatal(err)
			}
			_ = rs.Body.Close()
			if rs.StatusCode != tt.status {
				t.Errorf("status %d, want %d", rs.StatusCode, tt.status)
			}
			if tt.status == http.StatusOK {
				if count := <-got; count != size {
					t.Errorf("the target got %d bytes, want %d", count, size)
				}
			}
		})
	}
}
