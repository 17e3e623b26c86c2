package acceptor_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
)

// countRequests returns a handler that counts its requests.
func countRequests(count *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handler(w, r)
	}
}

// A target that announces in a response that it is leaving gets no further requests, whatever the response was.
func TestSendsNothingToLeavingTarget(t *testing.T) {
	leaving := func(handler http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			handler(w, r)
		}
	}
	tests := map[string]struct {
		path    string
		service string
		handler http.HandlerFunc
	}{
		"success":        {"/safe/1", "plain", ok},
		"failure":        {"/safe/1", "plain", failure},
		"not executed":   {"/unsafe/1", "plain", notRun},
		"stream":         {"/stream/1", "engines", ok},
		"stream refused": {"/stream/1", "engines", notRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			var count atomic.Int64
			ti.addTarget("t1", tt.service, countRequests(&count, leaving(tt.handler)))
			if _, _, err := ti.send(tt.path, nil); err != nil {
				t.Fatal(err)
			}
			ti.addTarget("t2", tt.service, ok)
			for range 3 {
				ti.expectStatus(tt.path, nil, http.StatusOK)
			}
			if count.Load() != 1 {
				t.Errorf("%d requests reached the leaving target", count.Load())
			}
		})
	}
}

// A target that refuses requests with Retry-After gets no requests until then, and callers get the remaining time in their
// own Retry-After.
func TestHonoursRetryAfter(t *testing.T) {
	ti := newTestInstance(t)
	var count atomic.Int64
	ti.addTarget("t1", "plain", countRequests(&count, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "7")
		notRun(w, r)
	}))
	for range 3 {
		rs, _ := ti.expectStatus("/unsafe/1", nil, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		if err != nil || wait < 6 || wait > 7 {
			t.Errorf("Retry-After %q", rs.Header.Get("Retry-After"))
		}
	}
	if count.Load() != 1 {
		t.Errorf("%d requests reached the target", count.Load())
	}
	ti.addTarget("t2", "plain", ok)
	ti.expectStatus("/unsafe/1", nil, http.StatusOK)
}
