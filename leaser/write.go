package leaser

import (
	"slices"
	"strings"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// stepsPerWrite is the number of transaction steps of one write: a check of the index, and a lock.
	stepsPerWrite = 2
	// maxWrites is the most writes in one transaction.
	maxWrites = storer.MaxOperations / stepsPerWrite
)

// stepWrite returns the write that a record needs now, if any. An unknown one is sent again as it was.
func (mc *machine) stepWrite(now time.Time, rc *record) *write {
	if wr := rc.write; wr != nil {
		if wr.calling || now.Before(wr.retry) || wr.session != mc.lease.session {
			return nil
		}
		wr.calling = true
		return wr
	}
	if !mc.leased(now) || !rc.known {
		return nil
	}
	if rc.hold != nil {
		rc.write = mc.writeOfHolder(now, rc)
	} else if mc.mayTake(now, rc) {
		rc.write = mc.takeover(rc)
	}
	if rc.write != nil {
		rc.write.calling = true
	}
	return rc.write
}

// mayTake tells whether this instance may take the record over now. A read that is too old is repeated first.
func (mc *machine) mayTake(now time.Time, rc *record) bool {
	if mc.leaving || !rc.wanted || !mc.open(rc) || !slices.Contains(rc.candidates, mc.self) {
		return false
	}
	eligibleAt := mc.eligibleAt(rc)
	return !now.Before(eligibleAt) && mc.freshlyRead(now, rc, eligibleAt)
}

func (mc *machine) newWrite(rc *record, kind writeKind) *write {
	return &write{
		kind: kind, name: rc.name, base: rc.stored.index, session: mc.lease.session,
		record: &wire.HolderRecord{
			Resource: rc.name, Holder: mc.self, Session: mc.lease.session, Nonce: mc.nonce(),
			Successors: rc.stored.record.GetSuccessors(), Fencing: rc.stored.record.GetFencing(),
		},
	}
}

func (mc *machine) takeover(rc *record) *write {
	wr := mc.newWrite(rc, takeOver)
	wr.record.Fencing++
	wr.record.Successors = mc.successors(rc)
	switch {
	case rc.stored.index == 0:
		wr.gained = Created
	case rc.stored.record.GetHolder() == "":
		wr.gained, wr.from = HandedOver, rc.stored.record.GetHandedOver()
	default:
		wr.gained = TakenOver
	}
	return wr
}

// successors returns the first candidates after this instance.
func (mc *machine) successors(rc *record) []string {
	var successors []string
	for _, candidate := range rc.candidates {
		if candidate != mc.self && len(successors) < successorCount {
			successors = append(successors, candidate)
		}
	}
	return successors
}

// writeOfHolder returns a change of a record that this instance holds.
func (mc *machine) writeOfHolder(now time.Time, rc *record) *write {
	hl := rc.hold
	switch {
	case hl.session != mc.lease.session:
		if !mc.mayReacquire(now, rc) {
			return nil
		}
		return mc.newWrite(rc, reacquire)
	case hl.surrendered:
		wr := mc.newWrite(rc, release)
		wr.record.Holder, wr.record.Session, wr.record.HandedOver = "", "", hl.handedState
		if preferred := mc.successors(rc); len(preferred) > 0 {
			wr.record.Successors = preferred // they go first, and may not be the ones of the takeover
		}
		return wr
	case hl.surrendering:
		return nil
	case mc.successorMissing(now, rc):
		wr := mc.newWrite(rc, changeSuccessors)
		wr.record.Successors = mc.successors(rc)
		// Until it is known which list stands, the promises of both are needed.
		hl.need = union(hl.need, wr.record.GetSuccessors())
		mc.changed[rc.name] = true
		return wr
	}
	return nil
}

func (mc *machine) mayReacquire(now time.Time, rc *record) bool {
	if rc.stored.lock != "" || now.Before(mc.reacquireAt) {
		return false
	}
	return mc.freshlyRead(now, rc, mc.reacquireAt)
}

// freshlyRead tells whether the record was read lately and since the given time; if not, it is read again.
func (mc *machine) freshlyRead(now time.Time, rc *record, since time.Time) bool {
	if now.Sub(rc.readAt) <= freshness && !rc.readAt.Before(since) {
		return true
	}
	if rc.nextRead.IsZero() || rc.nextRead.After(now) {
		rc.nextRead = now
	}
	return false
}

// successorMissing tells that a successor has been gone for a while, or that the record could name more of them.
func (mc *machine) successorMissing(now time.Time, rc *record) bool {
	listed := rc.stored.record.GetSuccessors()
	others := len(rc.candidates)
	if slices.Contains(rc.candidates, mc.self) {
		others--
	}
	missing := len(listed) < min(others, successorCount)
	for _, successor := range listed {
		missing = missing || !slices.Contains(rc.candidates, successor)
	}
	switch {
	case !missing || !rc.wanted:
		rc.hold.missingSince = time.Time{}
	case rc.hold.missingSince.IsZero():
		rc.hold.missingSince = now
	}
	return missing && rc.wanted && now.Sub(rc.hold.missingSince) >= settling
}

func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, item := range b {
		if !slices.Contains(all, item) {
			all = append(all, item)
		}
	}
	return all
}

// sendWrites asks for writes, as many as fit in one transaction each.
func (mc *machine) sendWrites(writes []*write) {
	slices.SortFunc(writes, func(a, b *write) int { return strings.Compare(a.name, b.name) })
	for chunk := range slices.Chunk(writes, maxWrites) {
		batch := make([]write, 0, len(chunk))
		for _, wr := range chunk {
			batch = append(batch, *wr)
		}
		mc.emit(writeRecords{batch})
	}
}

// answerWrites takes the outcomes of a transaction's writes.
func (mc *machine) answerWrites(now time.Time, answers []writeAnswer) {
	for _, an := range answers {
		if rc := mc.records[an.name]; rc != nil && rc.write != nil && rc.write.record.GetNonce() == an.nonce {
			mc.answerWrite(now, rc, an)
		}
	}
	mc.step(now)
}

func (mc *machine) answerWrite(now time.Time, rc *record, an writeAnswer) {
	wr := rc.write
	wr.calling = false
	switch an.outcome {
	case done:
		rc.write = nil
		rc.stored = stored{name: rc.name, index: an.index, lock: wr.record.GetSession(), record: wr.record}
		rc.openSince, rc.readAt = now, now
		rc.nextRead = time.Time{}
		if wr.session != mc.lease.session {
			rc.nextRead = now
		}
		mc.won(rc, wr)
	case notSent:
		if !wr.unsure {
			rc.write = nil
		}
		wr.retry = now.Add(mc.jitter(retryPause))
		rc.nextRead = wr.retry
	case refused:
		if !wr.unsure {
			rc.write = nil
		}
		wr.retry = now.Add(mc.jitter(retryPause))
		rc.nextRead = now
	case unknown:
		wr.unsure = true
		wr.retry = now.Add(mc.jitter(retryPause))
		rc.nextRead = now
	}
}

// won brings the hold up to a write that is known to have landed.
func (mc *machine) won(rc *record, wr *write) {
	mc.changed[rc.name] = true
	switch wr.kind {
	case takeOver:
		rc.hold = &hold{
			fencing: wr.record.GetFencing(), session: wr.session, need: wr.record.GetSuccessors(), kind: wr.gained, state: wr.from,
		}
	case reacquire:
		rc.hold.session = wr.session
	case changeSuccessors:
		rc.hold.need = wr.record.GetSuccessors()
		rc.hold.missingSince = time.Time{}
	case release:
		rc.hold = nil
		mc.notifySuccessors(rc, wr)
	}
}
