package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"lovagebank/balancer"
)

// maxReportedCrashes limits the crashes of one report.
const maxReportedCrashes = 64

// peerMarks holds how far the evidence is exchanged with a peer.
type peerMarks struct {
	// confirmed is the newest own mark that the peer has confirmed, and received the newest mark of the peer.
	confirmed uint64
	received  uint64
}

// ReportedCrash is a crash as one instance reports it to another.
type ReportedCrash struct {
	Target   balancer.Start
	At       time.Time
	Suspects map[Part]uint32
	// AliveAt is when the target was last shown to be alive after it had been presumed to have crashed; zero if it was not.
	AliveAt time.Time
}

// Report is the evidence that one instance reports to another.
type Report struct {
	// Mark is the newest change in the report, and Heard the newest mark that the sender has received from the receiver.
	Mark     uint64
	Heard    uint64
	Crashes  []ReportedCrash
	Begun    map[Part]time.Time
	Verdicts []Verdict
}

// Report returns what has changed since the newest report that the peer has confirmed.
func (pa *Parts) Report(peer string) Report {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	marks := pa.marks(peer)
	re := Report{Mark: pa.base | pa.sequence, Heard: marks.received, Begun: make(map[Part]time.Time)}
	crashes := pa.changedCrashes(marks.confirmed)
	if len(crashes) > maxReportedCrashes {
		// The next report has the later ones, and once more what changed after these.
		crashes = crashes[:maxReportedCrashes]
		re.Mark = pa.crashes[crashes[maxReportedCrashes-1]].changed
	}
	for _, ts := range crashes {
		cr := pa.crashes[ts]
		re.Crashes = append(re.Crashes, ReportedCrash{Target: ts, At: cr.at, Suspects: pa.unacquittedSuspects(cr), AliveAt: cr.aliveAt})
	}
	for pt, so := range pa.sound {
		if so.changed > marks.confirmed {
			re.Begun[pt] = so.at
		}
	}
	for _, co := range pa.verdicts {
		if co.changed > marks.confirmed {
			re.Verdicts = append(re.Verdicts, co.Verdict)
		}
	}
	return re
}

// changedCrashes returns the targets of the crashes that changed after the given mark, oldest change first.
func (pa *Parts) changedCrashes(mark uint64) []balancer.Start {
	var changed []balancer.Start
	for ts, cr := range pa.crashes {
		if cr.changed > mark {
			changed = append(changed, ts)
		}
	}
	slices.SortFunc(changed, func(a, b balancer.Start) int { return cmp.Compare(pa.crashes[a].changed, pa.crashes[b].changed) })
	return changed
}

func (pa *Parts) marks(peer string) *peerMarks {
	marks, ok := pa.peers[peer]
	if !ok {
		marks = &peerMarks{}
		pa.peers[peer] = marks
	}
	return marks
}

// Remove forgets a peer that has been removed.
func (pa *Parts) Remove(peer string) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	delete(pa.peers, peer)
}

// Merge applies a peer's report and returns the verdicts that are new to this instance.
func (pa *Parts) Merge(peer string, re Report) []Verdict {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	marks := pa.marks(peer)
	marks.received, marks.confirmed = re.Mark, 0
	if re.Heard&^(1<<sequenceBits-1) == pa.base {
		marks.confirmed = re.Heard
	}
	for _, rc := range re.Crashes {
		pa.mergeCrash(rc)
	}
	for pt, at := range re.Begun {
		if pa.suspected(pt) {
			pa.recordSound(pt, at)
		}
	}
	var adopted []Verdict
	for _, ve := range re.Verdicts {
		if pa.adopt(ve) {
			adopted = append(adopted, pa.verdicts[ve.Key()].Verdict)
		}
	}
	return adopted
}

func (pa *Parts) mergeCrash(rc ReportedCrash) {
	if time.Since(rc.At) > crashRetention {
		return
	}
	cr := pa.crash(rc.Target, rc.At)
	if rc.AliveAt.Sub(cr.aliveAt) >= minAliveDelay {
		cr.aliveAt, cr.changed = rc.AliveAt, pa.next()
	}
	for pt, request := range rc.Suspects {
		pa.suspect(rc.Target, rc.At, pt, request)
	}
}

// Adopt puts in force a verdict that another instance has made. It returns false if this instance knows it already, or knows that an
// answer has begun on one of its parts since.
func (pa *Parts) Adopt(ve Verdict) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.adopt(ve)
}

func (pa *Parts) adopt(ve Verdict) bool {
	if len(ve.Parts) == 0 || len(ve.Parts) > maxVerdictParts {
		return false
	}
	for _, np := range ve.Parts {
		if at := pa.begunAt(np.Part); at.Sub(ve.Since) > acquittalMargin {
			pa.recordSound(np.Part, at)
			return false
		}
	}
	co, ok := pa.verdicts[ve.Key()]
	if !ok {
		return pa.enforce(ve)
	}
	co.Probes = max(co.Probes, ve.Probes)
	if ve.RefusedAt.After(co.RefusedAt) {
		co.RefusedAt, co.toldRefusedAt = ve.RefusedAt, ve.RefusedAt
	}
	return false
}

// Withdraw ends the verdict with the given key, as another instance has ended it.
func (pa *Parts) Withdraw(key string) (Verdict, bool) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	co, ok := pa.verdicts[key]
	if !ok {
		return Verdict{}, false
	}
	delete(pa.verdicts, key)
	return co.Verdict, true
}

// Urgent reports whether evidence has changed since the last call, so that peers should hear of it soon.
func (pa *Parts) Urgent() bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.announced == pa.sequence {
		return false
	}
	pa.announced = pa.sequence
	return true
}
