package emulator

import (
	"net/http"
	"strconv"
	"time"
)

// AnnounceLeaving makes the target announce in all its responses that it is leaving. Its entry in the store stays unchanged.
func (ta *Target) AnnounceLeaving() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.leaving = true
}

// RejectRequests makes the target reject requests for the given time, with a Retry-After header that asks senders to wait until then.
func (ta *Target) RejectRequests(wait time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rejectUntil = time.Now().Add(wait)
}

// RejectedRequests returns the number of rejected requests.
func (ta *Target) RejectedRequests() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.rejected
}

// announceLeaving sets the Server-Leaving header if the target is leaving.
func (ta *Target) announceLeaving(header http.Header) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.leaving {
		header.Set("Server-Leaving", "1")
	}
}

// reject rejects a request without running it. It returns false if the target accepts requests.
func (ta *Target) reject(w http.ResponseWriter) bool {
	ta.mu.Lock()
	left := time.Until(ta.rejectUntil)
	if left > 0 {
		ta.rejected++
	}
	ta.mu.Unlock()
	if left <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 2, 64))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
