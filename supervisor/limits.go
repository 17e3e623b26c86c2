package supervisor

import (
	"context"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
)

// Sources of a target's rate limit, for the log.
const (
	limitFromAnswer = "answer"
	limitFromReport = "report"
)

// malformedLogInterval is the least time between two log lines about malformed limits of one target.
const malformedLogInterval = 10 * time.Second

// malformedLog bounds the log lines about targets whose rate limits cannot be decoded.
type malformedLog struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time
}

// due reports whether a line about a target is due now, and counts it as logged.
func (ml *malformedLog) due(target string) bool {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	if ml.loggedAt == nil {
		ml.loggedAt = make(map[string]time.Time)
	}
	if at, ok := ml.loggedAt[target]; ok && time.Since(at) < malformedLogInterval {
		return false
	}
	ml.loggedAt[target] = time.Now()
	return true
}

// remove forgets a target that has been removed.
func (ml *malformedLog) remove(target string) {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	delete(ml.loggedAt, target)
}

// rateLimitAnswered records what a target has said about its rate limit in its answer to a request sent at the given time.
func (su *Supervisor) rateLimitAnswered(ts balancer.Start, rl platform.RateLimit, sentAt time.Time) {
	if rl.Named {
		su.rateLimitNamed(ts, rl, limitFromAnswer)
		return
	}
	if su.throttler.Unnamed(ts, sentAt) {
		su.logRateLimit(ts, limitFromAnswer)
	}
}

// rateLimitNamed records a rate limit that a target has named. A malformed one leaves in force what was known before.
func (su *Supervisor) rateLimitNamed(ts balancer.Start, rl platform.RateLimit, source string) {
	if _, ok := su.balancer.Target(ts.Target); !ok || !rl.Named {
		return
	}
	if rl.Err != nil {
		su.reporter.AddToCounter("rate_limits_malformed", 1)
		if su.malformed.due(ts.Target) {
			su.logger.Warn("target rate limit malformed, ignored", "target", ts.Target, "source", source, "error", rl.Err)
		}
		return
	}
	if su.throttler.Named(ts, rl.Rate) {
		su.logRateLimit(ts, source)
	}
}

// requestReport requests a held engine's report and records the rate limit that it names. A report without a limit does not
// show that there is none, since the limit concerns callers' requests.
func (su *Supervisor) requestReport(ctx context.Context, ta *balancer.Target) (*platform.Report, error) {
	re, err := su.targets.Report(ctx, ta)
	if err == nil {
		su.rateLimitNamed(ta.Start(), re.RateLimit, limitFromReport)
	}
	return re, err
}

// logRateLimit logs a change of a target's rate limit and where it was learned.
func (su *Supervisor) logRateLimit(ts balancer.Start, source string) {
	su.reporter.AddToCounter("rate_limit_changes", 1)
	li, inForce := su.throttler.Limit(ts)
	if !inForce {
		su.logger.Info("target rate limit lapsed", "target", ts.Target, "started", ts.Started.UnixMilli(), "source", source)
		return
	}
	su.logger.Info("target rate limit", "target", ts.Target, "started", ts.Started.UnixMilli(), "rate", li.Rate,
		"age-ms", time.Since(li.SeenAt).Milliseconds(), "source", source)
}
