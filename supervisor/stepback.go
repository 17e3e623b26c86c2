package supervisor

import (
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/wire"
)

// steppedBack has everything that rests on the store's revisions and leases begin anew: the store has come back from an
// older copy. What is in force stays so until the operator and the targets have written it again.
func (su *Supervisor) steppedBack(before, now int64) {
	su.logger.Warn("store stepped back", "era-before", before, "era", now, "held", len(su.keeper.Held()),
		"operator-revision", platform.RevisionNumber(su.operatorWatcher.Revision()),
		"target-revision", platform.RevisionNumber(su.targetWatcher.Revision()))
	su.reporter.AddToCounter("store_steps_back", 1)
	su.trouble.RecordFailureAt(time.Now())
	su.keeper.StoreRolledBack(now)
	for _, wa := range su.watchers() {
		wa.StoreRolledBack()
	}
}

// tellStepBack has a peer that started since the store stepped back know of it.
func (su *Supervisor) tellStepBack(state *wire.FleetState) {
	if since, ok := su.keeper.SinceRollback(); ok {
		state.SteppedBackMs = max(since.Milliseconds(), 1)
	}
}

// askTrouble is how long after a failure of the store an era that a peer tells of is no reason to call it.
const askTrouble = time.Second

// hearStepBack takes in what a peer tells of the store's era, and since when it is. Only the store's own word begins an era
// here, so one that is not known yet has the lease renewed at once.
func (su *Supervisor) hearStepBack(state *wire.FleetState) {
	su.hearEra(platform.Era(max(state.GetOperatorRevision(), state.GetTargetRevision())))
	if ago := state.GetSteppedBackMs(); ago > 0 {
		su.keeper.RecordEarlierRollback(time.Duration(ago) * time.Millisecond)
	}
}

func (su *Supervisor) hearEra(era int64) {
	if era > su.store.Era() && !su.trouble.FailedWithin(askTrouble) {
		su.keeper.RenewNow()
	}
}

// departedMemory is how long a target that has gone is remembered.
const departedMemory = time.Minute

// departed are targets that are gone. An older copy of the store may still name them as ready.
type departed struct {
	mu      sync.Mutex
	targets map[string]departure
}

type departure struct {
	started  time.Time
	revision int64
	at       time.Time
}

// note remembers that a target has gone, at a revision of the store.
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

// names tells whether an entry, at a revision of a later era, is of before the target had gone.
func (de *departed) names(ta *balancer.Target, revision int64) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	dp, ok := de.targets[ta.ID()]
	return ok && dp.started.Equal(ta.Started()) && platform.Era(revision) > platform.Era(dp.revision) &&
		platform.RevisionNumber(revision) <= platform.RevisionNumber(dp.revision)
}
