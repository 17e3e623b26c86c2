package scheduler

import (
	"time"

	"lovagebank/requester"
)

// state decides for one target. It makes no calls: it takes messages and leaves actions.
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
	// suspected is the running request that may have crashed a target.
	suspected *item
	// perOrganisation counts queued requests.
	perOrganisation map[string]int

	hold     hold
	reports  reports
	draining bool
	idle     []chan struct{}
	scanAt   time.Time
}

// hold is what the state knows of the holder lease.
type hold struct {
	fencing uint64
	until   time.Time
	held    bool
	// ever tells that the lease was held before; a holder that lost it stops, where an instance that never held it
	// may serve a target without a holder.
	ever bool
	// settled is when evictions may begin.
	settled time.Time
	// refused is the fencing number that the target called old.
	refused uint64
}

func newState(options Options, now time.Time) *state {
	st := &state{
		options:         options,
		adapters:        map[string]*adapter{},
		perOrganisation: map[string]int{},
		estimates:       newEstimates(),
		slots:           max(int(options.Target.GetSlots()), 1),
		batch:           max(int(options.Target.GetBatch()), 1),
		scanAt:          now,
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

func (st *state) take(ms message, now time.Time) {
	switch ms.kind {
	case messageArrived:
		st.arrive(ms.item, now)
	case messageCancelled:
		if ms.item.state == itemQueued {
			st.dequeue(ms.item)
			st.refuse(ms.item, requester.Refuse(requester.CodeCancelled, "the request was cancelled in the queue", 0))
		}
	case messageDoubted:
		st.reports.doubts = doubtedReports
		st.actions = append(st.actions, action{kind: actionPoll})
	case messageFinished:
		st.finish(ms, now)
	case messageLoaded:
		st.loadDone(ms.model, ms.err, now)
	case messageUnloaded:
		st.unloadDone(ms.model, ms.err, now)
	case messageReported:
		st.reported(ms.load, ms.err, now)
	case messageDrain:
		st.draining = true
		st.idle = append(st.idle, ms.idle)
		st.refuseAll(refuseWrongHolder())
	}
}

// setHold takes what the lease says now.
func (st *state) setHold(fencing uint64, until time.Time, ok bool) {
	ho := &st.hold
	if ok && fencing == ho.refused && fencing != 0 {
		ok = false
	}
	if !ok {
		ho.held = false
		return
	}
	if !ho.held || fencing != ho.fencing {
		ho.settled = time.Time{}
	}
	ho.fencing, ho.until, ho.held, ho.ever = fencing, until, true, true
}

// decide brings the state up to date with the time, and starts what can start.
func (st *state) decide(now time.Time) {
	if st.hold.held && st.hold.settled.IsZero() {
		st.settle(now.Add(st.options.EvictionDelay))
	}
	if !now.Before(st.hold.until) {
		st.hold.held = false
	}
	if st.stopped() {
		st.refuseAll(refuseWrongHolder())
	}
	if st.reports.lost() {
		st.refuseAll(refuseLost())
	}
	if !st.hold.held && st.reports.seen {
		st.refuseAbsent()
	}
	if !now.Before(st.scanAt) {
		st.scan(now)
	}
	st.start(now)
	st.orderLoads(now)
	if st.running == 0 {
		for _, idle := range st.idle {
			st.actions = append(st.actions, action{kind: actionIdle, idle: idle})
		}
		st.idle = nil
	}
}

// settle begins a hold. Requests that the holder before started may still run, and beside this holder's own a report
// doesn't tell them apart: no adapter counts as idle until a report of after that time shows that nothing runs on it.
func (st *state) settle(at time.Time) {
	st.hold.settled = at
	for _, ad := range st.adapters {
		if ad.status != statusAbsent {
			ad.unsureSince = at
		}
	}
}

// stopped tells that requests are refused: another instance may be the holder.
func (st *state) stopped() bool {
	return st.draining || (st.hold.ever && !st.hold.held)
}

// start sends queued requests to the target while its batch has room.
func (st *state) start(now time.Time) {
	if st.stopped() || !st.reports.fresh(now, st.options.PollInterval, st.hold.held) {
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
		it.state, it.started = itemRunning, now
		if it.suspect {
			st.suspected = it
		}
		st.actions = append(st.actions, action{kind: actionAnswer, item: it, verdict: verdict{
			fencing: st.hold.fencing, boot: st.reports.boot, queued: now.Sub(it.arrived), loadWait: it.loadWait,
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
	return st.adapters[it.model].status == statusLoaded && (!it.suspect || st.suspected == nil)
}

// finish ends a request that was started.
func (st *state) finish(ms message, now time.Time) {
	it := ms.item
	if it.state != itemRunning {
		return
	}
	it.state = itemEnded
	st.running--
	if st.suspected == it {
		st.suspected = nil
	}
	rf := requester.AsRefusal(ms.err)
	if rf == nil {
		st.estimates.finished(it.rq, ms.usage, now.Sub(it.started))
	}
	if rf == nil || ms.usage.GeneratedTokens() > 0 {
		st.lanes[it.lane].settle(it, float64(ms.usage.TotalTokens()))
	}
	ad := st.adapters[it.model]
	if ad == nil {
		return
	}
	ad.running--
	ad.idleSince = now
	if rf == nil {
		st.forget(ad)
		return
	}
	// The target may still run what was cancelled or cut off, until a report says otherwise.
	ad.unsureSince = latest(now, ad.unsureSince)
	if rf.Code() == requester.CodeWrongAdapter {
		st.setAbsent(ad, now)
	}
	st.forget(ad)
	st.actions = append(st.actions, action{kind: actionPoll})
}

func (st *state) refuse(it *item, rf *requester.Refusal) {
	it.state = itemEnded
	st.actions = append(st.actions, action{kind: actionAnswer, item: it, verdict: verdict{refusal: rf}})
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

// refuseAbsent refuses the requests whose adapter is not there, while nobody here may order its load.
func (st *state) refuseAbsent() {
	for _, la := range st.lanes {
		for _, it := range la.waiting() {
			if st.adapters[it.model].status == statusAbsent {
				st.dequeue(it)
				st.refuse(it, refuseUnheld())
			}
		}
	}
}

// wakeAt returns when decide is to be called if no message comes before.
func (st *state) wakeAt(now time.Time) time.Time {
	if st.queued == 0 {
		return now.Add(holdCheckInterval)
	}
	at := st.scanAt
	if st.wanting() {
		at = earliest(at, now.Add(wantedCheckInterval))
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
