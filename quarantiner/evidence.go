package quarantiner

import (
	"maps"
	"time"

	"lovagebank/balancer"
)

// loadedSettleTime is how long after it was read a crash counts of which an instance has learned from the store: by then answers have begun
// on the sound parts that were at it, of which an instance that has just started knows nothing.
const loadedSettleTime = 2 * time.Second

// Evidence is the evidence of one crash that should outlive all instances.
type Evidence struct {
	Target balancer.Start
	At     time.Time
	// Suspects are the parts of the requests at the target on which no answer has begun since, each with the hash of such a request.
	Suspects map[Part]uint32
}

// Unsaved returns the crashes whose evidence differs from what the store is known to have. One without suspects should be deleted there.
func (pa *Parts) Unsaved() []Evidence {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if !pa.unsaved {
		return nil
	}
	var unsaved []Evidence
	for ts, cr := range pa.crashes {
		suspects := pa.unacquittedSuspects(cr)
		if !sameParts(suspects, pa.saved[ts]) {
			unsaved = append(unsaved, Evidence{Target: ts, At: cr.at, Suspects: suspects})
		}
	}
	for ts := range pa.saved {
		if _, ok := pa.crashes[ts]; !ok {
			unsaved = append(unsaved, Evidence{Target: ts})
		}
	}
	pa.unsaved = len(unsaved) > 0
	return unsaved
}

// unacquittedSuspects returns the suspects of a crash on which no answer has begun since; none if it has been withdrawn.
func (pa *Parts) unacquittedSuspects(cr *crash) map[Part]uint32 {
	suspects := make(map[Part]uint32)
	if cr.withdrawn() {
		return suspects
	}
	for pt, request := range cr.suspects {
		if cr.at.After(pa.begunAt(pt)) {
			suspects[pt] = request
		}
	}
	return suspects
}

func sameParts(a, b map[Part]uint32) bool {
	return maps.EqualFunc(a, b, func(uint32, uint32) bool { return true })
}

// Saved records that the store has the evidence of a crash, and applies it. Evidence without suspects means that the store has none. It
// reports whether the crash is new to this instance.
func (pa *Parts) Saved(ev Evidence) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.unsaved = true
	if len(ev.Suspects) == 0 {
		delete(pa.saved, ev.Target)
		return false
	}
	pa.saved[ev.Target] = ev.Suspects
	if time.Since(ev.At) > crashRetention {
		return false
	}
	cr, known := pa.crashes[ev.Target]
	if known && cr.withdrawn() {
		return false
	}
	at := ev.At
	if known {
		// The time of day may have jumped.
		at = cr.at
	}
	for pt, request := range ev.Suspects {
		pa.suspect(ev.Target, at, pt, request)
	}
	if known {
		return false
	}
	cr = pa.crash(ev.Target, at)
	cr.countsAt = time.Now().Add(loadedSettleTime)
	pa.unsettledUntil = cr.countsAt.Add(settleTime)
	return true
}
