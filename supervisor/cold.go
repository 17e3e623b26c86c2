package supervisor

import (
	"context"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/platform"
	"lovagebank/router"
	"lovagebank/sleeper"
	"lovagebank/throttler"
)

// Sources of a cold time in log lines, besides those that rate limits use as well.
const (
	coldFromEntry      = "entry"
	coldFromStart      = "start"
	coldFromFailure    = "failed connection"
	coldFromRevocation = "evacuation revoked"
	coldFromCut        = "cut off"
)

// coldTime returns how long a target is cold after its start; 0 if targets of its service are never cold.
func (su *Supervisor) coldTime(ta *balancer.Target) time.Duration {
	if sv, ok := su.serviceOf(ta); ok {
		return sv.ColdTime()
	}
	return 0
}

// serviceOf returns the service that a target belongs to, if it is configured.
func (su *Supervisor) serviceOf(ta *balancer.Target) (*router.Service, bool) {
	cf := su.configuration.Load()
	if cf == nil {
		return nil, false
	}
	return cf.Service(ta.Service())
}

// coldRate returns the rate at which sends to a target may be granted while it is cold; false if targets of its service
// are never cold.
func (su *Supervisor) coldRate(target string) (float64, bool) {
	ta, ok := su.balancer.Target(target)
	if !ok {
		return 0, false
	}
	sv, ok := su.serviceOf(ta)
	if !ok || sv.ColdTime() <= 0 {
		return 0, false
	}
	return throttler.ColdRate(sv.ColdRate()*su.settings.ColdOver() + su.settings.ColdSlack()), true
}

// recordColdEntry records the remaining cold time in a target's entry. If the entry of a new start has none, the target
// is cold for the time of its service. If the start was listed before this instance read the store, the start time in
// the entry decides whether it is new.
func (su *Supervisor) recordColdEntry(ta *balancer.Target, it platform.Item, newStart bool) {
	cold := su.coldTime(ta)
	if cold <= 0 {
		return
	}
	co := platform.DecodeColdness(it.Value)
	if co.Err != nil {
		su.logMalformedColdness(ta.ID(), coldFromEntry, co.Err)
	}
	ts := ta.Start()
	switch {
	case co.Named && co.Err == nil:
		su.updateCold(ts, coldFromEntry, su.throttler.ColdEntry(ts, co.Left, it.Revision))
	case newStart && su.targetWatcher.Listed():
		su.updateCold(ts, coldFromStart, su.throttler.AssumeCold(ts, cold, it.Revision))
	default:
		if age := time.Since(ta.Started()); age >= 0 && age < cold {
			su.updateCold(ts, coldFromStart, su.throttler.AssumeCold(ts, cold-age, it.Revision))
		}
	}
}

// learnColdness reads the entries again of targets whose service has cold targets now and had none before.
func (su *Supervisor) learnColdness(before, now *router.Configuration) {
	learn := make(map[string]bool)
	for name, sv := range now.Services() {
		known := false
		if before != nil {
			old, ok := before.Service(name)
			known = ok && old.ColdTime() > 0
		}
		if sv.ColdTime() > 0 && !known {
			learn[name] = true
		}
	}
	if len(learn) == 0 {
		return
	}
	for _, it := range su.targetWatcher.Items() {
		if ta, ok := su.balancer.Target(platform.TargetID(it.Key)); ok && learn[ta.Service()] {
			su.recordColdEntry(ta, it, false)
		}
	}
}

// coldAnswered records the remaining cold time that a target has stated in an answer to a request sent at the given time.
func (su *Supervisor) coldAnswered(ts balancer.Start, co platform.Coldness, sentAt time.Time) {
	if co.Err != nil {
		su.logMalformedColdness(ts.Target, limitFromAnswer, co.Err)
		return
	}
	if _, listed := su.balancer.Target(ts.Target); listed {
		su.updateCold(ts, limitFromAnswer, su.throttler.ColdAnswered(ts, co.Left, sentAt))
	}
}

// targetFailed records that a connection to a target failed: it may have started again and be cold for the given time.
func (su *Supervisor) targetFailed(ta *balancer.Target, cold time.Duration) {
	su.updateCold(ta.Start(), coldFromFailure, su.throttler.AssumeCold(ta.Start(), cold, 0))
}

// updateCold passes the remaining cold time of a target to the balancer. If changed is set, it logs that the target has
// become cold or ceased to be.
func (su *Supervisor) updateCold(ts balancer.Start, source string, changed bool) {
	left := su.throttler.ColdLeft(ts)
	su.balancer.SetCold(ts, left)
	if !changed {
		return
	}
	su.reporter.AddToCounter("cold_changes", 1)
	rate, _ := su.coldRate(ts.Target)
	su.logger.Info("target cold", "target", ts.Target, "started", ts.Started.UnixMilli(), "left-ms", left.Milliseconds(),
		"rate", rate, "source", source)
}

func (su *Supervisor) logMalformedColdness(target, source string, err error) {
	su.reporter.AddToCounter("cold_times_malformed", 1)
	if su.malformed.due(target) {
		su.logger.Warn("target cold time malformed, ignored", "target", target, "source", source, "error", err)
	}
}

// acquireForPeer reports whether a request may be sent to a target for a peer. A peer that does not consider the target
// cold has no grant for it.
func (su *Supervisor) acquireForPeer(ctx context.Context, ta *balancer.Target, rq *forwarder.Request) bool {
	if !rq.SendBefore.IsZero() {
		return true
	}
	de := su.throttler.AcquireCold(ctx, ta.Start())
	rq.SendBefore = de.Until
	return de.Admitted
}

// coldProbeInterval is the time between two health checks of a held target. A cold time lasts seconds and may be
// missing in the entry of the target.
const coldProbeInterval = time.Second

// runColdProbes requests the health path of held targets that may become cold, at intervals until the context ends. It
// skips targets that are known to be cold or get no requests.
func (su *Supervisor) runColdProbes(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for sleeper.For(ctx, coldProbeInterval) {
		cf := su.configuration.Load()
		if cf == nil || su.prober.Cut() || !cf.HasColdTargets() {
			continue
		}
		for _, id := range su.keeper.Held() {
			ta, ok := su.balancer.Target(id)
			if !ok || !su.balancer.Available(ta) || su.throttler.ColdLeft(ta.Start()) > 0 {
				continue
			}
			if sv, ok := cf.Service(ta.Service()); ok && sv.ColdTime() > 0 && sv.HealthPath() != "" {
				probes.Go(func() { su.probeColdness(ctx, ta, sv.HealthPath()) })
			}
		}
	}
}

// probeColdness requests the health path of a target once. A failure is ignored, as requests to the target fail as well
// and are handled then.
func (su *Supervisor) probeColdness(ctx context.Context, ta *balancer.Target, path string) {
	sentAt := time.Now()
	co, err := su.targets.Coldness(ctx, ta, path)
	su.reporter.AddToCounter("cold_probes", 1)
	if err == nil && co.Named {
		su.coldAnswered(ta.Start(), co, sentAt)
	}
}
