package acceptor

import (
	"strings"
	"time"

	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/router"
)

// Outcome tells how a request went, for logs and metrics.
type Outcome struct {
	id           string
	route        *router.Route
	organisation string
	cost         float64
	// allowance is why the organisation's allowance did not pay for the request.
	allowance  allotter.Decision
	version    int64
	arrived    time.Time
	firstAt    time.Time
	status     int
	reason     string
	retryAfter time.Duration
	target     string
	load       float64
	loadAge    time.Duration
	tries      int
	loadWait   time.Duration
	// turnWait is how long the prompt waited for its turn at its target.
	turnWait time.Duration
	// backOff is how long the last target that turned the request away asked to be left alone.
	backOff time.Duration
	adapter balancer.Adapter
	// asked are the targets that were asked to load the adapter.
	asked   []string
	events  int
	pace    pace
	failure error
}

func (ou *Outcome) note(err error) {
	if ou.failure == nil {
		ou.failure = err
	}
}

// Status is the status of the final answer; 0 where the caller left without one.
func (ou *Outcome) Status() int { return ou.status }

// Kind names the kind of the request's route; empty without a route.
func (ou *Outcome) Kind() string {
	if ou.route == nil {
		return ""
	}
	return ou.route.Kind().String()
}

// Reason tells why the instance answered by itself or broke off; empty for an answer of a target's.
func (ou *Outcome) Reason() string { return ou.reason }

// TimeToFirstByte is how long the first part of the answer took; 0 without one.
func (ou *Outcome) TimeToFirstByte() time.Duration {
	if ou.firstAt.IsZero() {
		return 0
	}
	return ou.firstAt.Sub(ou.arrived)
}

// Elapsed is how long the request has taken so far.
func (ou *Outcome) Elapsed() time.Duration { return time.Since(ou.arrived) }

// LoadWait is how long the request waited for its adapter.
func (ou *Outcome) LoadWait() time.Duration { return ou.loadWait }

// TurnWait is how long the prompt waited for its turn.
func (ou *Outcome) TurnWait() time.Duration { return ou.turnWait }

// LongestPause is the longest pause between two arrivals of a stream's events; 0 where there was none.
func (ou *Outcome) LongestPause() time.Duration { return ou.pace.longest }

// Tries is the number of sends to targets.
func (ou *Outcome) Tries() int { return ou.tries }

// LogFields are the outcome as key and value pairs of a log line.
func (ou *Outcome) LogFields() []any {
	fields := []any{"id", ou.id, "status", ou.status, "ms", ou.Elapsed().Milliseconds()}
	if ou.route != nil {
		fields = append(fields, "route", ou.route.Name(), "config", ou.version)
	}
	if ou.organisation != "" {
		fields = append(fields, "organisation", ou.organisation, "cost", int(ou.cost))
	}
	if ou.target != "" {
		fields = append(fields, "target", ou.target, "load", int(ou.load*100), "load-age-ms", ou.loadAge.Milliseconds(),
			"tries", ou.tries, "first-ms", ou.TimeToFirstByte().Milliseconds())
	}
	if pa := ou.pace; pa.longest > 0 {
		fields = append(fields, "pause-ms", pa.longest.Milliseconds(), "pause-at-ms", pa.longestAt.Sub(ou.arrived).Milliseconds(),
			"passing-ms", pa.slowest.Milliseconds())
	}
	if ou.adapter.Model != "" {
		fields = append(fields, "adapter", ou.adapter)
	}
	if len(ou.asked) > 0 {
		fields = append(fields, "load-wait-ms", ou.loadWait.Milliseconds(), "asked", strings.Join(ou.asked, ","))
	}
	if ou.turnWait > 0 {
		fields = append(fields, "turn-wait-ms", ou.turnWait.Milliseconds())
	}
	if ou.reason != "" {
		fields = append(fields, "reason", ou.reason)
	}
	if ou.backOff > 0 {
		fields = append(fields, "back-off-ms", ou.backOff.Milliseconds())
	}
	if ou.retryAfter > 0 {
		fields = append(fields, "retry-after-ms", ou.retryAfter.Milliseconds())
	}
	if de := ou.allowance; de.Wait() > 0 {
		fields = append(fields, "allowance-left", int(de.Remaining()), "own-part", int(de.Share()), "own-spent", int(de.Unreported()), "peers", de.Peers())
	}
	if ou.failure != nil {
		fields = append(fields, "error", ou.failure)
	}
	return fields
}
