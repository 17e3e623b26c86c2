package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// limitWindow is the time over which a target counts the requests that reach it against its rate limit. Within it, it
	// tolerates limitTolerance times what the limit allows, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitBinds is the time after which a newly named limit binds.
	limitBinds = 3 * time.Second
)

// limitSpan is a time in which the target names one rate limit.
type limitSpan struct {
	from time.Time
	// until is zero while the limit is in force.
	until time.Time
	rate  float64
}

// rateLimit is the rate limit of a target and what reached the target under it.
type rateLimit struct {
	// header is the value that the target names in its answers; empty for none.
	header string
	spans  []limitSpan
	// arrivals are the requests that reached the target since it first named a limit.
	arrivals []Arrival
}

// Arrival is a request that has reached a target.
type Arrival struct {
	ID string
	At time.Time
}

// NameRateLimit makes the target name a rate limit in all its answers, in requests a second.
func (ta *Target) NameRateLimit(rate float64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rateLimit.endSpan()
	ta.rateLimit.header = strconv.FormatFloat(rate, 'f', -1, 64)
	ta.rateLimit.spans = append(ta.rateLimit.spans, limitSpan{from: time.Now(), rate: rate})
}

// NameMalformedRateLimit makes the target send a value that is no rate limit. A limit in force goes on.
func (ta *Target) NameMalformedRateLimit(value string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rateLimit.header = value
}

// DropRateLimit makes the target name no rate limit any more.
func (ta *Target) DropRateLimit() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rateLimit.endSpan()
	ta.rateLimit.header = ""
}

func (rl *rateLimit) endSpan() {
	if last := len(rl.spans) - 1; last >= 0 && rl.spans[last].until.IsZero() {
		rl.spans[last].until = time.Now()
	}
}

// announceRateLimit sets the header of the rate limit, if there is one.
func (ta *Target) announceRateLimit(header http.Header) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.rateLimit.header != "" {
		header.Set("Server-Limit", ta.rateLimit.header)
	}
}

// countArrival counts a request that has reached the target. voidArrival makes it not count among those that reach a cold target.
func (ta *Target) countArrival(id string) *coldArrival {
	ta.evacuations.arrived(ta.id, ta.zone, id)
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.countLateArrival(id)
	if len(ta.rateLimit.spans) > 0 {
		ta.rateLimit.arrivals = append(ta.rateLimit.arrivals, Arrival{ID: id, At: time.Now()})
	}
	return ta.countColdArrival(id)
}

// ArrivalsSince returns the number of requests that have reached the target since a time after it first named a rate limit.
func (ta *Target) ArrivalsSince(since time.Time) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	count := 0
	for _, ar := range ta.rateLimit.arrivals {
		if ar.At.After(since) {
			count++
		}
	}
	return count
}

// RateLimitExcess describes the first time window in which the target got more requests than its rate limit allows; empty if
// there is none. The function counts reports whether an arrival counts, given the earlier ones under the same limit.
func (ta *Target) RateLimitExcess(counts func(ar Arrival, earlier []Arrival) bool) string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, sp := range ta.rateLimit.spans {
		if excess := sp.excess(ta.rateLimit.arrivals, counts); excess != "" {
			return ta.id + " " + excess
		}
	}
	return ""
}

// excess describes the first window of a span with too many requests.
func (sp limitSpan) excess(arrivals []Arrival, counts func(ar Arrival, earlier []Arrival) bool) string {
	allowed := limitTolerance*sp.rate*limitWindow.Seconds() + limitSlack
	var earlier []Arrival
	var counted []time.Time
	for _, ar := range arrivals {
		if ar.At.Before(sp.from) || !sp.until.IsZero() && ar.At.After(sp.until) {
			continue
		}
		if counts(ar, earlier) {
			counted = append(counted, ar.At)
		}
		earlier = append(earlier, ar)
		for len(counted) > 0 && ar.At.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		if ar.At.Sub(sp.from) > limitBinds && float64(len(counted)) > allowed {
			return fmt.Sprintf("got %d requests in %v at a limit of %g a second; allowed %g", len(counted), limitWindow, sp.rate, allowed)
		}
	}
	return ""
}
