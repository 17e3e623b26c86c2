package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// coldTime is how long a target is cold after its start, in fleets with such targets. It tolerates coldRate
	// requests a second meanwhile: within any one second coldOver times as many, plus coldSlack.
	coldTime  = 3 * time.Second
	coldRate  = 3
	coldOver  = 1.5
	coldSlack = 5
	// coldNotice is the time within which instances have to learn that a serving target has become cold again. The
	// bound on its requests is checked from then on.
	coldNotice = 2500 * time.Millisecond
)

// coldSpan is a time during which a target is cold. Its bound is checked from bindsAt on.
type coldSpan struct {
	bindsAt time.Time
	until   time.Time
}

// coldness records when a target is cold and which requests reach it.
type coldness struct {
	spans []coldSpan
	// arrivals are the requests that reached the target; those that it turned away as misdirected are void.
	arrivals []*coldArrival
}

type coldArrival struct {
	Arrival
	void bool
}

// startCold makes a target that starts cold.
func (ta *Target) startCold() {
	now := time.Now()
	ta.cold.spans = append(ta.cold.spans, coldSpan{bindsAt: now, until: now.Add(coldTime)})
}

// BecomeCold makes a target that serves cold again for a time. If listed is set, it writes its entry in the store;
// otherwise only its health check says so. It returns an error if there is no such target.
func (fl *Fleet) BecomeCold(id string, length time.Duration, listed bool) error {
	ta := fl.Target(id)
	if ta == nil {
		return fmt.Errorf("no target %s", id)
	}
	ta.mu.Lock()
	now := time.Now()
	ta.cold.spans = append(ta.cold.spans, coldSpan{bindsAt: now.Add(coldNotice), until: now.Add(length)})
	ta.mu.Unlock()
	if !listed {
		return nil
	}
	return fl.register(ta)
}

// coldLeft returns how much longer the target stays cold; the lock is held.
func (ta *Target) coldLeft() time.Duration {
	left := time.Duration(0)
	for _, sp := range ta.cold.spans {
		left = max(left, time.Until(sp.until))
	}
	return left
}

// coldLeftMs returns how much longer the target stays cold, for its entry; nil in fleets without cold targets.
func (ta *Target) coldLeftMs() *int64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if len(ta.cold.spans) == 0 {
		return nil
	}
	ms := ta.coldLeft().Milliseconds()
	return &ms
}

// sendHealth answers the health check and reports whether the request was one.
func (ta *Target) sendHealth(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != healthPath {
		return false
	}
	ta.stateHealth(w.Header())
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if len(ta.cold.spans) > 0 {
		w.Header().Set("Cold-Ms", strconv.FormatInt(ta.coldLeft().Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusOK)
	return true
}

// countColdArrival records a request that reaches the target. voidArrival can exclude it later. The lock is held.
func (ta *Target) countColdArrival(id string) *coldArrival {
	ar := &coldArrival{Arrival: Arrival{ID: id, At: time.Now()}}
	if len(ta.cold.spans) > 0 {
		ta.cold.arrivals = append(ta.cold.arrivals, ar)
	}
	return ar
}

// rejectedAsBusy reports whether a response rejects a request without having run it.
func rejectedAsBusy(header http.Header) bool { return header.Get("Not-Executed") != "" }

// coldBefore returns a copy of the cold times and arrivals of a target, to carry over to its next start.
func (ta *Target) coldBefore() coldness {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return coldness{spans: slices.Clone(ta.cold.spans), arrivals: slices.Clone(ta.cold.arrivals)}
}

// voidArrival excludes a request from the check, as the target has rejected it as misdirected.
func (ta *Target) voidArrival(ar *coldArrival) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ar.void = true
}

// ColdExcess describes the first second in which the target got more requests than it tolerates while it is cold; empty
// if there is none. The function counts reports whether an arrival counts; nil counts all.
func (ta *Target) ColdExcess(counts func(ar Arrival) bool) string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	const allowed = coldRate*coldOver + coldSlack
	for _, sp := range ta.cold.spans {
		var counted []time.Time
		for _, ar := range ta.cold.arrivals {
			if ar.void || ar.At.Before(sp.bindsAt) || ar.At.After(sp.until) || counts != nil && !counts(ar.Arrival) {
				continue
			}
			counted = append(counted, ar.At)
			for ar.At.Sub(counted[0]) >= time.Second {
				counted = counted[1:]
			}
			if float64(len(counted)) > allowed {
				return fmt.Sprintf("%s got %d requests in a second while it was cold; allowed %g", ta.id, len(counted), allowed)
			}
		}
	}
	return ""
}

// ColdArrivals returns the number of requests that reached the target since a time.
func (ta *Target) ColdArrivals(since time.Time) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	count := 0
	for _, ar := range ta.cold.arrivals {
		if !ar.void && ar.At.After(since) {
			count++
		}
	}
	return count
}
