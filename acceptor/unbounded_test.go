package acceptor_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovagebank/acceptor"
	"lovagebank/reserver"
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

// Guards against events without end that together use up the memory of an instance: each stream may hold one of up to 256
// KB, all of them no more than the budget of answers, and nothing once they have ended.
func TestPendingEventsShareABudget(t *testing.T) {
	const (
		budget  = 512 << 10
		streams = 12
	)
	op := reserver.Options{Total: 64 << 20}
	op.Limits[reserver.Requests], op.Limits[reserver.Responses], op.Limits[reserver.Answers] = 32<<20, 8<<20, budget
	re := reserver.New(op)
	ti := newTestInstanceOptions(t, 100, func(op *acceptor.Options) { op.Reserver = re })
	release := make(chan struct{})
	ti.addTarget("e1", "engines", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, firstEvent+"data: "+strings.Repeat("x", 200<<10))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	var tasks sync.WaitGroup
	for range streams {
		tasks.Go(func() { _, _, _ = ti.send("/resume/1", nil) })
	}
	for re.Counts().Refused[reserver.Answers] == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	tasks.Wait()
	counts := re.Counts()
	if counts.Used[reserver.Answers] != 0 {
		t.Errorf("%d bytes stay reserved", counts.Used[reserver.Answers])
	}
}
