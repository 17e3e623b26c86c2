package leaser

import (
	"slices"
	"strings"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// stepsPerWrite is the number of transaction steps per write: a check of the index, and a lock or unlock.
	stepsPerWrite = 2
	// maxWritesPerTransaction is the maximum number of writes in one transaction.
	maxWritesPerTransaction = storer.MaxOperations / stepsPerWrite
)

// stepWrite returns the write that a record needs now, or nil. A write of unknown outcome is sent again unchanged.
func (mc *machine) stepWrite(now time.Time, rc *record) *write {
	if wr := rc.write; wr != nil {
		if wr.pending || now.Before(wr.retryAt) || wr.session != mc.lease.session {
			return nil
		}
		wr.pending = true
		return wr
	}
	if !mc.sessionValid(now) || !rc.loaded {
		return nil
	}
	if rc.hold != nil {
		rc.write = mc.holderWrite(now, rc)
	} else if mc.mayTakeOver(now, rc) {
		rc.write = mc.newTakeover(rc)
	}
	if rc.write != nil {
		rc.write.pending = true
	}
	return rc.write
}

// mayTakeOver reports whether this instance may take over the record now. If the last read is too old, it schedules a
// new read first.
func (mc *machine) mayTakeOver(now time.Time, rc *record) bool {
	if mc.leaving || !rc.requested || !mc.available(rc) || !slices.Contains(rc.candidates, mc.self) {
		return false
	}
	eligibleAt := mc.eligibleAt(rc)
	return !now.Before(eligibleAt) && mc.ensureFresh(now, rc, eligibleAt)
}

func (mc *machine) newWrite(rc *record, kind writeKind) *write {
	return &write{
		kind: kind, name: rc.name, baseIndex: rc.stored.index, session: mc.lease.session,
		record: &wire.HolderRecord{
			Resource: rc.name, Holder: mc.self, Session: mc.lease.session, Nonce: mc.nonce(),
			Successors: rc.stored.record.GetSuccessors(), Fencing: rc.stored.record.GetFencing(),
		},
	}
}

func (mc *machine) newTakeover(rc *record) *write {
	wr := mc.newWrite(rc, takeOver)
	wr.record.Fencing++
	wr.record.Successors = mc.successors(rc)
	switch {
	case rc.stored.index == 0:
		wr.gained = Created
	case rc.stored.record.GetHolder() == "":
		wr.gained, wr.inheritedState = HandedOver, rc.stored.record.GetHandedOver()
	default:
		wr.gained = TakenOver
	}
	return wr
}

// successors returns the first candidates other than this instance.
func (mc *machine) successors(rc *record) []string {
	var successors []string
	for _, candidate := range rc.candidates {
		if candidate != mc.self && len(successors) < successorCount {
			successors = append(successors, candidate)
		}
	}
	return successors
}

// holderWrite returns the change that a record held by this instance needs now, or nil.
func (mc *machine) holderWrite(now time.Time, rc *record) *write {
	hl := rc.hold
	switch {
	case hl.session != mc.lease.session:
		if !mc.mayReacquire(now, rc) {
			return nil
		}
		return mc.newWrite(rc, reacquire)
	case hl.ownerStopped:
		wr := mc.newWrite(rc, release)
		wr.record.Holder, wr.record.Session, wr.record.HandedOver = "", "", hl.finalState
		if preferred := mc.successors(rc); len(preferred) > 0 {
			wr.record.Successors = preferred // they may take over first, and may differ from those of the takeover
		}
		return wr
	case hl.releasing:
		return nil
	case mc.successorMissing(now, rc):
		wr := mc.newWrite(rc, changeSuccessors)
		wr.record.Successors = mc.successors(rc)
		// Until the outcome of the write is known, the promises of both lists are required.
		hl.requiredSuccessors = union(hl.requiredSuccessors, wr.record.GetSuccessors())
		mc.changed[rc.name] = true
		return wr
	}
	return nil
}

func (mc *machine) mayReacquire(now time.Time, rc *record) bool {
	if rc.stored.lock != "" || now.Before(mc.reacquireAt) {
		return false
	}
	return mc.ensureFresh(now, rc, mc.reacquireAt)
}

// ensureFresh reports whether the record was read recently and since the given time. If not, it schedules a new read.
func (mc *machine) ensureFresh(now time.Time, rc *record, since time.Time) bool {
	if now.Sub(rc.readAt) <= maxReadAge && !rc.readAt.Before(since) {
		return true
	}
	if rc.nextRead.IsZero() || rc.nextRead.After(now) {
		rc.nextRead = now
	}
	return false
}

// successorMissing reports whether a successor has been missing for successorReplacementDelay, or the record could have
// named more successors for as long.
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
	case !missing || !rc.requested:
		rc.hold.successorMissingSince = time.Time{}
	case rc.hold.successorMissingSince.IsZero():
		rc.hold.successorMissingSince = now
	}
	return missing && rc.requested && now.Sub(rc.hold.successorMissingSince) >= successorReplacementDelay
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

// sendWrites emits the writes, as many as fit in each transaction.
func (mc *machine) sendWrites(writes []*write) {
	slices.SortFunc(writes, func(a, b *write) int { return strings.Compare(a.name, b.name) })
	for chunk := range slices.Chunk(writes, maxWritesPerTransaction) {
		batch := make([]write, 0, len(chunk))
		for _, wr := range chunk {
			batch = append(batch, *wr)
		}
		mc.emit(writeRecords{batch})
	}
}

// handleWriteResults applies the results of the writes of a transaction.
func (mc *machine) handleWriteResults(now time.Time, results []writeResult) {
	for _, res := range results {
		if rc := mc.records[res.name]; rc != nil && rc.write != nil && rc.write.record.GetNonce() == res.nonce {
			mc.handleWriteResult(now, rc, res)
		}
	}
	mc.step(now)
}

func (mc *machine) handleWriteResult(now time.Time, rc *record, res writeResult) {
	wr := rc.write
	wr.pending = false
	switch res.outcome {
	case done:
		rc.write = nil
		rc.stored = storedRecord{name: rc.name, index: res.index, lock: wr.record.GetSession(), record: wr.record}
		rc.availableSince, rc.readAt = now, now
		rc.nextRead = time.Time{}
		if wr.session != mc.lease.session {
			rc.nextRead = now
		}
		mc.applyWrite(rc, wr)
	case notSent:
		if !wr.uncertain {
			rc.write = nil
		}
		wr.retryAt = now.Add(mc.jitter(retryPause))
		rc.nextRead = wr.retryAt
	case refused:
		if !wr.uncertain {
			rc.write = nil
		}
		wr.retryAt = now.Add(mc.jitter(retryPause))
		rc.nextRead = now
	case unknown:
		wr.uncertain = true
		wr.retryAt = now.Add(mc.jitter(retryPause))
		rc.nextRead = now
	}
}

// applyWrite updates the hold after a write that has been applied by the store.
func (mc *machine) applyWrite(rc *record, wr *write) {
	mc.changed[rc.name] = true
	switch wr.kind {
	case takeOver:
		rc.hold = &hold{
			fencing: wr.record.GetFencing(), session: wr.session,
			requiredSuccessors: wr.record.GetSuccessors(), kind: wr.gained, inheritedState: wr.inheritedState,
		}
	case reacquire:
		rc.hold.session = wr.session
	case changeSuccessors:
		rc.hold.requiredSuccessors = wr.record.GetSuccessors()
		rc.hold.successorMissingSince = time.Time{}
	case release:
		rc.hold = nil
		mc.notifySuccessors(rc, wr)
	}
}
