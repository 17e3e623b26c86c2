package balancer

import "time"

// Leaver is a start of a target that has said in its answers that it is leaving.
type Leaver struct {
	Target  string
	Started time.Time
}

// MarkLeaving notes that a target has said that it is leaving; it is true the first time. The word holds for this start of the
// target only.
func (ba *Balancer) MarkLeaving(le Leaver) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[le.Target]
	if !ok || st.leaving || !st.target.Started().Equal(le.Started) {
		return false
	}
	st.leaving = true
	return true
}

// Leavers are the targets that are known to be leaving while their entries do not say so yet.
func (ba *Balancer) Leavers() []Leaver {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var leavers []Leaver
	for _, st := range ba.states {
		if st.leaving && !st.target.Draining() {
			leavers = append(leavers, Leaver{Target: st.target.ID(), Started: st.target.Started()})
		}
	}
	return leavers
}

// Available tells whether a target takes requests now.
func (ba *Balancer) Available(target string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	return ok && !st.closed(time.Now())
}

// closing tells whether the target takes no new requests any more.
func (st *state) closing() bool { return st.leaving || st.target.Draining() }

// closed tells whether the target takes no requests now.
func (st *state) closed(now time.Time) bool { return st.closing() || now.Before(st.backOffUntil) }
