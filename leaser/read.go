package leaser

import (
	"slices"
	"time"
)

// maxRecordsPerRead is the maximum number of records in one read.
const maxRecordsPerRead = 64

// stepReads starts a read of the records that are due, one call at a time.
func (mc *machine) stepReads(now time.Time) {
	if mc.readPending || len(mc.records) == 0 {
		return
	}
	if !now.Before(mc.nextList) {
		mc.readPending = true
		mc.nextList = now.Add(mc.jitter(mc.timing.ListInterval))
		mc.emit(listRecords{})
		return
	}
	names := mc.dueReads(now)
	if len(names) > 0 {
		names = fillBatch(names, mc.dueReads(now.Add(readAhead)))
		mc.readPending = true
		mc.emit(readRecords{names})
	}
}

// dueReads returns the names of the records whose next read is due by the given time.
func (mc *machine) dueReads(by time.Time) []string {
	var names []string
	for _, rc := range mc.records {
		if !rc.nextRead.IsZero() && !by.Before(rc.nextRead) {
			names = append(names, rc.name)
		}
	}
	slices.Sort(names)
	return names
}

// fillBatch adds records that are due soon to a read of the records that are due, which saves separate calls.
func fillBatch(due, soon []string) []string {
	due = due[:min(len(due), maxRecordsPerRead)]
	for _, name := range soon {
		if len(due) == maxRecordsPerRead {
			break
		}
		if !slices.Contains(due, name) {
			due = append(due, name)
		}
	}
	return due
}

// handleReadResult applies the records that were read. It ignores records with an older index than the one already
// read.
func (mc *machine) handleReadResult(now time.Time, res readResult) {
	mc.readPending = false
	if res.failed {
		mc.handleFailedRead(now, res)
		mc.step(now)
		return
	}
	found := make(map[string]storedRecord, len(res.records))
	for _, st := range res.records {
		found[st.name] = st
	}
	names := res.names
	if res.all {
		names = names[:0:0]
		for name := range mc.records {
			names = append(names, name)
		}
	}
	for _, name := range names {
		st, ok := found[name]
		if !ok {
			st = storedRecord{name: name}
		}
		if rc := mc.records[name]; rc != nil && st.index >= rc.stored.index {
			mc.applyRead(now, rc, st)
		}
	}
	mc.step(now)
}

func (mc *machine) handleFailedRead(now time.Time, res readResult) {
	if res.all {
		mc.nextList = now.Add(mc.jitter(maxRetryPause))
		return
	}
	for _, name := range res.names {
		if rc := mc.records[name]; rc != nil {
			rc.nextRead = now.Add(mc.jitter(retryPause))
		}
	}
}

// applyRead updates a record to the version read from the store.
func (mc *machine) applyRead(now time.Time, rc *record, st storedRecord) {
	if !rc.loaded || st.index != rc.stored.index {
		rc.availableSince = now
		mc.changed[rc.name] = true
	}
	rc.loaded, rc.stored, rc.readAt = true, st, now
	rc.hint = ""
	mc.resolveWrite(rc)
	mc.reconcileHold(rc)
	rc.nextRead = mc.nextReadAt(now, rc)
}

// resolveWrite ends a write of unknown outcome if the record or the session has changed, so that the write can no
// longer be applied.
func (mc *machine) resolveWrite(rc *record) {
	wr := rc.write
	if wr == nil || wr.pending {
		return
	}
	if rc.stored.index == wr.baseIndex && wr.session == mc.lease.session {
		return // the write may still be applied, and is sent again
	}
	rc.write = nil
	if rc.stored.index > 0 && rc.stored.record.GetNonce() == wr.record.GetNonce() {
		mc.applyWrite(rc, wr)
	}
}

// reconcileHold compares a hold with the record that was read.
func (mc *machine) reconcileHold(rc *record) {
	hl := rc.hold
	if hl == nil || (rc.write != nil && rc.write.pending) {
		return
	}
	record := rc.stored.record
	if rc.stored.index == 0 || record.GetHolder() != mc.self || record.GetFencing() != hl.fencing {
		mc.loseHold(rc)
		return
	}
	if rc.stored.lock != mc.lease.session || rc.stored.lock == "" {
		if hl.session == mc.lease.session {
			hl.lastLeaseDeadline = mc.lease.deadline
		}
		hl.session = ""
	}
	if rc.write == nil || rc.write.kind != changeSuccessors {
		hl.requiredSuccessors = record.GetSuccessors()
	}
}

// loseHold ends a hold whose record now belongs to another instance or no longer exists.
func (mc *machine) loseHold(rc *record) {
	hl := rc.hold
	rc.hold = nil
	mc.changed[rc.name] = true
	if hl.acting {
		mc.emit(report{Event{resource: rc.name, kind: Lost, fencing: hl.fencing}})
	}
}

// nextReadAt returns when the record must be read again, or the zero time for never.
func (mc *machine) nextReadAt(now time.Time, rc *record) time.Time {
	switch {
	case rc.write != nil:
		return now.Add(mc.jitter(retryPause))
	case rc.hold != nil && rc.hold.session == mc.lease.session:
		return time.Time{}
	case rc.hold != nil:
		return latest(now.Add(mc.jitter(missingHolderPollInterval)), mc.reacquireAt)
	case mc.available(rc):
		return latest(now.Add(missingHolderPollInterval), mc.eligibleAt(rc))
	case mc.holderMissing(rc):
		return now.Add(mc.jitter(missingHolderPollInterval))
	case slices.Contains(rc.stored.record.GetSuccessors(), mc.self):
		return now.Add(mc.jitter(successorPollInterval))
	default:
		return time.Time{}
	}
}

// available reports whether the record may be taken over by some instance.
func (mc *machine) available(rc *record) bool {
	return rc.stored.index == 0 || rc.stored.lock == "" || rc.stored.record.GetHolder() == ""
}

// eligibleAt returns the time from which this instance may take over an available record.
func (mc *machine) eligibleAt(rc *record) time.Time {
	at := rc.availableSince
	record := rc.stored.record
	switch place := slices.Index(record.GetSuccessors(), mc.self); {
	case place >= 0:
		at = at.Add(time.Duration(place) * mc.timing.Stagger)
	case rc.stored.index == 0, record.GetHolder() == "", len(record.GetSuccessors()) == 0:
		at = at.Add(time.Duration(mc.rank(rc)) * mc.timing.Stagger)
	default:
		at = at.Add(mc.timing.Hold + time.Duration(mc.rank(rc))*mc.timing.Stagger)
	}
	return latest(at, mc.givenPromises[rc.name])
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
