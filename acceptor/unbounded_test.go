package acceptor_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// unboundedBody returns a handler that writes a text repeatedly until the connection is closed, and counts the bytes.
func unboundedBody(sent *atomic.Int64, head func(http.ResponseWriter), text string, every time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		head(w)
		for {
			count, err := w.Write([]byte(text))
			if err != nil {
				return
			}
			sent.Add(int64(count))
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(every)
		}
	}
}

// A faulty target sends an unbounded response body, fast or in a trickle. The instance reads a bounded part of it, and the
// request goes to another target if it has not run or may run again.
func TestUnboundedBodies(t *testing.T) {
	junk := strings.Repeat("x", 16<<10)
	plain := func(http.ResponseWriter) {}
	rejected := func(w http.ResponseWriter) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }
	tests := map[string]struct {
		path  string
		head  func(http.ResponseWriter)
		text  string
		every time.Duration
	}{
		"an event of a resumable stream": {"/resume/1", plain, junk, 0},
		"a refusal":                      {"/unsafe/1", rejected, junk, 0},
		"a refusal that trickles":        {"/unsafe/1", rejected, "x", 5 * time.Millisecond},
		"a stream's refusal":             {"/stream/1", rejected, junk, 0},
		"a failure of a safe request":    {"/safe/1", failed, junk, 0},
		"a failure that trickles":        {"/safe/1", failed, "x", 5 * time.Millisecond},
		"a failure of a safe stream":     {"/resume/1", failed, junk, 0},
		"a stream's failure, trickling":  {"/resume/1", failed, "x", 5 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			var sent, asked atomic.Int64
			bad := unboundedBody(&sent, tt.head, tt.text, tt.every)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if asked.Add(1) == 1 {
					bad(w, r)
					return
				}
				ok(w, r)
			}
			for _, id := range []string{"t1", "t2"} {
				ti.addTarget(id, "plain", handler)
				ti.addTarget("e"+id, "engines", handler)
			}
			ti.expectStatus(tt.path, nil, http.StatusOK)
			if got := sent.Load(); got > 16<<20 {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}
