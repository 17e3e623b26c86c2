package quarantiner

import (
	"slices"
	"time"
)

// condemnation is a verdict in force.
type condemnation struct {
	Verdict
	// toldRefusedAt is the time of the last refusal that has been reported to peers.
	toldRefusedAt time.Time
	// probing is true while a request of this instance is to test the verdict.
	probing bool
	changed uint64
}

// Condemned returns the verdict that refuses a prompt with the given parts; false if there is none.
func (pa *Parts) Condemned(parts []Part) (Verdict, bool) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	for _, co := range pa.verdicts {
		if co.covers(parts) {
			co.refused(time.Now(), pa.next)
			return co.Verdict, true
		}
	}
	return Verdict{}, false
}

// refused records a refusal and, at times, marks it to be reported to peers.
func (co *condemnation) refused(now time.Time, next func() uint64) {
	co.RefusedAt = now
	if now.Sub(co.toldRefusedAt) > verdictRetention/4 {
		co.toldRefusedAt, co.changed = now, next()
	}
}

// enforce puts a verdict in force and cancels the requests that it covers. It returns false if the set of parts is condemned already.
func (pa *Parts) enforce(ve Verdict) bool {
	key := ve.Key()
	if _, ok := pa.verdicts[key]; ok || len(pa.verdicts) >= maxVerdicts {
		return false
	}
	ve.Parts = pa.withNames(ve.Parts)
	pa.verdicts[key] = &condemnation{Verdict: ve, toldRefusedAt: ve.RefusedAt, changed: pa.next()}
	for rq := range pa.running {
		if ve.covers(rq.parts) {
			rq.cancel()
			delete(pa.running, rq)
		}
	}
	return true
}

// withNames returns parts with the names that this instance has. The instance that made the verdict may have them from peers, without names.
func (pa *Parts) withNames(parts []NamedPart) []NamedPart {
	named := slices.Clone(parts)
	for at, np := range named {
		if np.Name == "" {
			named[at].Name = pa.names[np.Part]
		}
	}
	return named
}
