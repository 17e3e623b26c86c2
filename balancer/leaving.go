package balancer

import "time"

const (
	// announcementRetention is how long it is remembered that a start of a target is leaving, from the last report of it. It is
	// longer than targets take to leave.
	announcementRetention = 5 * time.Minute
	// pruneAnnouncementsAbove is the number of announcements from which outdated ones are dropped.
	pruneAnnouncementsAbove = 64
)

// announcements remembers the starts of targets that are leaving, by when that was last reported. It outlives their entries in
// the platform's list, which may go and come back.
type announcements map[Start]time.Time

// record remembers that a start is leaving. A target that does not state when it started is not remembered, as its starts
// cannot be told apart.
func (an announcements) record(ts Start, now time.Time) {
	if ts.Started.UnixMilli() <= 0 {
		return
	}
	an[ts.normalized()] = now
	if len(an) <= pruneAnnouncementsAbove {
		return
	}
	for other, at := range an {
		if now.Sub(at) > announcementRetention {
			delete(an, other)
		}
	}
}

// contains reports whether a start is known to be leaving.
func (an announcements) contains(ts Start) bool {
	_, known := an[ts.normalized()]
	return known
}

// normalized returns the start as a key of a map: equal starts have equal keys.
func (ts Start) normalized() Start {
	return Start{Target: ts.Target, Started: time.UnixMilli(ts.Started.UnixMilli())}
}

// MarkLeaving records that a target has announced that it is leaving, and reports whether this is new. The announcement applies
// to this start of the target only, and also if the platform's list does not have it now.
func (ba *Balancer) MarkLeaving(ts Start) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	known := ba.leaving.contains(ts)
	ba.leaving.record(ts, time.Now())
	if st, ok := ba.states[ts.Target]; ok && st.target.SameAs(ts) {
		known = known || st.leaving
		st.leaving = true
		return !known
	}
	return !known && ba.leaving.contains(ts)
}

// SetAbsent records whether, according to a peer, the platform's list no longer has this start of a target, while this
// instance's copy of the list is older. The target gets no requests meanwhile. It reports whether this has changed.
func (ba *Balancer) SetAbsent(ts Start, absent bool) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ts.Target]
	if !ok || !st.target.SameAs(ts) || st.absent == absent {
		return false
	}
	st.absent = absent
	return true
}

// Leavers returns the listed targets that are leaving.
func (ba *Balancer) Leavers() []Start {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var leavers []Start
	for _, st := range ba.states {
		if st.leaving || st.target.Draining() {
			leavers = append(leavers, st.target.Start())
		}
	}
	return leavers
}

// Available reports whether this start of a target, at this address, still takes requests.
func (ba *Balancer) Available(ta *Target) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ta.ID()]
	return ok && st.target.SameStart(ta) && !st.unavailable(time.Now())
}

// draining reports whether the target takes no new requests any more, according to this instance.
func (st *targetState) draining() bool { return st.leaving || st.absent || st.target.Draining() }

// closed reports whether the target takes no new requests, because it is draining or its failure domain is evacuated.
func (st *targetState) closed() bool { return st.evacuated || st.draining() }

// unavailable reports whether the target takes no requests now, either because it is closed to them or because it backs off.
func (st *targetState) unavailable(now time.Time) bool {
	return st.closed() || now.Before(st.backOffUntil)
}
