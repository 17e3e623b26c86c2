package emulator

import (
	"net/http"
	"strconv"
	"time"
)

// AnnounceLeaving has the target say in all its answers that it is leaving, while its entry in the store stays as it is.
func (ta *Target) AnnounceLeaving() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.leaving = true
}

// RejectRequests has the target turn requests away for a time, and ask their senders to send nothing until its end.
func (ta *Target) RejectRequests(wait time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.awayUntil = time.Now().Add(wait)
}

// RejectedRequests is the number of requests that were turned away.
func (ta *Target) RejectedRequests() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.turnedAway
}

// sayLeaving adds to an answer that the target is leaving.
func (ta *Target) sayLeaving(header http.Header) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.leaving {
		header.Set("Server-Leaving", "1")
	}
}

// turnAway answers a request without running it; false where the target takes requests.
func (ta *Target) turnAway(w http.ResponseWriter) bool {
	ta.mu.Lock()
	left := time.Until(ta.awayUntil)
	if left > 0 {
		ta.turnedAway++
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
