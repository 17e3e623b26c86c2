package quarantiner

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagebank/balancer"
)

// crash is the presumed crash of one start of a target.
type crash struct {
	at time.Time
	// suspects maps the parts of the requests that were at the target, and whose answers had not begun, to the hash of one of
	// these requests.
	suspects map[Part]uint32
	// aliveAt is when the target was last shown to be alive after it had been presumed to have crashed; zero if it was not.
	aliveAt time.Time
	// countsAt is when the crash begins to count, if that is later than its settleTime.
	countsAt time.Time
	// begunBefore is the number of answers that had begun at this instance when it learned of the crash.
	begunBefore int
	changed     uint64
}

// withdrawn reports whether the target has answered since, so that it did not crash.
func (cr *crash) withdrawn() bool { return !cr.at.After(cr.aliveAt) }

// BrokeOff records that a start of a target broke off before the answer to a request had begun.
func (pa *Parts) BrokeOff(ts balancer.Start, requestID string, parts []NamedPart) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	now := time.Now()
	request := uint32(xxhash.Sum64String(requestID))
	for _, np := range parts {
		pa.names[np.Part] = np.Name
		pa.suspect(ts, now, np.Part, request)
	}
}

// crash returns the presumed crash of a start of a target, a new one if there is none.
func (pa *Parts) crash(ts balancer.Start, at time.Time) *crash {
	cr, ok := pa.crashes[ts]
	if !ok {
		cr = &crash{at: at, suspects: make(map[Part]uint32), begunBefore: pa.begunAnswers}
		pa.makeRoom()
		pa.crashes[ts] = cr
	}
	return cr
}

// suspect adds a part to the suspects of a crash.
func (pa *Parts) suspect(ts balancer.Start, at time.Time, pt Part, request uint32) {
	cr := pa.crash(ts, at)
	if !at.After(cr.aliveAt) {
		return
	}
	if cr.withdrawn() {
		cr.at, cr.suspects, cr.begunBefore = at, make(map[Part]uint32), pa.begunAnswers
	}
	if at.Before(cr.at) {
		cr.at = at
	}
	if _, known := cr.suspects[pt]; known || len(cr.suspects) >= maxSuspects {
		return
	}
	cr.suspects[pt] = request
	cr.changed = pa.next()
	pa.unsettledUntil = time.Now().Add(2 * settleTime)
	if begunAt, ok := pa.begun[pt]; ok {
		pa.recordSound(pt, begunAt)
	}
}

// makeRoom drops the oldest crash if no further one can be kept.
func (pa *Parts) makeRoom() {
	if len(pa.crashes) < maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(pa.crashes)), func(a, b balancer.Start) int {
		return pa.crashes[a].at.Compare(pa.crashes[b].at)
	})
	delete(pa.crashes, oldest)
}

// Answered records that a start of a target has responded to a request that was sent at the given time. It withdraws a crash that
// has been presumed shortly before.
func (pa *Parts) Answered(ts balancer.Start, sentAt time.Time) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	cr, ok := pa.crashes[ts]
	if !ok || cr.withdrawn() {
		return
	}
	if after := sentAt.Sub(cr.at); after >= minAliveDelay && after <= maxAliveDelay {
		cr.aliveAt, cr.changed = sentAt, pa.next()
	}
}
