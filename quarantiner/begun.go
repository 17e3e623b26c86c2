package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// soundness is the newest evidence that a suspected part does not crash targets.
type soundness struct {
	at      time.Time
	changed uint64
}

// Begun records that an answer to a prompt with the given parts has begun without a crash of its target.
func (pa *Parts) Begun(parts []NamedPart) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	now := time.Now()
	pa.begunAnswers++
	for _, np := range parts {
		if now.Sub(pa.begun[np.Part]) < begunInterval {
			continue
		}
		if len(pa.begun) >= maxBegun {
			pa.forgetBegun(now)
		}
		if pa.unacquitted(np.Part) {
			pa.recordSound(np.Part, now)
		}
		pa.begun[np.Part] = now
	}
}

// forgetBegun forgets the parts that have begun least recently: those older than half of the retention, or all.
func (pa *Parts) forgetBegun(now time.Time) {
	maps.DeleteFunc(pa.begun, func(_ Part, at time.Time) bool { return now.Sub(at) > crashRetention/2 })
	if len(pa.begun) >= maxBegun {
		clear(pa.begun)
	}
}

// unacquitted reports whether a begun answer would be new evidence for a part: it is in a verdict, or suspected of a crash that was
// later than the last answer that has begun on it.
func (pa *Parts) unacquitted(pt Part) bool {
	begunAt := pa.begunAt(pt)
	for _, cr := range pa.crashes {
		if _, ok := cr.suspects[pt]; ok && !cr.withdrawn() && cr.at.After(begunAt) {
			return true
		}
	}
	return pa.inVerdict(pt)
}

// suspected reports whether a part is among the suspects of a crash, or in a verdict.
func (pa *Parts) suspected(pt Part) bool {
	for _, cr := range pa.crashes {
		if _, ok := cr.suspects[pt]; ok {
			return true
		}
	}
	return pa.inVerdict(pt)
}

func (pa *Parts) inVerdict(pt Part) bool {
	for _, co := range pa.verdicts {
		if slices.ContainsFunc(co.Parts, func(np NamedPart) bool { return np.Part == pt }) {
			return true
		}
	}
	return false
}

// recordSound records the time of a begun answer to a prompt with a suspected part.
func (pa *Parts) recordSound(pt Part, at time.Time) {
	so, ok := pa.sound[pt]
	if !ok {
		so = &soundness{}
		pa.sound[pt] = so
	}
	if at.Sub(so.at) >= begunInterval {
		so.at, so.changed = at, pa.next()
	}
}

// begunAt returns when an answer to a prompt with the part last began, as far as known; zero if none did.
func (pa *Parts) begunAt(pt Part) time.Time {
	at := pa.begun[pt]
	if so, ok := pa.sound[pt]; ok && so.at.After(at) {
		return so.at
	}
	return at
}
