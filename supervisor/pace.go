package supervisor

import (
	"lovagebank/balancer"
	"lovagebank/estimator"
	"lovagebank/platform"
	"lovagebank/wire"
)

// paceAnswered records the pace that a target has stated in an answer. If it is malformed, the pace known before stays in force.
func (su *Supervisor) paceAnswered(ta *balancer.Target, tl platform.TargetLoad) {
	if tl.PaceErr == nil {
		if _, listed := su.balancer.Target(ta.ID()); listed && su.estimator.SetPace(ta.Start(), ta.Service(), tl.Pace) {
			su.logger.Info("service uneven", "service", ta.Service(), "target", ta.ID(), "pace", tl.Pace)
		}
		return
	}
	su.reporter.AddToCounter("paces_malformed", 1)
	if su.malformedPaces.due(ta.ID()) {
		su.logger.Warn("target pace malformed, ignored", "target", ta.ID(), "error", tl.PaceErr)
	}
}

// takeSpeedSums returns this instance's unreported samples of a target's speed, to report to the target's holder; nil for none.
func (su *Supervisor) takeSpeedSums(target string) *wire.SpeedSums {
	ts, sm, ok := su.estimator.Take(target)
	if !ok {
		return nil
	}
	return &wire.SpeedSums{StartedMs: ts.Started.UnixMilli(), Samples: float32(sm.Samples), Logs: float32(sm.Logs)}
}

// mergeSpeedSums adds an instance's samples of the speed of a target that this instance holds. Samples of another start
// are dropped.
func (su *Supervisor) mergeSpeedSums(target string, ss *wire.SpeedSums) {
	ta, ok := su.balancer.Target(target)
	if ss == nil || !ok || ta.Started().UnixMilli() != ss.GetStartedMs() {
		return
	}
	su.estimator.Merge(ta.Start(), ta.Service(), estimator.Sums{Samples: float64(ss.GetSamples()), Logs: float64(ss.GetLogs())})
}

// heldSpeed returns the speed of a held target to report to the other instances, and records it for this one; nil if it
// is not known.
func (su *Supervisor) heldSpeed(target string) *wire.TargetSpeed {
	ta, ok := su.balancer.Target(target)
	if !ok {
		return nil
	}
	percent, changed := su.estimator.Held(ta.Start())
	if percent == 0 {
		return nil
	}
	if changed {
		su.estimator.SetReported(ta.Start(), ta.Service(), percent)
		su.reporter.AddToCounter("target_speed_changes", 1)
		if su.speedChanges.due(target) {
			su.logger.Info("target speed", "target", target, "started", ta.Started().UnixMilli(), "percent", percent)
		}
	}
	return &wire.TargetSpeed{StartedMs: ta.Started().UnixMilli(), Percent: int32(percent)}
}

// applyHeldSpeed records the speed of a target as its holder reports it. That of another start is dropped.
func (su *Supervisor) applyHeldSpeed(held *wire.HeldTarget) {
	sp := held.GetSpeed()
	if sp == nil || !held.GetActive() {
		return
	}
	if ta, ok := su.balancer.Target(held.GetTarget()); ok && ta.Started().UnixMilli() == sp.GetStartedMs() {
		su.estimator.SetReported(ta.Start(), ta.Service(), int(sp.GetPercent()))
	}
}

// reportSpeeds sets the gauges of the targets' speeds in uneven services.
func (su *Supervisor) reportSpeeds() {
	for _, ta := range su.balancer.All() {
		if su.estimator.Uneven(ta.Service()) {
			su.reporter.SetLabelledGauge("target_speed", "target", ta.ID(), su.estimator.Speed(ta.Start()))
		}
	}
}
