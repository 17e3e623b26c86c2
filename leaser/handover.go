package leaser

import (
	"slices"
	"time"
)

// stepHold starts the hand-over of a resource that this instance releases.
func (mc *machine) stepHold(now time.Time, rc *record) {
	hl := rc.hold
	kept := rc.requested || now.Sub(rc.lastRequested) < releaseDelay
	if hl == nil || hl.releasing || (kept && !mc.leaving) {
		return
	}
	// The instance stops acting first; only then is the owner called to stop and return its state.
	hl.releasing, hl.acting = true, false
	mc.changed[rc.name] = true
	mc.emit(stopOwner{rc.name})
}

// handleOwnerStopped records the final state of a resource whose owner has stopped.
func (mc *machine) handleOwnerStopped(now time.Time, ow ownerStopped) {
	if rc := mc.records[ow.name]; rc != nil && rc.hold != nil && rc.hold.releasing {
		rc.hold.ownerStopped, rc.hold.finalState = true, ow.state
		mc.emit(report{Event{resource: ow.name, kind: Lost, fencing: rc.hold.fencing}})
	}
	mc.step(now)
}

// handOver releases everything that this instance holds. From then on it takes nothing over.
func (mc *machine) handOver(now time.Time) {
	mc.leaving = true
	mc.step(now)
}

// stepLeave ends the session once nothing is held.
func (mc *machine) stepLeave() {
	if !mc.leaving || mc.left {
		return
	}
	for _, rc := range mc.records {
		// Without a session nothing can be handed over, and everything that was held has lapsed.
		if mc.lease.session != "" && (rc.hold != nil || rc.write != nil) {
			return
		}
	}
	mc.left = true
	if mc.lease.session != "" {
		mc.emit(destroySession{mc.lease.session})
	}
	mc.emit(leave{})
}

// notifySuccessors notifies the instances that may take a handed-over record at once.
func (mc *machine) notifySuccessors(rc *record, wr *write) {
	recipients := union(mc.successors(rc), wr.record.GetSuccessors())
	for _, instance := range recipients {
		mc.emit(notify{instance, []string{rc.name}})
	}
}

// refresh schedules an immediate read of requested records that a peer reports as changed.
func (mc *machine) refresh(now time.Time, names []string) {
	for _, name := range names {
		if rc := mc.records[name]; rc != nil && rc.requested {
			rc.nextRead = now
		}
	}
	mc.step(now)
}

// applyHint records which instance holds a resource according to a peer.
func (mc *machine) applyHint(now time.Time, name, holder string, fencing uint64) {
	rc := mc.records[name]
	if rc == nil || !rc.requested || fencing < rc.stored.record.GetFencing() || holder == rc.stored.record.GetHolder() {
		return
	}
	if rc.hold != nil || slices.Contains(rc.stored.record.GetSuccessors(), mc.self) {
		rc.nextRead = now
		return
	}
	rc.hint = holder
	mc.changed[name] = true
}
