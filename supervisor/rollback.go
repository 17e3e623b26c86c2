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
func (su *Supervisor) steppedBack(before, now int64) {
	su.logger.Warn("store rolled back", "era-before", before, "era", now, "held", len(su.keeper.Held()),
		"operator-revision", platform.OwnRevision(su.operatorWatcher.Revision()),
		"target-revision", platform.OwnRevision(su.targetWatcher.Revision()))
	su.reporter.Count("store_steps_back", 1)
	su.trouble.FailedAt(time.Now())
	su.keeper.StoreRolledBack(now)
	for _, wa := range su.watchers() {
		wa.SteppedBack()
	}
}

// addRollbackAge adds the age of the latest store rollback to an update, for peers that have started since.
func (su *Supervisor) tellStepBack(state *wire.FleetState) {
	if since, ok := su.keeper.SinceRollback(); ok {
		state.SteppedBackMs = max(since.Milliseconds(), 1)
	}
}

// eraCheckBackOff is how long after a failure of the store a newer era reported by a peer triggers no call to it.
const askTrouble = time.Second

// applyPeerRollback applies a peer's report of the store's era and of the age of the latest rollback. Only an answer of
// the store itself starts a new era in this instance, so an unknown era makes it renew its lease at once.
func (su *Supervisor) hearStepBack(state *wire.FleetState) {
	su.hearEra(platform.Era(max(state.GetOperatorRevision(), state.GetTargetRevision())))
	if ago := state.GetSteppedBackMs(); ago > 0 {
		su.keeper.RecordEarlierRollback(time.Duration(ago) * time.Millisecond)
	}
}

func (su *Supervisor) hearEra(era int64) {
	if era > su.store.Era() && !su.trouble.Within(askTrouble) {
		su.keeper.RenewNow()
	}
}

// departedRetention is how long a removed target is remembered.
const departedMemory = time.Minute

// departedTargets are the recently removed targets. After a store rollback the store may still list them as ready.
type departed struct {
	mu      sync.Mutex
	targets map[string]departure
}

type departure struct {
	started  time.Time
	revision int64
	at       time.Time
}

// record remembers that a target was removed at a revision of the store, and drops outdated records.
func (de *departed) note(ta *balancer.Target, revision int64) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.targets == nil {
		de.targets = make(map[string]departure)
	}
	for id, dp := range de.targets {
		if time.Since(dp.at) > departedMemory {
			delete(de.targets, id)
		}
	}
	de.targets[ta.ID()] = departure{started: ta.Started(), revision: revision, at: time.Now()}
}

// isStale reports whether an entry, read at a revision of a later era, was written before the target was removed.
func (de *departed) names(ta *balancer.Target, revision int64) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	dp, ok := de.targets[ta.ID()]
	return ok && dp.started.Equal(ta.Started()) && platform.Era(revision) > platform.Era(dp.revision) &&
		platform.OwnRevision(revision) <= platform.OwnRevision(dp.revision)
}
