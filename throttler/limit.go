package throttler

import (
	"time"

	"lovagebank/balancer"
)

// lapseMargin is how much newer than the limit in force a peer's report of a lapse has to be. The age of a notice does
// not include its time on the way, so a delayed notice looks newer than it is; a limit that is wrongly taken for lapsed
// is exceeded.
const lapseMargin = 300 * time.Millisecond

// noticeTime is how long a change of a limit is reported to peers: a few of the intervals at which the instances of a large fleet
// exchange updates. An instance that has not received a limit learns it from the first answer that it gets from the target.
const noticeTime = 15 * time.Second

// Limit is the rate limit of a target.
type Limit struct {
	// Rate is the number of requests a second that the target takes from all instances together.
	Rate float64
	// Lapsed is set if the target has named a limit before and names none any more. Rate is then the last one.
	Lapsed bool
	// SeenAt is when an instance received the newest answer that says so.
	SeenAt time.Time
}

// sameTerms reports whether two limits allow the same.
func (li Limit) sameTerms(other Limit) bool {
	return li.Lapsed == other.Lapsed && (li.Lapsed || li.Rate == other.Rate)
}

// Notice is what an instance reports of a target: its rate limit, whose SeenAt is zero if the target has named none,
// and how much longer it stays cold.
type Notice struct {
	Target   balancer.Start
	Limit    Limit
	ColdLeft time.Duration
}

// Named records that a target has just named a rate limit in an answer. It reports whether that changes the limit.
func (th *Throttler) Named(ts balancer.Start, rate float64) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	return th.set(ts, Limit{Rate: rate, SeenAt: time.Now()})
}

// Unnamed records that a target has just named no rate limit in its answer to a request that was sent at the given time. It
// reports whether that ends a limit. An answer to a request sent before the limit was last seen may be older than the limit.
func (th *Throttler) Unnamed(ts balancer.Start, sentAt time.Time) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	st := th.state(ts)
	if st == nil || st.limit.Lapsed || !sentAt.After(st.limit.SeenAt) {
		return false
	}
	return th.set(ts, Limit{Rate: st.limit.Rate, Lapsed: true, SeenAt: time.Now()})
}

// Merge applies a peer's notice and reports whether it changes the limit. The newest report applies.
func (th *Throttler) Merge(no Notice) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	return th.merge(no)
}

func (th *Throttler) merge(no Notice) bool {
	if no.ColdLeft > 0 {
		th.prolongCold(no.Target, no.ColdLeft, unknownRevision)
	}
	if no.Limit.SeenAt.IsZero() {
		return false
	}
	if st := th.state(no.Target); st != nil {
		newer := no.Limit.SeenAt.Sub(st.limit.SeenAt)
		if newer <= 0 || no.Limit.Lapsed && !st.limit.Lapsed && newer < lapseMargin {
			return false
		}
	} else if no.Limit.Lapsed {
		return false
	}
	return th.set(no.Target, no.Limit)
}

// set replaces the limit of a target and reports whether its terms change. A limit of an earlier start is dropped.
func (th *Throttler) set(ts balancer.Start, li Limit) bool {
	now := time.Now()
	st, ok := th.targets[ts.Target]
	if ok && st.started.After(ts.Started) {
		return false
	}
	if !ok || !st.started.Equal(ts.Started) {
		th.add(ts, li, now)
		return true
	}
	changed := !st.limit.sameTerms(li)
	if changed {
		st.grants.refill(holderRate(st.limit), now)
		st.changedAt = now
	}
	st.limit = li
	return changed
}

// add adds the state of a start of a target and drops that of an earlier one.
func (th *Throttler) add(ts balancer.Start, li Limit, now time.Time) *targetState {
	st := &targetState{started: ts.Started, limit: li, changedAt: now, decidedAt: now, grants: bucket{at: now}}
	th.targets[ts.Target] = st
	return st
}

// Limit returns the rate limit that a target has in force; false if it has none.
func (th *Throttler) Limit(ts balancer.Start) (Limit, bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	st := th.state(ts)
	if st == nil || st.limit.Lapsed {
		return Limit{}, false
	}
	return st.limit, true
}

// Notices returns what to report to peers: the limits that have changed within noticeTime, and the cold times of which
// peers have to be notified. It deletes the state of targets whose limits and cold times ended more than lapseRetention
// ago.
func (th *Throttler) Notices() []Notice {
	th.mu.Lock()
	defer th.mu.Unlock()
	var notices []Notice
	for target, st := range th.targets {
		age := time.Since(st.changedAt)
		if st.limit.Lapsed && min(age, time.Since(st.cold.until), time.Since(st.askedUntil)) > lapseRetention {
			delete(th.targets, target)
			continue
		}
		no := st.notice(balancer.Start{Target: target, Started: st.started})
		if !st.cold.notifyPeers {
			no.ColdLeft = 0
		}
		if age <= noticeTime && !st.limit.SeenAt.IsZero() || no.ColdLeft > 0 {
			notices = append(notices, no)
		}
	}
	return notices
}

// notice returns what is known of a start of a target.
func (st *targetState) notice(ts balancer.Start) Notice {
	return Notice{Target: ts, Limit: st.limit, ColdLeft: max(time.Until(st.cold.until), 0)}
}
