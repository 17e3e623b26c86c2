package throttler

import (
	"math"
	"time"

	"lovagebank/balancer"
)

const (
	// coldWindow is the time within which a cold target tolerates a number of requests, counted on arrival.
	coldWindow = time.Second
	// maxColdTime limits how long a target counts as cold without a newer report. Cold starts take seconds.
	maxColdTime = 10 * time.Minute
	// coldMargin is how much later than the time known here a reported cold time has to end to replace it. Reports are
	// delayed on their way, so without a margin instances would keep prolonging the time for each other.
	coldMargin = 50 * time.Millisecond
	// unknownRevision is the revision of a cold time that comes from no entry or key. No entry is newer, so entries can
	// only prolong the time.
	unknownRevision = math.MaxInt64
)

// ColdRate returns the rate at which sends to a cold target may be granted so that at most bound requests reach it
// within one second. The sends that arrive within a second were granted in that second or up to a grantLifetime before
// it, by the holder and from the instances' own shares. What the holder's bucket held at the start is added; the bucket
// holds at least one send.
func ColdRate(bound float64) float64 {
	perRate := (coldWindow + grantLifetime).Seconds() * (1 + shareOfRate)
	return max(min(bound/(perRate+burstTime.Seconds()), (bound-1)/perRate), 0)
}

// coldTime is the time during which a target counts as cold.
type coldTime struct {
	// until is when it ends, and learnedAt when this instance learned of it.
	until     time.Time
	learnedAt time.Time
	// revision is the store's revision of the entry, or of the operator's key, that says so.
	revision int64
	// assumed is set if the time was set or prolonged because connections to the target failed. knownUntil is when it
	// would end without that assumption.
	assumed    bool
	knownUntil time.Time
	// notifyPeers is set if the target reported the time to this instance only, so that peers have to be notified.
	notifyPeers bool
}

// ColdEntry records that a target's entry, written at a revision of the store, says that it stays cold for a time from
// now on; 0 if it is not cold. It reports whether the target thereby becomes cold or ceases to be. An entry at an older
// revision than the known one can only prolong the time. Peers are not notified, as each instance reads the entries.
func (th *Throttler) ColdEntry(ts balancer.Start, left time.Duration, revision int64) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	now := time.Now()
	st := th.ensureState(ts, left, now)
	if st == nil || revision < st.cold.revision && !now.Add(left).After(st.cold.until) {
		return false
	}
	return st.setCold(coldTime{until: now.Add(min(left, maxColdTime)), learnedAt: now, revision: revision}, now)
}

// ColdAnswered records that a target said in its answer to a request that was sent at the given time that it stays cold
// for a time; 0 if it is not cold. It reports whether the target thereby becomes cold or ceases to be. An answer to a
// request sent before this instance learned the cold time can only prolong it.
func (th *Throttler) ColdAnswered(ts balancer.Start, left time.Duration, sentAt time.Time) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	now := time.Now()
	st := th.ensureState(ts, left, now)
	if st == nil || !sentAt.After(st.cold.learnedAt) && !now.Add(left).After(st.cold.until) {
		return false
	}
	return st.setCold(coldTime{
		until: now.Add(min(left, maxColdTime)), learnedAt: now, revision: unknownRevision, notifyPeers: true,
	}, now)
}

// AssumeCold records that a target may be cold for a time from now on: it has started again, or it had no requests
// during an evacuation that has been revoked. The revision is that of the entry or of the operator's key in the store.
// Revision 0 means that a connection to the target failed; entries can only prolong the time then. Peers are not
// notified, as each instance observes such events itself. It reports whether the target thereby becomes cold.
func (th *Throttler) AssumeCold(ts balancer.Start, left time.Duration, revision int64) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	return th.prolongCold(ts, left, revision)
}

// ForgiveFailures undoes what AssumeCold has recorded because of failed connections, for an instance that has lost its
// own path to all targets. It returns the targets whose cold times were restored.
func (th *Throttler) ForgiveFailures() []balancer.Start {
	th.mu.Lock()
	defer th.mu.Unlock()
	var forgiven []balancer.Start
	for target, st := range th.targets {
		if st.cold.assumed {
			st.cold.assumed, st.cold.until = false, st.cold.knownUntil
			forgiven = append(forgiven, balancer.Start{Target: target, Started: st.started})
		}
	}
	return forgiven
}

// prolongCold makes a target cold for a time, unless the known cold time ends later. It reports whether the target becomes cold.
func (th *Throttler) prolongCold(ts balancer.Start, left time.Duration, revision int64) bool {
	now := time.Now()
	st := th.ensureState(ts, left, now)
	left = min(left, maxColdTime)
	if st == nil || !now.Add(left-coldMargin).After(st.cold.until) {
		return false
	}
	ct := coldTime{
		until: now.Add(left), learnedAt: now, revision: revision,
		notifyPeers: st.cold.notifyPeers && now.Before(st.cold.until),
	}
	if revision == 0 {
		ct.revision, ct.assumed, ct.knownUntil = unknownRevision, true, st.cold.until
		if st.cold.assumed {
			ct.knownUntil = st.cold.knownUntil
		}
	}
	return st.setCold(ct, now)
}

// askedCold records that an instance which asks this one, the target's holder, for a grant considers the target cold.
// The holder then grants sends at the rate for cold targets, but does not consider the target cold itself: the
// connection may have failed only at the asking instance.
func (th *Throttler) askedCold(no Notice) {
	now := time.Now()
	st := th.ensureState(no.Target, no.ColdLeft, now)
	if st == nil || no.ColdLeft <= 0 {
		return
	}
	if !now.Before(st.cold.until) && !now.Before(st.askedUntil) && st.limit.Lapsed {
		st.grants = bucket{at: now}
	}
	if until := now.Add(min(no.ColdLeft, maxColdTime)); until.After(st.askedUntil) {
		st.askedUntil = until
	}
}

// ColdLeft returns how much longer a target counts as cold; 0 if it does not.
func (th *Throttler) ColdLeft(ts balancer.Start) time.Duration {
	th.mu.Lock()
	defer th.mu.Unlock()
	st := th.state(ts)
	if st == nil {
		return 0
	}
	return max(time.Until(st.cold.until), 0)
}

// ensureState returns the state of a start of a target, and adds it if the target is cold. It returns nil if the target
// has no state and is not cold, or if a later start is known.
func (th *Throttler) ensureState(ts balancer.Start, left time.Duration, now time.Time) *targetState {
	known, ok := th.targets[ts.Target]
	switch {
	case ok && known.started.Equal(ts.Started):
		return known
	case left <= 0 || ok && known.started.After(ts.Started):
		return nil
	}
	return th.add(ts, Limit{Lapsed: true}, now)
}

// setCold replaces the cold time of a target. It reports whether the target becomes cold or ceases to be. If no limit
// applied until now, sends that were not made before are not made up for.
func (st *targetState) setCold(ct coldTime, now time.Time) bool {
	was, is := now.Before(st.cold.until), now.Before(ct.until)
	if !was && is && st.limit.Lapsed {
		st.decidedAt = now
		if !now.Before(st.askedUntil) {
			st.grants = bucket{at: now}
		}
	}
	st.cold = ct
	return was != is
}

// inForce returns the limit that applies to a target: the lower one of the limit that the target has named and, until
// coldUntil, the rate for cold targets. cold reports whether the target is cold, and ok whether a limit applies.
func (th *Throttler) inForce(ts balancer.Start, st *targetState, coldUntil time.Time) (li Limit, cold, ok bool) {
	named := !st.limit.Lapsed
	if time.Now().Before(coldUntil) {
		rate, on := th.op.ColdRate(ts.Target)
		if on && (!named || rate < st.limit.Rate) {
			return Limit{Rate: rate, SeenAt: st.cold.learnedAt}, true, true
		}
		if on {
			return st.limit, true, true
		}
	}
	return st.limit, false, named
}
