package scheduler

import (
	"errors"
	"time"

	"lovagebank/invoker"
)

const (
	// evictLinger is the time between the end of an adapter's last request and its eviction; the target's own count
	// may lag the answer's last byte.
	evictLinger = 50 * time.Millisecond

	firstLoadBackoff = time.Second
	maxLoadBackoff   = time.Minute
	// standardRotateFactor is how much longer than an urgent request a standard one waits for a slot.
	standardRotateFactor = 4
	// starvedFactor is how many times as long a request waits before an adapter of less served organisations is closed.
	starvedFactor = 4
)

// mayOrder tells whether load and evict orders may be sent.
func (st *state) mayOrder(now time.Time) bool {
	return st.hold.held && !st.draining && now.Add(orderMargin).Before(st.hold.until) && st.reports.seen && !st.reports.lost()
}

// orderLoads starts loads for adapters with queued requests, and evicts idle adapters where the loads need slots.
func (st *state) orderLoads(now time.Time) {
	if !st.mayOrder(now) {
		return
	}
	free, freeing := st.slotCounts()
	closing := st.closing()
	skipped := map[*adapter]bool{}
	for {
		ad := st.mostWanted(now, skipped)
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
		case now.Before(st.hold.settled):
			return
		case st.evictColdest(now):
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

// reopen lets adapters take new requests again that no longer need to make room.
func (st *state) reopen() {
	for _, ad := range st.adapters {
		ad.closing = false
	}
}

// slotCounts returns the slots that are free, and those whose adapter is being unloaded.
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

// wanting tells whether requests wait for an adapter that is not on its way.
func (st *state) wanting() bool {
	for _, ad := range st.adapters {
		if ad.status == statusAbsent && len(ad.waiting) > 0 {
			return true
		}
	}
	return false
}

// mostWanted returns the adapter to load next: that of the most urgent lane, then of the least-served organisation,
// then of the request that waits longest.
func (st *state) mostWanted(now time.Time, skipped map[*adapter]bool) *adapter {
	var best *adapter
	var of *item
	for _, ad := range st.adapters {
		if ad.status != statusAbsent || ad.ordered || len(ad.waiting) == 0 || now.Before(ad.retryAt) || skipped[ad] {
			continue
		}
		if it := st.foremost(ad); of == nil || st.goesBefore(it, of) {
			best, of = ad, it
		}
	}
	return best
}

func (st *state) foremost(ad *adapter) *item {
	first := ad.waiting[0]
	for _, it := range ad.waiting[1:] {
		if st.goesBefore(it, first) {
			first = it
		}
	}
	return first
}

func (st *state) goesBefore(a, b *item) bool {
	if a.lane != b.lane {
		return a.lane < b.lane
	}
	served := func(it *item) float64 { return st.lanes[it.lane].backlogs[it.rq.Organisation()].virtual }
	if servedA, servedB := served(a), served(b); servedA != servedB {
		return servedA < servedB
	}
	if by := a.arrived.Compare(b.arrived); by != 0 {
		return by < 0
	}
	return a.model < b.model
}

// urgent tells whether an urgent request waits for the adapter.
func (ad *adapter) urgent() bool {
	for _, it := range ad.waiting {
		if it.lane == laneUrgent {
			return true
		}
	}
	return false
}

func (st *state) orderLoad(ad *adapter, now time.Time) {
	ad.status, ad.changed, ad.ordered = statusLoading, now, true
	st.actions = append(st.actions, action{kind: actionLoad, model: ad.model, fencing: st.hold.fencing})
}

// evictColdest unloads the idle adapter with the least demand; false where none is idle.
func (st *state) evictColdest(now time.Time) bool {
	victim := st.coldest(now)
	if victim == nil {
		return false
	}
	victim.status, victim.changed, victim.ordered = statusUnloading, now, true
	st.actions = append(st.actions, action{kind: actionUnload, model: victim.model, fencing: st.hold.fencing})
	return true
}

func (st *state) coldest(now time.Time) *adapter {
	var victim *adapter
	var least float64
	for _, ad := range st.adapters {
		if !ad.idle(now) {
			continue
		}
		demand := ad.demandNow(now, st.options.DemandHalfLife)
		if victim == nil || demand < least || (demand == least && ad.model < victim.model) {
			victim, least = ad, demand
		}
	}
	return victim
}

// rotate closes an adapter in use, so that its slot becomes free for one that has waited long. Its queued requests and new
// ones are refused as not run and go elsewhere; those that run finish. Adapters go first whose requests come from
// organisations that were served more. Half of the slots stay open.
func (st *state) rotate(wanted *adapter, now time.Time) bool {
	it := st.foremost(wanted)
	patience := st.options.RotateAfter
	switch it.lane {
	case laneDeferrable:
		return false
	case laneStandard:
		patience *= standardRotateFactor
	}
	waited := now.Sub(it.arrived)
	if waited < patience || st.closing() >= max(st.slots/2, 1) {
		return false
	}
	var choice *adapter
	least := 0
	for _, ad := range st.adapters {
		if ad.status != statusLoaded || ad.closing {
			continue
		}
		if waited < starvedFactor*patience && !st.servedMore(ad, it) {
			continue
		}
		if left := len(ad.waiting) + ad.running; choice == nil || left < least || (left == least && ad.model < choice.model) {
			choice, least = ad, left
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

// closing counts the adapters that make room.
func (st *state) closing() int {
	count := 0
	for _, ad := range st.adapters {
		if ad.closing {
			count++
		}
	}
	return count
}

// servedMore tells whether a request goes before all that wait for an adapter.
func (st *state) servedMore(ad *adapter, it *item) bool {
	return len(ad.waiting) == 0 || st.goesBefore(it, st.foremost(ad))
}

func (st *state) loadDone(model string, err error, now time.Time) {
	ad := st.adapter(model)
	ad.ordered = false
	took := now.Sub(ad.changed)
	switch {
	case err == nil:
		st.estimates.loaded(took)
		st.setLoaded(ad, now)
	case errors.Is(err, invoker.ErrAlreadyThere):
		// It may still be loading; the next report tells.
		st.actions = append(st.actions, action{kind: actionPoll})
	case errors.Is(err, invoker.ErrOldFencing):
		st.hold.refused, st.hold.held = st.hold.fencing, false
		st.setAbsent(ad, now)
	case errors.Is(err, invoker.ErrNoSlot):
		st.setAbsent(ad, now)
		ad.retryAt = now.Add(wantedCheckInterval)
		st.actions = append(st.actions, action{kind: actionPoll})
	default:
		st.loadFailed(ad, now)
	}
}

// loadFailed refuses the waiting requests as not run, so that they go to another target, and backs off.
func (st *state) loadFailed(ad *adapter, now time.Time) {
	backoff := min(firstLoadBackoff<<min(ad.failures, 10), maxLoadBackoff)
	ad.failures++
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
	ad := st.adapter(model)
	ad.ordered = false
	switch {
	case err == nil || errors.Is(err, invoker.ErrNotThere):
		st.setAbsent(ad, now)
	case errors.Is(err, invoker.ErrOldFencing):
		st.hold.refused, st.hold.held = st.hold.fencing, false
		st.setLoaded(ad, now)
	default:
		// Whether the order took effect is unknown; the next report tells.
		ad.changed = now
		st.actions = append(st.actions, action{kind: actionPoll})
	}
}
