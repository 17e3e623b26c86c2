package balancer

import "time"

// MarkLeaving records that a target has announced that it is leaving, and reports whether this is new. The announcement applies
// to this start of the target only.
func (ba *Balancer) MarkLeaving(ts Start) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ts.Target]
	if !ok || st.leaving || !st.target.Started().Equal(ts.Started) {
		return false
	}
	st.leaving = true
	return true
}

// Leavers returns the targets that are leaving but whose entries in the platform's list do not say so yet.
func (ba *Balancer) Leavers() []Start {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var leavers []Start
	for _, st := range ba.states {
		if st.leaving && !st.target.Draining() {
			leavers = append(leavers, st.target.Start())
		}
	}
	return leavers
}

// Available reports whether a target takes requests now.
func (ba *Balancer) Available(target string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	return ok && !st.unavailable(time.Now())
}

// draining reports whether the target takes no new requests any more.
func (st *targetState) draining() bool { return st.leaving || st.target.Draining() }

// unavailable reports whether the target takes no requests now, either because it is draining or because it backs off.
func (st *targetState) unavailable(now time.Time) bool {
	return st.draining() || now.Before(st.backOffUntil)
}
