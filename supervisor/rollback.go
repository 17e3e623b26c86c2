package supervisor

import (
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/wire"
)

// storeRolledBack handles a store rollback, in which the store has come back from an older copy. It resets all state that
// depends on the store's revisions and leases. The configuration and the targets stay in force until the operator and the
// targets have written them again. before and now are the store's eras.
func (su *Supervisor) storeRolledBack(before, now int64) {
	su.logger.Warn("store rolled back", "era-before", before, "era", now, "held", len(su.keeper.Held()),
		"operator-revision", platform.RevisionNumber(su.operatorWatcher.Revision()),
		"target-revision", platform.RevisionNumber(su.targetWatcher.Revision()))
	su.reporter.AddToCounter("store_steps_back", 1)
	su.storeFailures.RecordFailureAt(time.Now())
	su.keeper.StoreRolledBack(now)
	for _, wa := range su.watchers() {
		wa.StoreRolledBack()
	}
}

// addRollbackAge adds the age of the latest store rollback to an update, for peers that have started since.
func (su *Supervisor) addRollbackAge(state *wire.FleetState) {
	if since, ok := su.keeper.SinceRollback(); ok {
		state.SteppedBackMs = max(since.Milliseconds(), 1)
	}
}

// eraCheckBackOff is how long after a failure of the store a newer era reported by a peer triggers no call to it.
const eraCheckBackOff = time.Second

// applyPeerRollback applies a peer's report of the store's era and of the age of the latest rollback. Only an answer of
// the store itself starts a new era in this instance, so an unknown era makes it renew its lease at once.
func (su *Supervisor) applyPeerRollback(state *wire.FleetState) {
	su.checkEra(platform.Era(max(state.GetOperatorRevision(), state.GetTargetRevision())))
	if ago := state.GetSteppedBackMs(); ago > 0 {
		su.keeper.RecordEarlierRollback(time.Duration(ago) * time.Millisecond)
	}
}

func (su *Supervisor) checkEra(era int64) {
	if era > su.store.Era() && !su.storeFailures.FailedWithin(eraCheckBackOff) {
		su.keeper.RenewNow()
	}
}

// departedRetention is how long a removed target is remembered.
const departedRetention = time.Minute

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

// isStale reports whether an entry, read at a revision of a later era, was written before the target was removed.
func (dt *departedTargets) isStale(ta *balancer.Target, revision int64) bool {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	dp, ok := dt.targets[ta.ID()]
	return ok && dp.started.Equal(ta.Started()) && platform.Era(revision) > platform.Era(dp.revision) &&
		platform.RevisionNumber(revision) <= platform.RevisionNumber(dp.revision)
}
