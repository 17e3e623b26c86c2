package scheduler

import (
	"time"

	"lovagebank/requester"
)

const (
	// scanInterval is the maximum time between checks of the deadlines of all queued requests.
	scanInterval = 500 * time.Millisecond
	// dueMargin is how long before the last start that meets its deadline a request becomes urgent.
	dueMargin = 2 * time.Second
	// slotRetryInterval is the time between attempts to find a slot for an adapter.
	slotRetryInterval = 20 * time.Millisecond

	minRetryAfter = time.Second
)

// admit queues a request, or refuses it at once if it can't be served here in time.
func (st *state) admit(it *item, now time.Time) {
	it.lane = laneOf(it.rq.Urgency())
	it.suspect = it.rq.Attempt() > 0 || st.options.IsSuspect(it.rq.Fingerprint())
	if rf := st.checkAdmission(it, now); rf != nil {
		st.refuse(it, rf)
		return
	}
	st.enqueue(it, now)
	ad := st.ensureAdapter(it.model)
	ad.waiting = append(ad.waiting, it)
	ad.addDemand(now, st.options.DemandHalfLife)
	if ad.status != statusLoaded {
		it.loadWaitSince = now
	}
	if it.lane != laneUrgent {
		st.nextScanAt = earliest(st.nextScanAt, now.Add(scanInterval))
	}
	if !it.rq.Deadline().IsZero() {
		st.nextScanAt = earliest(st.nextScanAt, it.rq.Deadline().Add(-st.estimates.runTime(it.rq)))
	}
}

// checkAdmission returns the refusal of a request that can't be queued, or nil. It may displace another queued request.
func (st *state) checkAdmission(it *item, now time.Time) *requester.Refusal {
	switch {
	case st.stopped():
		return refuseWrongHolder()
	case st.reports.lost():
		return refuseTargetLost()
	}
	if rf := st.checkAdapterAdmission(it, now); rf != nil {
		return rf
	}
	wait, run := st.estimateWait(it, now), st.estimates.runTime(it.rq)
	if expired(it, run, now) {
		return requester.Refuse(requester.CodeDeadline, "the request takes longer than its deadline allows", 0)
	}
	if expired(it, run+wait, now) {
		return requester.Refuse(requester.CodeQueueFull, "the queue is too long for the request's deadline",
			max(now.Add(wait+run).Sub(it.rq.Deadline()), minRetryAfter))
	}
	if st.queuedPerOrganisation[it.rq.Organisation()] >= st.options.MaxQueuePerOrganisation {
		return refuseQueueFull(wait)
	}
	if st.queued < st.options.MaxQueue || st.displaceLongest(it, wait) {
		return nil
	}
	return refuseQueueFull(wait)
}

// checkAdapterAdmission returns the refusal of a request whose adapter can't be served here, or nil.
func (st *state) checkAdapterAdmission(it *item, now time.Time) *requester.Refusal {
	ad := st.adapters[it.model]
	resident := ad != nil && ad.status == statusLoaded
	switch {
	case resident && ad.closing:
		return refuseClosing()
	case resident:
		return nil
	case ad != nil && now.Before(ad.retryAt):
		return refuseLoadFailed(ad.retryAt.Sub(now))
	case !st.lease.held && st.reports.seen:
		return refuseNoHolder()
	default:
		return nil
	}
}

// estimateWait estimates the time that a request spends in the queue. A less urgent request starts after all more
// urgent work, but no later than if it were urgent itself.
func (st *state) estimateWait(it *item, now time.Time) time.Duration {
	slotWait := 0.0
	if ad := st.adapters[it.model]; ad == nil || ad.status == statusAbsent {
		slotWait = st.estimates.slotWait
	}
	if st.running+st.queued < st.batch || !st.estimates.measured {
		return seconds(slotWait)
	}
	ahead, own := 0.0, 0.0
	for index := laneUrgent; index < it.lane; index++ {
		ahead += st.estimateLaneWork(index)
		own += st.estimateShareWork(it, index)
	}
	own += st.estimateShareWork(it, it.lane)
	afterUrgent := ahead + st.estimateShareWork(it, it.lane)
	measured := 0.0
	if bl := st.lanes[it.lane].backlogs[it.rq.Organisation()]; bl != nil && it.lane == laneUrgent {
		measured = bl.measuredWait(now)
	}
	return seconds(max(min(afterUrgent, own)/float64(st.batch), slotWait, measured))
}

func (st *state) estimateLaneWork(index laneIndex) float64 {
	sum := 0.0
	for _, bl := range st.lanes[index].backlogs {
		sum += st.estimateWork(bl.items)
	}
	return sum
}

// estimateShareWork returns the work in a lane, in seconds, that the target does until the organisation's own work
// there is done, given the organisation's weighted share.
func (st *state) estimateShareWork(it *item, index laneIndex) float64 {
	own, weights := 0.0, it.rq.Weight()
	for _, bl := range st.lanes[index].backlogs {
		switch {
		case bl.organisation == it.rq.Organisation():
			own = st.estimateWork(bl.items)
		case len(bl.items) > 0:
			weights += bl.weight
		}
	}
	return own * weights / it.rq.Weight()
}

// estimateWork returns the sum of the estimated run times, in seconds. For a long queue it extrapolates the mean of the
// first requests.
func (st *state) estimateWork(items []*item) float64 {
	const sample = 16
	if len(items) == 0 {
		return 0
	}
	sum, counted := 0.0, min(len(items), sample)
	for _, it := range items[:counted] {
		sum += st.estimates.runTime(it.rq).Seconds()
	}
	return sum * float64(len(items)) / float64(counted)
}

// displaceLongest makes room in a full queue for a request of an organisation with a short queue: it refuses the last
// request of the organisation whose queue is longest in relation to its weight. It reports whether it made room.
func (st *state) displaceLongest(it *item, wait time.Duration) bool {
	var longest *backlog
	for _, la := range st.lanes {
		for _, bl := range la.backlogs {
			if longest == nil || bl.weightedLength() > longest.weightedLength() {
				longest = bl
			}
		}
	}
	own := float64(st.queuedPerOrganisation[it.rq.Organisation()]+1) / it.rq.Weight()
	if longest == nil || longest.weightedLength() <= own {
		return false
	}
	last := longest.items[len(longest.items)-1]
	st.dequeue(last)
	st.refuse(last, refuseQueueFull(wait))
	return true
}

func (bl *backlog) weightedLength() float64 {
	if len(bl.items) == 0 {
		return 0
	}
	return float64(len(bl.items)) / bl.weight
}

func (st *state) enqueue(it *item, now time.Time) {
	it.state = itemQueued
	st.lanes[it.lane].push(it, now)
	st.queued++
	st.queuedPerOrganisation[it.rq.Organisation()]++
}

// dequeue removes a request from its lane and from its adapter's waiting requests.
func (st *state) dequeue(it *item) {
	st.lanes[it.lane].remove(it)
	st.queued--
	name := it.rq.Organisation()
	if st.queuedPerOrganisation[name]--; st.queuedPerOrganisation[name] == 0 {
		delete(st.queuedPerOrganisation, name)
	}
	if ad := st.adapters[it.model]; ad != nil {
		ad.removeWaiting(it)
		st.pruneAdapter(ad)
	}
}

// scanDeadlines refuses queued requests that can no longer meet their deadlines, and moves those that must start now to
// the urgent lane.
func (st *state) scanDeadlines(now time.Time) {
	next := now.Add(scanInterval)
	for index, la := range st.lanes {
		ahead := 0.0
		for _, it := range la.waiting() {
			run := st.estimates.runTime(it.rq)
			if expired(it, run, now) {
				if st.adapters[it.model].status == statusAbsent {
					st.estimates.recordSlotWait(now.Sub(it.arrivedAt))
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
	st.nextScanAt = next
}

// isDue reports whether a request that needs the given time must start now to meet its deadline.
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

func refuseNoHolder() *requester.Refusal {
	return requester.Refuse(requester.CodeNoTarget, "the target has no holder to load the adapter", minRetryAfter)
}

func refuseClosing() *requester.Refusal {
	return requester.Refuse(requester.CodeNoTarget, "the adapter's slot is needed for others here", minRetryAfter)
}

func refuseQueueFull(wait time.Duration) *requester.Refusal {
	return requester.Refuse(requester.CodeQueueFull, "the target's queue is full", max(wait, minRetryAfter))
}

func refuseTargetLost() *requester.Refusal {
	return requester.Refuse(requester.CodeTargetLost, "the target doesn't answer", minRetryAfter)
}

func refuseLoadFailed(wait time.Duration) *requester.Refusal {
	return requester.Refuse(requester.CodeLoadFailed, "the adapter could not be loaded", max(wait, minRetryAfter))
}
