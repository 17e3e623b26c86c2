package scheduler

import (
	"time"

	"lovagebank/requester"
)

const (
	// scanInterval is the longest time between looks at the deadlines of all queued requests.
	scanInterval = 500 * time.Millisecond
	// dueMargin is kept free between a request's latest start and the start that its deadline demands.
	dueMargin = 2 * time.Second
	// wantedCheckInterval is the time between tries to find a slot for an adapter.
	wantedCheckInterval = 20 * time.Millisecond

	minRetryAfter = time.Second
)

// arrive queues a request, or refuses it at once where it can't be served here in time.
func (st *state) arrive(it *item, now time.Time) {
	it.lane = laneOf(it.rq.Urgency())
	it.suspect = it.rq.Attempt() > 0 || st.options.IsSuspect(it.rq.Fingerprint())
	if rf := st.admission(it, now); rf != nil {
		st.refuse(it, rf)
		return
	}
	st.enqueue(it, now)
	ad := st.adapter(it.model)
	ad.waiting = append(ad.waiting, it)
	ad.addDemand(now, st.options.DemandHalfLife)
	if ad.status != statusLoaded {
		it.loadWaitFrom = now
	}
	if it.lane != laneUrgent {
		st.scanAt = earliest(st.scanAt, now.Add(scanInterval))
	}
	if !it.rq.Deadline().IsZero() {
		st.scanAt = earliest(st.scanAt, it.rq.Deadline().Add(-st.estimates.run(it.rq)))
	}
}

// admission returns why a request is not queued; nil when it is.
func (st *state) admission(it *item, now time.Time) *requester.Refusal {
	switch {
	case st.stopped():
		return refuseWrongHolder()
	case st.reports.lost():
		return refuseLost()
	}
	if rf := st.slotAdmission(it, now); rf != nil {
		return rf
	}
	wait, run := st.wait(it, now), st.estimates.run(it.rq)
	if expired(it, run, now) {
		return requester.Refuse(requester.CodeDeadline, "the request takes longer than its deadline allows", 0)
	}
	if expired(it, run+wait, now) {
		return requester.Refuse(requester.CodeQueueFull, "the queue is too long for the request's deadline",
			max(now.Add(wait+run).Sub(it.rq.Deadline()), minRetryAfter))
	}
	if st.perOrganisation[it.rq.Organisation()] >= st.options.MaxQueuePerOrganisation {
		return refuseFull(wait)
	}
	if st.queued < st.options.MaxQueue || st.pushOut(it, wait) {
		return nil
	}
	return refuseFull(wait)
}

// slotAdmission returns why a request's adapter can't be served here; nil when it can.
func (st *state) slotAdmission(it *item, now time.Time) *requester.Refusal {
	ad := st.adapters[it.model]
	resident := ad != nil && ad.status == statusLoaded
	switch {
	case resident && ad.closing:
		return refuseClosing()
	case resident:
		return nil
	case ad != nil && now.Before(ad.retryAt):
		return refuseLoadFailed(ad.retryAt.Sub(now))
	case !st.hold.held && st.reports.seen:
		return refuseUnheld()
	default:
		return nil
	}
}

// wait estimates the time in the queue. A less urgent request goes after all more urgent work, but not later than when
// it becomes urgent itself.
func (st *state) wait(it *item, now time.Time) time.Duration {
	slotWait := 0.0
	if ad := st.adapters[it.model]; ad == nil || ad.status == statusAbsent {
		slotWait = st.estimates.slotWait
	}
	if st.running+st.queued < st.batch || !st.estimates.known {
		return seconds(slotWait)
	}
	ahead, own := 0.0, 0.0
	for index := laneUrgent; index < it.lane; index++ {
		ahead += st.laneWork(index)
		own += st.shareWork(it, index)
	}
	own += st.shareWork(it, it.lane)
	inTurn := ahead + st.shareWork(it, it.lane)
	measured := 0.0
	if bl := st.lanes[it.lane].backlogs[it.rq.Organisation()]; bl != nil && it.lane == laneUrgent {
		measured = bl.measuredWait(now)
	}
	return seconds(max(min(inTurn, own)/float64(st.batch), slotWait, measured))
}

func (st *state) laneWork(index laneIndex) float64 {
	sum := 0.0
	for _, bl := range st.lanes[index].backlogs {
		sum += st.work(bl.items)
	}
	return sum
}

// shareWork returns the work in a lane that is done before the organisation's own there is, at its share.
func (st *state) shareWork(it *item, index laneIndex) float64 {
	own, weights := 0.0, it.rq.Weight()
	for _, bl := range st.lanes[index].backlogs {
		switch {
		case bl.organisation == it.rq.Organisation():
			own = st.work(bl.items)
		case len(bl.items) > 0:
			weights += bl.weight
		}
	}
	return own * weights / it.rq.Weight()
}

// work sums the estimated run times, in seconds. Long queues are judged by their mean.
func (st *state) work(items []*item) float64 {
	const sample = 16
	if len(items) == 0 {
		return 0
	}
	sum, counted := 0.0, min(len(items), sample)
	for _, it := range items[:counted] {
		sum += st.estimates.run(it.rq).Seconds()
	}
	return sum * float64(len(items)) / float64(counted)
}

// pushOut makes room for a request of an organisation with a short queue by refusing the last request of the one with
// the longest queue by weight.
func (st *state) pushOut(it *item, wait time.Duration) bool {
	var longest *backlog
	for _, la := range st.lanes {
		for _, bl := range la.backlogs {
			if longest == nil || bl.length() > longest.length() {
				longest = bl
			}
		}
	}
	own := float64(st.perOrganisation[it.rq.Organisation()]+1) / it.rq.Weight()
	if longest == nil || longest.length() <= own {
		return false
	}
	last := longest.items[len(longest.items)-1]
	st.dequeue(last)
	st.refuse(last, refuseFull(wait))
	return true
}

func (bl *backlog) length() float64 {
	if len(bl.items) == 0 {
		return 0
	}
	return float64(len(bl.items)) / bl.weight
}

func (st *state) enqueue(it *item, now time.Time) {
	it.state = itemQueued
	st.lanes[it.lane].push(it, now)
	st.queued++
	st.perOrganisation[it.rq.Organisation()]++
}

// dequeue takes a request out of its lane and off its adapter.
func (st *state) dequeue(it *item) {
	st.lanes[it.lane].remove(it)
	st.queued--
	name := it.rq.Organisation()
	if st.perOrganisation[name]--; st.perOrganisation[name] == 0 {
		delete(st.perOrganisation, name)
	}
	if ad := st.adapters[it.model]; ad != nil {
		ad.removeWaiting(it)
		st.forget(ad)
	}
}

// scan refuses queued requests that can no longer be in time, and makes those urgent whose latest start has come.
func (st *state) scan(now time.Time) {
	next := now.Add(scanInterval)
	for index, la := range st.lanes {
		ahead := 0.0
		for _, it := range la.waiting() {
			run := st.estimates.run(it.rq)
			if expired(it, run, now) {
				if st.adapters[it.model].status == statusAbsent {
					st.estimates.waited(now.Sub(it.arrived))
				}
				st.dequeue(it)
				st.refuse(it, requester.Refuse(requester.CodeDeadline, "the request can't be done by its deadline any more",
					minRetryAfter))
				continue
			}
			if it.rq.Deadline().IsZero() {
				continue
			}
			next = earliest(next, it.rq.Deadline().Add(time.Millisecond-run))
			if laneIndex(index) == laneUrgent {
				continue
			}
			ahead += run.Seconds() / float64(st.batch)
			if st.isDue(it, run+seconds(ahead), now) {
				st.promote(it, now)
			}
		}
	}
	st.scanAt = next
}

// isDue tells whether a request must start now to be in time.
func (st *state) isDue(it *item, need time.Duration, now time.Time) bool {
	if st.adapters[it.model].status != statusLoaded {
		need += seconds(st.estimates.loadTime)
	}
	return !now.Add(need + dueMargin).Before(it.rq.Deadline())
}

func (st *state) promote(it *item, now time.Time) {
	st.lanes[it.lane].remove(it)
	it.lane = laneUrgent
	st.lanes[it.lane].push(it, now)
}

func refuseUnheld() *requester.Refusal {
	return requester.Refuse(requester.CodeNoTarget, "the target has no holder to load the adapter", minRetryAfter)
}

func refuseClosing() *requester.Refusal {
	return requester.Refuse(requester.CodeNoTarget, "the adapter's slot is needed for others here", minRetryAfter)
}

func refuseFull(wait time.Duration) *requester.Refusal {
	return requester.Refuse(requester.CodeQueueFull, "the target's queue is full", max(wait, minRetryAfter))
}

func refuseLost() *requester.Refusal {
	return requester.Refuse(requester.CodeTargetLost, "the target doesn't answer", minRetryAfter)
}

func refuseLoadFailed(wait time.Duration) *requester.Refusal {
	return requester.Refuse(requester.CodeLoadFailed, "the adapter could not be loaded", max(wait, minRetryAfter))
}
