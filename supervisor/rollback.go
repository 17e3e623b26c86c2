package supervisor

import (
	"time"

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
