package leaser

import (
	"slices"
	"time"
)

// stepHold starts the hand-over of a record that this instance gives up.
func (mc *machine) stepHold(now time.Time, rc *record) {
	hl := rc.hold
	kept := rc.wanted || now.Sub(rc.lastWanted) < keepUnwanted
	if hl == nil || hl.surrendering || (kept && !mc.leaving) {
		return
	}
	// From here on the instance does not act; only then is the owner told to stop and to give its state.
	hl.surrendering, hl.acting = true, false
	mc.changed[rc.name] = true
	mc.emit(surrender{rc.name})
}

// surrendered takes the state of a resource whose owner has stopped.
func (mc *machine) surrendered(now time.Time, sr surrendered) {
	if rc := mc.records[sr.name]; rc != nil && rc.hold != nil && rc.hold.surrendering {
		rc.hold.surrendered, rc.hold.handedState = true, sr.state
		mc.emit(report{Event{resource: sr.name, kind: Lost, fencing: rc.hold.fencing}})
	}
	mc.step(now)
}

// handOver gives up all that this instance holds; it takes nothing over any more.
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
		// Without a session nothing can be handed over, and what was held has lapsed.
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

// notifySuccessors tells those that may take a handed-over record at once.
func (mc *machine) notifySuccessors(rc *record, wr *write) {
	told := union(mc.successors(rc), wr.record.GetSuccessors())
	for _, instance := range told {
		mc.emit(notify{instance, []string{rc.name}})
	}
}

// notified reads records that a peer says have changed.
func (mc *machine) notified(now time.Time, names []string) {
	for _, name := range names {
		if rc := mc.records[name]; rc != nil && rc.wanted {
			rc.nextRead = now
		}
	}
	mc.step(now)
}

// hint takes a peer's word on who holds a resource.
func (mc *machine) hint(now time.Time, name, holder string, fencing uint64) {
	rc := mc.records[name]
	if rc == nil || !rc.wanted || fencing < rc.stored.record.GetFencing() || holder == rc.stored.record.GetHolder() {
		return
	}
	if rc.hold != nil || slices.Contains(rc.stored.record.GetSuccessors(), mc.self) {
		rc.nextRead = now
		return
	}
	rc.hint = holder
	mc.changed[name] = true
}
