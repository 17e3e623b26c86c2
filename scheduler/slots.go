package scheduler

import (
	"errors"
	"time"

	"lovagebank/invoker"
)

const (
	// idleBeforeEviction is the minimum time between the end of an adapter's last request and its eviction, because the
	// target's own count of running requests may lag the last byte of the answer.
	idleBeforeEviction = 50 * time.Millisecond

	firstLoadBackoff = time.Second
	maxLoadBackoff   = time.Minute
	// standardRotateFactor is how many times as long as an urgent request a standard one waits before a rotation.
	standardRotateFactor = 4
	// starvedRotateFactor is how many times as long a request waits before a rotation may also close an adapter of less
	// served organisations.
	starvedRotateFactor = 4
)

// mayOrder reports whether load and unload orders may be sent.
func (st *state) mayOrder(now time.Time) bool {
	return st.lease.held && !st.draining && now.Add(orderMargin).Before(st.lease.until) && st.reports.seen && !st.reports.lost()
}

// orderLoads orders loads of adapters with queued requests, and evicts idle adapters if the loads need slots.
func (st *state) orderLoads(now time.Time) {
	if !st.mayOrder(now) {
		return
	}
	free, freeing := st.slotCounts()
	closing := st.closingCount()
	skipped := map[*adapter]bool{}
	for {
		ad := st.nextToLoad(now, skipped)
		if ad == nil {
			break
		}
		skipped[ad] = true
		switch {
		case free > 0:
			if !st.options.LoadBudget.acquire(now, ad.urgent()) {
				return
			}
			free--
			st.orderLoad(ad, now)
		case freeing > 0:
			freeing--
		case now.Before(st.lease.evictFrom):
			return
		case st.evictLowestDemand(now):
		case closing > 0:
			closing--
		case !st.rotate(ad, now):
			return
		}
	}
	if closing > 0 {
		st.reopen()
	}
}

// reopen lets all closing adapters accept new requests again, once their slots are no longer needed.
func (st *state) reopen() {
	for _, ad := range st.adapters {
		ad.closing = false
	}
}

// slotCounts returns the number of free slots and of slots whose adapter is being unloaded.
func (st *state) slotCounts() (free, freeing int) {
	free = st.slots
	for _, ad := range st.adapters {
		if ad.status != statusAbsent {
			free--
		}
		if ad.status == statusUnloading {
			freeing++
		}
	}
	return free, freeing
}

// needsLoad reports whether requests wait for an adapter that is absent and not loading.
func (st *state) needsLoad() bool {
	for _, ad := range st.adapters {
		if ad.status == statusAbsent && len(ad.waiting) > 0 {
			return true
		}
	}
	return false
}

// nextToLoad returns the adapter to load next, or nil: the adapter whose first waiting request comes first by the order
// of precedes. Adapters in skipped are left out.
func (st *state) nextToLoad(now time.Time, skipped map[*adapter]bool) *adapter {
	var best *adapter
	var bestItem *item
	for _, ad := range st.adapters {
		if ad.status != statusAbsent || ad.orderPending || len(ad.waiting) == 0 || now.Before(ad.retryAt) || skipped[ad] {
			continue
		}
		if it := st.firstWaiting(ad); bestItem == nil || st.precedes(it, bestItem) {
			best, bestItem = ad, it
		}
	}
	return best
}

// firstWaiting returns the waiting request of an adapter that comes first by the order of precedes.
func (st *state) firstWaiting(ad *adapter) *item {
	first := ad.waiting[0]
	for _, it := range ad.waiting[1:] {
		if st.precedes(it, first) {
			first = it
		}
	}
	return first
}

// precedes reports whether request a comes before b: the more urgent lane first, then the less served organisation,
// then the earlier arrival, then by model name.
func (st *state) precedes(a, b *item) bool {
	if a.lane != b.lane {
		return a.lane < b.lane
	}
	served := func(it *item) float64 { return st.lanes[it.lane].backlogs[it.rq.Organisation()].virtualTime }
	if servedA, servedB := served(a), served(b); servedA != servedB {
		return servedA < servedB
	}
	if by := a.arrivedAt.Compare(b.arrivedAt); by != 0 {
		return by < 0
	}
	return a.model < b.model
}

// urgent reports whether an urgent request waits for the adapter.
func (ad *adapter) urgent() bool {
	for _, it := range ad.waiting {
		if it.lane == laneUrgent {
			return true
		}
	}
	return false
}

func (st *state) orderLoad(ad *adapter, now time.Time) {
	ad.status, ad.changedAt, ad.orderPending = statusLoading, now, true
	st.actions = append(st.actions, action{kind: actionLoad, model: ad.model, fencing: st.lease.fencing})
}

// evictLowestDemand orders the unload of the idle adapter with the lowest demand. It returns false if none is idle.
func (st *state) evictLowestDemand(now time.Time) bool {
	victim := st.lowestDemandIdle(now)
	if victim == nil {
		return false
	}
	victim.status, victim.changedAt, victim.orderPending = statusUnloading, now, true
	st.actions = append(st.actions, action{kind: actionUnload, model: victim.model, fencing: st.lease.fencing})
	return true
}

func (st *state) lowestDemandIdle(now time.Time) *adapter {
	var victim *adapter
	var least float64
	for _, ad := range st.adapters {
		if !ad.idle(now) {
			continue
		}
		demand := ad.decayedDemand(now, st.options.DemandHalfLife)
		if victim == nil || demand < least || (demand == least && ad.model < victim.model) {
			victim, least = ad, demand
		}
	}
	return victim
}

// rotate closes an adapter in use, so that its slot becomes free for an adapter whose requests have waited long. Queued
// and new requests for the closed adapter are refused as not run and go to other targets; running requests finish.
// Adapters whose requests come from organisations that were served more are closed first. Half of the slots stay open.
// It returns false if no adapter may be closed.
func (st *state) rotate(needed *adapter, now time.Time) bool {
	it := st.firstWaiting(needed)
	maxWait := st.options.RotateAfter
	switch it.lane {
	case laneDeferrable:
		return false
	case laneStandard:
		maxWait *= standardRotateFactor
	}
	waited := now.Sub(it.arrivedAt)
	if waited < maxWait || st.closingCount() >= max(st.slots/2, 1) {
		return false
	}
	var choice *adapter
	least := 0
	for _, ad := range st.adapters {
		if ad.status != statusLoaded || ad.closing {
			continue
		}
		if waited < starvedRotateFactor*maxWait && !st.precedesWaiting(ad, it) {
			continue
		}
		if pending := len(ad.waiting) + ad.running; choice == nil || pending < least ||
			(pending == least && ad.model < choice.model) {
			choice, least = ad, pending
		}
	}
	if choice == nil {
		return false
	}
	choice.closing = true
	for len(choice.waiting) > 0 {
		it := choice.waiting[0]
		st.dequeue(it)
		st.refuse(it, refuseClosing())
	}
	return true
}

// closingCount returns the number of adapters that are closed to new requests.
func (st *state) closingCount() int {
	count := 0
	for _, ad := range st.adapters {
		if ad.closing {
			count++
		}
	}
	return count
}

// precedesWaiting reports whether a request comes before all requests that wait for an adapter.
func (st *state) precedesWaiting(ad *adapter, it *item) bool {
	return len(ad.waiting) == 0 || st.precedes(it, st.firstWaiting(ad))
}

func (st *state) loadDone(model string, err error, now time.Time) {
	ad := st.ensureAdapter(model)
	ad.orderPending = false
	took := now.Sub(ad.changedAt)
	switch {
	case err == nil:
		st.estimates.recordLoad(took)
		st.setLoaded(ad, now)
	case errors.Is(err, invoker.ErrAlreadyLoaded):
		// The adapter may still be loading; the next load report gives its status.
		st.actions = append(st.actions, action{kind: actionPoll})
	case errors.Is(err, invoker.ErrOutdatedFencing):
		st.lease.refusedFencing, st.lease.held = st.lease.fencing, false
		st.setAbsent(ad, now)
	case errors.Is(err, invoker.ErrNoSlot):
		st.setAbsent(ad, now)
		ad.retryAt = now.Add(slotRetryInterval)
		st.actions = append(st.actions, action{kind: actionPoll})
	default:
		st.loadFailed(ad, now)
	}
}

// loadFailed refuses the adapter's waiting requests as not run, so that they go to another target, and delays the next
// load with exponential backoff.
func (st *state) loadFailed(ad *adapter, now time.Time) {
	backoff := min(firstLoadBackoff<<min(ad.loadFailures, 10), maxLoadBackoff)
	ad.loadFailures++
	ad.retryAt = now.Add(backoff)
	st.setAbsent(ad, now)
	for len(ad.waiting) > 0 {
		it := ad.waiting[0]
		st.dequeue(it)
		st.refuse(it, refuseLoadFailed(backoff))
	}
	st.actions = append(st.actions, action{kind: actionPoll})
}

func (st *state) unloadDone(model string, err error, now time.Time) {
	ad := st.ensureAdapter(model)
	ad.orderPending = false
	switch {
	case err == nil || errors.Is(err, invoker.ErrNotLoaded):
		st.setAbsent(ad, now)
	case errors.Is(err, invoker.ErrOutdatedFencing):
		st.lease.refusedFencing, st.lease.held = st.lease.fencing, false
		st.setLoaded(ad, now)
	default:
		// Whether the order took effect is unknown; the next load report gives the status.
		ad.changedAt = now
		st.actions = append(st.actions, action{kind: actionPoll})
	}
}
