package leaser

import (
	"slices"
	"time"
)

// maxRead is the most records in one read.
const maxRead = 64

// stepReads asks for the records that are due, one call at a time.
func (mc *machine) stepReads(now time.Time) {
	if mc.reading || len(mc.records) == 0 {
		return
	}
	if !now.Before(mc.nextList) {
		mc.reading = true
		mc.nextList = now.Add(mc.jitter(mc.timing.ListInterval))
		mc.emit(listRecords{})
		return
	}
	names := mc.readable(now)
	if len(names) > 0 {
		names = fill(names, mc.readable(now.Add(readAhead)))
		mc.reading = true
		mc.emit(readRecords{names})
	}
}

// readable names the records to be read by a time.
func (mc *machine) readable(by time.Time) []string {
	var names []string
	for _, rc := range mc.records {
		if !rc.nextRead.IsZero() && !by.Before(rc.nextRead) {
			names = append(names, rc.name)
		}
	}
	slices.Sort(names)
	return names
}

// fill adds records that are due soon to one read of those that are due, so that they need no call of their own.
func fill(due, soon []string) []string {
	due = due[:min(len(due), maxRead)]
	for _, name := range soon {
		if len(due) == maxRead {
			break
		}
		if !slices.Contains(due, name) {
			due = append(due, name)
		}
	}
	return due
}

// answerRead takes records that were read. Records of an older index than known are left aside.
func (mc *machine) answerRead(now time.Time, an readAnswer) {
	mc.reading = false
	if an.failed {
		mc.readFailed(now, an)
		mc.step(now)
		return
	}
	found := make(map[string]stored, len(an.records))
	for _, st := range an.records {
		found[st.name] = st
	}
	names := an.names
	if an.all {
		names = names[:0:0]
		for name := range mc.records {
			names = append(names, name)
		}
	}
	for _, name := range names {
		st, ok := found[name]
		if !ok {
			st = stored{name: name}
		}
		if rc := mc.records[name]; rc != nil && st.index >= rc.stored.index {
			mc.take(now, rc, st)
		}
	}
	mc.step(now)
}

func (mc *machine) readFailed(now time.Time, an readAnswer) {
	if an.all {
		mc.nextList = now.Add(mc.jitter(longestRetryPause))
		return
	}
	for _, name := range an.names {
		if rc := mc.records[name]; rc != nil {
			rc.nextRead = now.Add(mc.jitter(retryPause))
		}
	}
}

// take brings a record up to what the store has.
func (mc *machine) take(now time.Time, rc *record, st stored) {
	if !rc.known || st.index != rc.stored.index {
		rc.openSince = now
		mc.changed[rc.name] = true
	}
	rc.known, rc.stored, rc.readAt = true, st, now
	rc.hint = ""
	mc.resolve(rc)
	mc.confirm(rc)
	rc.nextRead = mc.readAfter(now, rc)
}

// resolve ends a write of unknown outcome if the record has changed, so that the write can't land any more.
func (mc *machine) resolve(rc *record) {
	wr := rc.write
	if wr == nil || wr.calling {
		return
	}
	if rc.stored.index == wr.base && wr.session == mc.lease.session {
		return // it may still land, and is sent again
	}
	rc.write = nil
	if rc.stored.index > 0 && rc.stored.record.GetNonce() == wr.record.GetNonce() {
		mc.won(rc, wr)
	}
}

// confirm compares a hold with the record that was read.
func (mc *machine) confirm(rc *record) {
	hl := rc.hold
	if hl == nil || (rc.write != nil && rc.write.calling) {
		return
	}
	record := rc.stored.record
	if rc.stored.index == 0 || record.GetHolder() != mc.self || record.GetFencing() != hl.fencing {
		mc.drop(rc)
		return
	}
	if rc.stored.lock != mc.lease.session || rc.stored.lock == "" {
		if hl.session == mc.lease.session {
			hl.lastLease = mc.lease.deadline
		}
		hl.session = ""
	}
	if rc.write == nil || rc.write.kind != changeSuccessors {
		hl.need = record.GetSuccessors()
	}
}

// drop ends a hold; another instance has the record.
func (mc *machine) drop(rc *record) {
	hl := rc.hold
	rc.hold = nil
	mc.changed[rc.name] = true
	if hl.acting {
		mc.emit(report{Event{resource: rc.name, kind: Lost, fencing: hl.fencing}})
	}
}

// readAfter returns when a record is to be read again; zero for never.
func (mc *machine) readAfter(now time.Time, rc *record) time.Time {
	switch {
	case rc.write != nil:
		return now.Add(mc.jitter(retryPause))
	case rc.hold != nil && rc.hold.session == mc.lease.session:
		return time.Time{}
	case rc.hold != nil:
		return latest(now.Add(mc.jitter(suspectPoll)), mc.reacquireAt)
	case mc.open(rc):
		return latest(now.Add(suspectPoll), mc.eligibleAt(rc))
	case mc.suspect(rc):
		return now.Add(mc.jitter(suspectPoll))
	case slices.Contains(rc.stored.record.GetSuccessors(), mc.self):
		return now.Add(mc.jitter(slowPoll))
	default:
		return time.Time{}
	}
}

// open tells whether the record may be taken over by someone.
func (mc *machine) open(rc *record) bool {
	return rc.stored.index == 0 || rc.stored.lock == "" || rc.stored.record.GetHolder() == ""
}

// eligibleAt returns the time from which this instance may take an open record over.
func (mc *machine) eligibleAt(rc *record) time.Time {
	at := rc.openSince
	record := rc.stored.record
	switch place := slices.Index(record.GetSuccessors(), mc.self); {
	case place >= 0:
		at = at.Add(time.Duration(place) * mc.timing.Stagger)
	case rc.stored.index == 0, record.GetHolder() == "", len(record.GetSuccessors()) == 0:
		at = at.Add(time.Duration(mc.rank(rc)) * mc.timing.Stagger)
	default:
		at = at.Add(mc.timing.Hold + time.Duration(mc.rank(rc))*mc.timing.Stagger)
	}
	return latest(at, mc.promises[rc.name])
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
