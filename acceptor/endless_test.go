package acceptor_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endless writes a text again and again until the connection is closed, and counts the bytes.
func endless(sent *atomic.Int64, head func(http.ResponseWriter), text string, every time.Duration) http.HandlerFunc {
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

// A target in trouble sends bytes without end where a body is due, at once or now and then. What is read of them is bounded,
// and the request goes to another target where it has not run, or may run again.
func TestBodiesWithoutEnd(t *testing.T) {
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
		"an event of a stream that may be resumed": {"/resume/1", plain, junk, 0},
		"a refusal":                     {"/unsafe/1", rejected, junk, 0},
		"a refusal that trickles":       {"/unsafe/1", rejected, "x", 5 * time.Millisecond},
		"a stream's refusal":            {"/stream/1", rejected, junk, 0},
		"a failure of a safe request":   {"/safe/1", failed, junk, 0},
		"a failure that trickles":       {"/safe/1", failed, "x", 5 * time.Millisecond},
		"a failure of a safe stream":    {"/resume/1", failed, junk, 0},
		"a stream's failure, trickling": {"/resume/1", failed, "x", 5 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wo := newWorld(t)
			var sent, asked atomic.Int64
			bad := endless(&sent, tt.head, tt.text, tt.every)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if asked.Add(1) == 1 {
					bad(w, r)
					return
				}
				ok(w, r)
			}
			for _, id := range []string{"t1", "t2"} {
				wo.target(id, "plain", handler)
				wo.target("e"+id, "engines", handler)
			}
			wo.expect(tt.path, nil, http.StatusOK)
			if got := sent.Load(); got > 16<<20 {
				t.Errorf("%d bytes were taken in", got)
			}
		})
	}
}
