package acceptor

import (
	"strings"
	"time"

	"lovagebank/admitter"
	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/permitter"
	"lovagebank/quarantiner"
	"lovagebank/resumer"
	"lovagebank/router"
	"lovagebank/throttler"
)

// Outcome is the result of a request, for logs and metrics.
type Outcome struct {
	id           string
	route        *router.Route
	organisation string
	cost         float64
	// quotaDecision is the decision that refused the request because of the organisation's quota.
	quotaDecision allotter.Decision
	version       int64
	arrived       time.Time
	firstAt       time.Time
	status        int
	reason        string
	retryAfter    time.Duration
	target        string
	// sentAfter is the time from the arrival to the last send.
	sentAfter time.Duration
	load      float64
	loadAge   time.Duration
	// uneven is true if the service's targets differ in speed (see package estimator). Then speed and pace are those of the
	// target when the request was last sent, and paceAge is the age of the pace, negative if the target had stated none.
	uneven  bool
	speed   float64
	pace    float64
	paceAge time.Duration
	// comparison is the result of querying the health of two targets; without result if none were queried.
	comparison comparison
	tries      int
	// relayed is true if the last send went through another instance, and via names that one once it has passed an answer on.
	relayed  bool
	via      string
	loadWait time.Duration
	// turnWait is how long the prompt waited for its turn at the target.
	turnWait time.Duration
	// backOff is the last back-off that a target requested.
	backOff time.Duration
	// rateLimit is the last decision on a send to a target that states a rate limit.
	rateLimit throttler.Decision
	// admission is the decision on the request's admission, made with the given occupancy of its best candidate. roomWait is
	// how long it then waited for memory.
	admission admitter.Decision
	occupancy balancer.Occupancy
	roomWait  time.Duration
	// brittle is the last decision on a send to a target that is brittle.
	brittle permitter.Decision
	// isolated is the part of the prompt for which the request shared one target with others.
	isolated quarantiner.Isolation
	// condemned names the parts of the prompt for which the request was refused, and probe is true if it tested that verdict.
	condemned string
	probe     bool
	// software is the version of the software of the last target, and resumes the ID of the request whose stream the caller
	// resumes.
	software string
	resumes  string
	// streamSoftware is the version to which the stream is bound; empty if it is to none.
	streamSoftware string
	// originSource is how the origin of the stream that the caller resumes was found.
	originSource resumer.Source
	adapter      balancer.Adapter
	// prefix is what was expected and measured of cached parts of the prompt; nil where they do not count.
	prefix *prefixOutcome
	// loadTargets holds the IDs of the targets that were asked to load the adapter.
	loadTargets []string
	events      int
	// unframed is true if the last answer of a target had neither a length nor chunks, and protocol is the caller's.
	unframed   bool
	protocol   string
	timing     streamTiming
	firstError error
}

func (ou *Outcome) recordError(err error) {
	if ou.firstError == nil {
		ou.firstError = err
	}
}

// Status returns the HTTP status of the final response; 0 if the caller disconnected before it.
func (ou *Outcome) Status() int { return ou.status }

// Kind returns the kind of the request's route; empty without a route.
func (ou *Outcome) Kind() string {
	if ou.route == nil {
		return ""
	}
	return ou.route.Kind().String()
}

// Reason returns why the instance responded itself or aborted the response; empty for a target's response.
func (ou *Outcome) Reason() string { return ou.reason }

// Unframed reports whether the last answer of a target had neither a length nor chunks, so that only the end of its connection
// was its end.
func (ou *Outcome) Unframed() bool { return ou.unframed }

// TimeToFirstByte returns the time from arrival to the header of the target's response; 0 without one.
func (ou *Outcome) TimeToFirstByte() time.Duration {
	if ou.firstAt.IsZero() {
		return 0
	}
	return ou.firstAt.Sub(ou.arrived)
}

// Elapsed returns the time since the arrival of the request.
func (ou *Outcome) Elapsed() time.Duration { return time.Since(ou.arrived) }

// LoadWait returns how long the request waited for its adapter.
func (ou *Outcome) LoadWait() time.Duration { return ou.loadWait }

// TurnWait returns how long the prompt waited for its turn.
func (ou *Outcome) TurnWait() time.Duration { return ou.turnWait }

// LongestPause returns the longest pause between two arrivals of a stream's events; 0 without any.
func (ou *Outcome) LongestPause() time.Duration { return ou.timing.longestPause }

// Tries returns the number of sends to targets.
func (ou *Outcome) Tries() int { return ou.tries }

// Comparison returns the result of a comparison of two targets by queries of their health; empty without one.
func (ou *Outcome) Comparison() string { return ou.comparison.result }

// LogFields returns the outcome as key and value pairs of a log line.
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
			"tries", ou.tries, "sent-ms", ou.sentAfter.Milliseconds(), "first-ms", ou.TimeToFirstByte().Milliseconds(),
			"software", ou.software)
	}
	fields = append(fields, ou.speedFields()...)
	if ou.relayed {
		fields = append(fields, "relayed", true, "via", ou.via)
	}
	if ou.unframed {
		fields = append(fields, "unframed", true)
	}
	if ou.protocol == "HTTP/1.0" {
		fields = append(fields, "caller-protocol", ou.protocol)
	}
	if st := ou.timing; st.longestPause > 0 {
		fields = append(fields, "pause-ms", st.longestPause.Milliseconds(),
			"pause-at-ms", st.longestPauseEnd.Sub(ou.arrived).Milliseconds(), "passing-ms", st.slowestRelay.Milliseconds())
	}
	if ou.adapter.Model != "" {
		fields = append(fields, "adapter", ou.adapter)
	}
	if len(ou.loadTargets) > 0 {
		fields = append(fields, "load-wait-ms", ou.loadWait.Milliseconds(), "asked", strings.Join(ou.loadTargets, ","))
	}
	fields = append(fields, ou.prefixFields()...)
	if ou.turnWait > 0 {
		fields = append(fields, "turn-wait-ms", ou.turnWait.Milliseconds())
	}
	if ou.reason != "" {
		fields = append(fields, "reason", ou.reason)
	}
	fields = append(fields, ou.limitFields()...)
	fields = append(fields, ou.admissionFields()...)
	if is := ou.isolated; is.Crashes > 0 {
		fields = append(fields, "isolated-part", is.Name, "crashes", is.Crashes)
	}
	if ou.condemned != "" {
		fields = append(fields, "condemned-parts", ou.condemned, "probe", ou.probe)
	}
	if ou.retryAfter > 0 {
		fields = append(fields, "retry-after-ms", ou.retryAfter.Milliseconds())
	}
	if de := ou.quotaDecision; de.Wait() > 0 {
		fields = append(fields, "allowance-left", int(de.Remaining()), "own-part", int(de.Share()),
			"own-spent", int(de.Unreported()), "peers", de.Peers())
	}
	if ou.firstError != nil {
		fields = append(fields, "error", ou.firstError)
	}
	return fields
}

// limitFields returns the limits of targets that affected the request and the stream that it resumes, as key and value pairs of
// a log line.
func (ou *Outcome) limitFields() []any {
	var fields []any
	if ou.backOff > 0 {
		fields = append(fields, "back-off-ms", ou.backOff.Milliseconds())
	}
	if de := ou.rateLimit; de.Limited() {
		fields = append(fields, "rate-limit", de.Limit.Rate, "rate-limit-age-ms", time.Since(de.Limit.SeenAt).Milliseconds(),
			"admitted", de.Admitted, "by-holder", de.Asked)
	}
	if ou.rateLimit.Cold {
		fields = append(fields, "cold", true)
	}
	if ou.resumes != "" {
		fields = append(fields, "resumes", ou.resumes, "stream-software", ou.streamSoftware, "origin-source", ou.originSource)
	}
	if br := ou.brittle; br.Brittle {
		fields = append(fields, "most-rejections", br.Most, "permitted", br.Admitted, "by-holder", br.Asked)
	}
	return fields
}
