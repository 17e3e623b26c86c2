package supervisor

import (
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/wire"
)

const (
	// departedRetention is how long a removed target is remembered.
	departedRetention = time.Minute
	// departureNoticeTime is how long a removed target is reported to peers. A peer whose copy of the store's keys lags
	// for longer does not serve from that copy.
	departureNoticeTime = 10 * time.Second
)

// departedTargets are the recently removed targets. After a store rollback the store may still list them as ready.
type departedTargets struct {
	mu      sync.Mutex
	targets map[string]departure
}

type departure struct {
	started   time.Time
	revision  int64
	removedAt time.Time
}

// record remembers that a target was removed at a revision of the store, and drops outdated records.
func (dt *departedTargets) record(ta *balancer.Target, revision int64) {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	if dt.targets == nil {
		dt.targets = make(map[string]departure)
	}
	for id, dp := range dt.targets {
		if time.Since(dp.removedAt) > departedRetention {
			delete(dt.targets, id)
		}
	}
	dt.targets[ta.ID()] = departure{started: ta.Started(), revision: revision, removedAt: time.Now()}
}

// recent returns the departures within the given period, to report to peers.
func (dt *departedTargets) recent(period time.Duration) []*wire.Departure {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	var recent []*wire.Departure
	for id, dp := range dt.targets {
		if time.Since(dp.removedAt) < period {
			recent = append(recent, &wire.Departure{Target: id, StartedMs: dp.started.UnixMilli(), Revision: dp.revision})
		}
	}
	return recent
}

// isStale reports whether an entry, read at a revision of a later era, was written before the target was removed.
func (dt *departedTargets) isStale(ta *balancer.Target, revision int64) bool {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	dp, ok := dt.targets[ta.ID()]
	return ok && dp.started.Equal(ta.Started()) && platform.Era(revision) > platform.Era(dp.revision) &&
		platform.RevisionNumber(revision) <= platform.RevisionNumber(dp.revision)
}

// reportedDepartures are the departures that peers have reported and that this instance's copy of the store's keys does
// not have yet, by target.
type reportedDepartures struct {
	mu      sync.Mutex
	removed map[balancer.Start]int64
}

// record remembers the revision of the removal of a start of a target.
func (rd *reportedDepartures) record(ts balancer.Start, revision int64) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.removed == nil {
		rd.removed = make(map[balancer.Start]int64)
	}
	rd.removed[ts] = max(rd.removed[ts], revision)
}

// reached returns the starts of targets whose removal the copy of the store's keys has reached with the given revision, and
// forgets them, except those for which the copy still defers the removal.
func (rd *reportedDepartures) reached(revision int64, deferred func(target string) bool) []balancer.Start {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	var reached []balancer.Start
	for ts, removed := range rd.removed {
		if removed <= revision && !deferred(ts.Target) {
			reached = append(reached, ts)
			delete(rd.removed, ts)
		}
	}
	return reached
}

// targetDeparted stops sending requests to a target whose entry, as a peer reports, has been removed at a revision of
// the store that this instance's copy has not reached. It goes on if the copy, once it has, lists the target.
func (su *Supervisor) targetDeparted(de *wire.Departure) {
	if de.GetRevision() <= su.targetWatcher.Revision() {
		return
	}
	ts := balancer.Start{Target: de.GetTarget(), Started: time.UnixMilli(de.GetStartedMs())}
	su.reportedDepartures.record(ts, de.GetRevision())
	if su.balancer.SetAbsent(ts, true) {
		su.logger.Info("target leaving", "target", ts.Target, "started", de.GetStartedMs(), "source", leavingFromPeer,
			"revision", de.GetRevision())
	}
}

// settleDepartures goes by this instance's own copy of the store's keys again, for the targets whose reported removal
// it has reached. A copy that defers the removal has received it as well.
func (su *Supervisor) settleDepartures() {
	deferred := func(target string) bool { return su.targetWatcher.DefersRemoval(platform.TargetKey(target)) }
	for _, ts := range su.reportedDepartures.reached(su.targetWatcher.Revision(), deferred) {
		su.balancer.SetAbsent(ts, false)
	}
}
