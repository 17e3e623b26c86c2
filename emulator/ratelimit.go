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
	// limitBinds is the time after which a newly named limit binds, and limitNotice the time that instances have to hear of a
	// change: requests that arrive within it are not counted.
	limitBinds  = 3 * time.Second
	limitNotice = time.Second
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
	// arrivals are the times of the requests that reached the target since it first named a limit.
	arrivals []time.Time
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

// countArrival counts a request that has reached the target.
func (ta *Target) countArrival() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if len(ta.rateLimit.spans) > 0 {
		ta.rateLimit.arrivals = append(ta.rateLimit.arrivals, time.Now())
	}
}

// ArrivalsSince returns the number of requests that have reached the target since a time after it first named a rate limit.
func (ta *Target) ArrivalsSince(since time.Time) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	count := 0
	for _, at := range ta.rateLimit.arrivals {
		if at.After(since) {
			count++
		}
	}
	return count
}

// RateLimitExcess describes the first time window in which the target got more requests than its rate limit allows; empty if
// there is none. The function excused reports whether a window is left out.
func (ta *Target) RateLimitExcess(excused func(from, until time.Time) bool) string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, sp := range ta.rateLimit.spans {
		if excess := ta.rateLimit.excessIn(sp, excused); excess != "" {
			return ta.id + " " + excess
		}
	}
	return ""
}

// excessIn describes the first window of a span with too many requests.
func (rl *rateLimit) excessIn(sp limitSpan, excused func(from, until time.Time) bool) string {
	allowed := limitTolerance*sp.rate*limitWindow.Seconds() + limitSlack
	first := 0
	for at, until := range rl.arrivals {
		from := until.Add(-limitWindow)
		if told := sp.from.Add(limitNotice); from.Before(told) {
			from = told
		}
		for first < at && !rl.arrivals[first].After(from) {
			first++
		}
		over := until.After(sp.from.Add(limitBinds)) && (sp.until.IsZero() || until.Before(sp.until))
		if count := at - first + 1; over && float64(count) > allowed && !excused(from, until) {
			return fmt.Sprintf("got %d requests in %v at a limit of %g a second; allowed %g", count, until.Sub(from), sp.rate, allowed)
		}
	}
	return ""
}
