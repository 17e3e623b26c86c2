package scheduler

import (
	"time"

	"lovagebank/requester"
)

// state holds the queue and the slots of one target and makes all decisions on them. It performs no I/O: it handles
// messages and returns actions.
type state struct {
	options   Options
	lanes     [laneCount]*lane
	adapters  map[string]*adapter
	estimates estimates
	actions   []action

	slots   int
	batch   int
	running int
	queued  int
	// runningSuspect is the running request that may have crashed a target, or nil.
	runningSuspect *item
	// queuedPerOrganisation is the number of queued requests by organisation.
	queuedPerOrganisation map[string]int

	lease        leaseState
	reports      reports
	draining     bool
	drainWaiters []chan struct{}
	nextScanAt   time.Time
}

// leaseState holds what is known of the holder lease.
type leaseState struct {
	fencing uint64
	until   time.Time
	held    bool
	// everHeld is set once the lease was held. A holder that lost the lease stops, whereas an instance that never held
	// it may serve a target without a holder.
	everHeld bool
	// evictFrom is the time from which adapters may be evicted.
	evictFrom time.Time
	// refusedFencing is the fencing number that the target refused as old.
	refusedFencing uint64
}

func newState(options Options, now time.Time) *state {
	st := &state{
		options:               options,
		adapters:              map[string]*adapter{},
		queuedPerOrganisation: map[string]int{},
		estimates:             newEstimates(),
		slots:                 max(int(options.Target.GetSlots()), 1),
		batch:                 max(int(options.Target.GetBatch()), 1),
		nextScanAt:            now,
	}
	for index := range st.lanes {
		st.lanes[index] = newLane()
	}
	return st
}

func (st *state) takeActions() []action {
	taken := st.actions
	st.actions = nil
	return taken
}

func (st *state) handle(ms message, now time.Time) {
	switch ms.kind {
	case messageArrived:
		st.admit(ms.item, now)
	case messageCancelled:
		if ms.item.state == itemQueued {
			st.dequeue(ms.item)
			st.refuse(ms.item, requester.Refuse(requester.CodeCancelled, "the request was cancelled in the queue", 0))
		}
	case messageConnectionLost:
		st.reports.awaited = reportsAfterConnectionLoss
		st.actions = append(st.actions, action{kind: actionPoll})
	case messageFinished:
		st.finish(ms, now)
	case messageLoaded:
		st.loadDone(ms.model, ms.err, now)
	case messageUnloaded:
		st.unloadDone(ms.model, ms.err, now)
	case messageReported:
		st.applyReport(ms.load, ms.err, now)
	case messageDrain:
		st.draining = true
		st.drainWaiters = append(st.drainWaiters, ms.drained)
		st.refuseAll(refuseWrongHolder())
	}
}

// setLease sets the current state of the lease. A fencing number that the target refused counts as not held.
func (st *state) setLease(fencing uint64, until time.Time, ok bool) {
	ls := &st.lease
	if ok && fencing == ls.refusedFencing && fencing != 0 {
		ok = false
	}
	if !ok {
		ls.held = false
		return
	}
	if !ls.held || fencing != ls.fencing {
		ls.evictFrom = time.Time{}
	}
	ls.fencing, ls.until, ls.held, ls.everHeld = fencing, until, true, true
}

// decide updates the state to the current time, and starts the requests and adapter loads that can start.
func (st *state) decide(now time.Time) {
	if st.lease.held && st.lease.evictFrom.IsZero() {
		st.beginLease(now.Add(st.options.EvictionDelay))
	}
	if !now.Before(st.lease.until) {
		st.lease.held = false
	}
	if st.stopped() {
		st.refuseAll(refuseWrongHolder())
	}
	if st.reports.lost() {
		st.refuseAll(refuseTargetLost())
	}
	if !st.lease.held && st.reports.seen {
		st.refuseAbsent()
	}
	if !now.Before(st.nextScanAt) {
		st.scanDeadlines(now)
	}
	st.startQueued(now)
	st.orderLoads(now)
	if st.running == 0 {
		for _, drained := range st.drainWaiters {
			st.actions = append(st.actions, action{kind: actionDrained, drained: drained})
		}
		st.drainWaiters = nil
	}
}

// beginLease starts the period of a new lease and allows evictions from the given time. Requests that the previous
// holder started may still run, and a load report does not distinguish them from this holder's own. No adapter
// therefore counts as idle until a report from after that time shows that nothing runs on it.
func (st *state) beginLease(evictFrom time.Time) {
	st.lease.evictFrom = evictFrom
	for _, ad := range st.adapters {
		if ad.status != statusAbsent {
			ad.uncertainSince = evictFrom
		}
	}
}

// stopped reports whether requests are refused, because the scheduler drains or another instance may be the holder.
func (st *state) stopped() bool {
	return st.draining || (st.lease.everHeld && !st.lease.held)
}

// startQueued starts queued requests while the target's batch has free capacity.
func (st *state) startQueued(now time.Time) {
	if st.stopped() || !st.reports.fresh(now, st.options.PollInterval, st.lease.held) {
		return
	}
	for st.running < st.batch && st.queued > 0 {
		it := st.nextItem()
		if it == nil {
			return
		}
		st.dequeue(it)
		st.lanes[it.lane].charge(it, now)
		ad := st.adapters[it.model]
		ad.running++
		st.running++
		it.state, it.startedAt = itemRunning, now
		if it.suspect {
			st.runningSuspect = it
		}
		st.actions = append(st.actions, action{kind: actionReply, item: it, decision: decision{
			fencing: st.lease.fencing, boot: st.reports.boot, queued: now.Sub(it.arrivedAt), loadWait: it.loadWait,
		}})
	}
}

func (st *state) nextItem() *item {
	for _, la := range st.lanes {
		if it := la.next(st.ready); it != nil {
			return it
		}
	}
	return nil
}

func (st *state) ready(it *item) bool {
	return st.adapters[it.model].status == statusLoaded && (!it.suspect || st.runningSuspect == nil)
}

// finish ends a request that was started.
func (st *state) finish(ms message, now time.Time) {
	it := ms.item
	if it.state != itemRunning {
		return
	}
	it.state = itemEnded
	st.running--
	if st.runningSuspect == it {
		st.runningSuspect = nil
	}
	rf := requester.AsRefusal(ms.err)
	if rf == nil {
		st.estimates.recordRun(it.rq, ms.usage, now.Sub(it.startedAt))
	}
	if rf == nil || ms.usage.GeneratedTokens() > 0 {
		st.lanes[it.lane].refund(it, float64(ms.usage.TotalTokens()))
	}
	ad := st.adapters[it.model]
	if ad == nil {
		return
	}
	ad.running--
	ad.idleSince = now
	if rf == nil {
		st.pruneAdapter(ad)
		return
	}
	// The target may still run a cancelled or interrupted request until a load report shows that it does not.
	ad.uncertainSince = latest(now, ad.uncertainSince)
	if rf.Code() == requester.CodeWrongAdapter {
		st.setAbsent(ad, now)
	}
	st.pruneAdapter(ad)
	st.actions = append(st.actions, action{kind: actionPoll})
}

func (st *state) refuse(it *item, rf *requester.Refusal) {
	it.state = itemEnded
	st.actions = append(st.actions, action{kind: actionReply, item: it, decision: decision{refusal: rf}})
}

func (st *state) refuseAll(rf *requester.Refusal) {
	if st.queued == 0 {
		return
	}
	for _, la := range st.lanes {
		for _, it := range la.waiting() {
			st.dequeue(it)
			st.refuse(it, rf)
		}
	}
}

// refuseAbsent refuses the requests whose adapter is absent, while this instance may not order its load.
func (st *state) refuseAbsent() {
	for _, la := range st.lanes {
		for _, it := range la.waiting() {
			if st.adapters[it.model].status == statusAbsent {
				st.dequeue(it)
				st.refuse(it, refuseNoHolder())
			}
		}
	}
}

// wakeAt returns when to call decide if no message arrives before.
func (st *state) wakeAt(now time.Time) time.Time {
	if st.queued == 0 {
		return now.Add(leaseCheckInterval)
	}
	at := st.nextScanAt
	if st.needsLoad() {
		at = earliest(at, now.Add(slotRetryInterval))
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
