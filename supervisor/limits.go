package supervisor

import (
	"context"
	"math"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/platform"
	"lovagebank/throttler"
	"lovagebank/wire"
)

// Sources of a target's rate limit, for the log.
const (
	limitFromAnswer = "answer"
	limitFromReport = "report"
	limitFromPeer   = "peer"
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
	su.balancer.SetRateLimited(ts, inForce)
	if !inForce {
		su.logger.Info("target rate limit lapsed", "target", ts.Target, "started", ts.Started.UnixMilli(), "source", source)
		return
	}
	su.logger.Info("target rate limit", "target", ts.Target, "started", ts.Started.UnixMilli(), "rate", li.Rate,
		"age-ms", time.Since(li.SeenAt).Milliseconds(), "source", source)
}

// askSend asks the holder of a target whether this instance may send the target a request now.
func (su *Supervisor) askSend(ctx context.Context, no throttler.Notice) (throttler.Grant, error) {
	holder := su.keeper.Holder(no.Target.Target)
	if holder == su.settings.IP() {
		gr, ok := su.grantSend(no)
		if !ok {
			return gr, exchanger.ErrNotHolder
		}
		return gr, nil
	}
	gr, err := askHolder(ctx, su, holder, no.Target.Target, func(ctx context.Context, address string) (throttler.Grant, error) {
		return su.exchanger.AskSend(ctx, address, no)
	})
	if err == nil && (gr.Notice.Limit != (throttler.Limit{}) || gr.Notice.ColdLeft > 0) {
		su.mergeRateLimit(gr.Notice)
	}
	return gr, err
}

// grantSend decides whether an instance may send a request to a target that this instance holds; it is false without the
// authority to decide. The authority ends before another instance can have it.
func (su *Supervisor) grantSend(no throttler.Notice) (throttler.Grant, bool) {
	merged := no
	merged.ColdLeft = 0
	if _, ok := su.keeper.Authority(no.Target.Target); !ok || !su.mergeRateLimit(merged) {
		return throttler.Grant{}, false
	}
	return su.throttler.Grant(no), true
}

// mergeRateLimit records what a peer reports about a target's rate limit. It reports whether the notice is valid and
// that start of the target is listed at this instance.
func (su *Supervisor) mergeRateLimit(no throttler.Notice) bool {
	ta, ok := su.balancer.Target(no.Target.Target)
	if !ok || !ta.Started().Equal(no.Target.Started) || !validRate(no.Limit.Rate) {
		return false
	}
	if no.ColdLeft > 0 && su.coldTime(ta) <= 0 {
		no.ColdLeft = 0
	}
	wasCold := no.ColdLeft <= 0 || su.throttler.ColdLeft(no.Target) > 0
	if su.throttler.Merge(no) {
		su.logRateLimit(no.Target, limitFromPeer)
	}
	if no.ColdLeft > 0 {
		su.updateCold(no.Target, limitFromPeer, !wasCold && su.throttler.ColdLeft(no.Target) > 0)
	}
	return true
}

// validRate reports whether a peer's figure can be a rate.
func validRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }

// encodeRateLimits returns the rate limits to report to peers.
func (su *Supervisor) encodeRateLimits() []*wire.TargetLimit {
	notices := su.throttler.Notices()
	limits := make([]*wire.TargetLimit, 0, len(notices))
	for _, no := range notices {
		limits = append(limits, exchanger.EncodeNotice(no))
	}
	return limits
}
