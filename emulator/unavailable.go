package emulator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// leavingNotice is the time from the announcement that a target is leaving until requests may no longer reach it.
const leavingNotice = 2 * time.Second

// AnnounceLeaving makes the target announce in all its responses that it is leaving. Its entry in the store stays unchanged.
func (ta *Target) AnnounceLeaving() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.leaving = true
}

// Leave records that it has been announced that the target is leaving.
func (ta *Target) Leave() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.leftAt.IsZero() {
		ta.leftAt = time.Now()
	}
}

// countLateArrival counts a request that reaches the target although it has left; the lock is held.
func (ta *Target) countLateArrival(id string) {
	if !ta.leftAt.IsZero() && time.Since(ta.leftAt) > leavingNotice {
		ta.lateArrivals = append(ta.lateArrivals, Arrival{ID: id, At: time.Now()})
	}
}

// LateArrivals returns the requests that reached the target more than two seconds after its leaving was written to the
// store, and that time.
func (ta *Target) LateArrivals() (arrivals []Arrival, leftAt time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return append([]Arrival(nil), ta.lateArrivals...), ta.leftAt
}

// Drain registers a target as draining. It goes on serving. It returns an error if there is no such target.
func (fl *Fleet) Drain(id string) error {
	ta := fl.Target(id)
	if ta == nil {
		return oops.Errorf("no target %s", id)
	}
	address, err := fl.op.AddressOverride("target/"+id, ta.address)
	if err != nil {
		return err
	}
	re := ta.registration(address)
	re.State = "draining"
	ta.Leave()
	return fl.store.Put("servers/"+id, re)
}

// Deregister removes a target's entry from the store, as a target does that leaves without being registered as draining
// before. It goes on serving.
func (fl *Fleet) Deregister(id string) {
	if ta := fl.Target(id); ta != nil {
		ta.Leave()
	}
	fl.store.Remove("servers/" + id)
}

// Lapse removes a target's entry from the store for a time, as when its lease lapses while the target lives. The entry
// is as it was then.
func (fl *Fleet) Lapse(id string, away time.Duration) error {
	ta := fl.Target(id)
	if ta == nil {
		return oops.Errorf("no target %s", id)
	}
	fl.store.Remove("servers/" + id)
	time.Sleep(away)
	return fl.register(ta)
}

// RejectRequests makes the target reject requests for the given time, with a Retry-After header that asks senders to
// wait until then.
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
