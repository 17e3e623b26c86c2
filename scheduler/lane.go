package scheduler

import (
	"math"
	"slices"
	"time"

	"lovagebank/requester"
)

// laneIndex is an urgency class of the queue. Requests in a lower lane start first.
type laneIndex int

const (
	laneUrgent laneIndex = iota
	laneStandard
	laneDeferrable
	laneCount
)

func laneOf(ur requester.Urgency) laneIndex {
	switch ur {
	case requester.UrgencyInteractive:
		return laneUrgent
	case requester.UrgencyDeferrable:
		return laneDeferrable
	default:
		return laneStandard
	}
}

// backlog holds one organisation's waiting requests in a lane, earliest deadline first.
type backlog struct {
	organisation string
	weight       float64
	items        []*item
	// virtualTime is the weighted cost of the organisation's started requests, on the scale of the lane's virtual time.
	virtualTime float64
	// backloggedSince is when the organisation last had no waiting request. starts is the count of its started requests
	// as of startsAt, decaying with the time constant startRateTime.
	backloggedSince time.Time
	starts          float64
	startsAt        time.Time
}

// startRateTime is the time constant of an organisation's rate of starts.
const startRateTime = 5 * time.Second

// countStart adds one start to the decaying count.
func (bl *backlog) countStart(now time.Time) {
	bl.starts = bl.starts*math.Exp(-now.Sub(bl.startsAt).Seconds()/startRateTime.Seconds()) + 1
	bl.startsAt = now
}

// measuredWait returns the time in seconds that the waiting requests take at the organisation's rate of starts. It is
// zero until requests have been waiting for startRateTime, which a measurement needs.
func (bl *backlog) measuredWait(now time.Time) float64 {
	if len(bl.items) == 0 || now.Sub(bl.backloggedSince) < startRateTime {
		return 0
	}
	starts := bl.starts * math.Exp(-now.Sub(bl.startsAt).Seconds()/startRateTime.Seconds())
	return float64(len(bl.items)) * startRateTime.Seconds() / max(starts, 1)
}

// lane shares the target between organisations by start-time fair queueing over the weighted cost of requests.
type lane struct {
	backlogs    map[string]*backlog
	virtualTime float64
	queued      int
}

// pruneThreshold is the number of organisations from which a lane deletes those without waiting requests that are no
// longer ahead of its virtual time.
const pruneThreshold = 64

func newLane() *lane { return &lane{backlogs: map[string]*backlog{}} }

func (la *lane) push(it *item, now time.Time) {
	name := it.rq.Organisation()
	bl := la.backlogs[name]
	if bl == nil {
		la.pruneIdle()
		bl = &backlog{organisation: name}
		la.backlogs[name] = bl
	}
	bl.weight = it.rq.Weight()
	if len(bl.items) == 0 {
		bl.virtualTime = max(bl.virtualTime, la.virtualTime)
		bl.backloggedSince = now
	}
	at, _ := slices.BinarySearchFunc(bl.items, it, compareDeadline)
	for at < len(bl.items) && compareDeadline(bl.items[at], it) == 0 {
		at++
	}
	bl.items = slices.Insert(bl.items, at, it)
	la.queued++
}

func compareDeadline(a, b *item) int {
	return a.rq.Deadline().Compare(b.rq.Deadline())
}

func (la *lane) remove(it *item) {
	bl := la.backlogs[it.rq.Organisation()]
	if bl == nil {
		return
	}
	if at := slices.Index(bl.items, it); at >= 0 {
		bl.items = slices.Delete(bl.items, at, at+1)
		la.queued--
	}
}

// next returns the request to start, or nil: the ready request with the earliest deadline of the least-served
// organisation that has one.
func (la *lane) next(ready func(*item) bool) *item {
	var best *item
	var bestBacklog *backlog
	for _, bl := range la.backlogs {
		if bestBacklog != nil && !bl.before(bestBacklog) {
			continue
		}
		if at := slices.IndexFunc(bl.items, ready); at >= 0 {
			best, bestBacklog = bl.items[at], bl
		}
	}
	return best
}

// before reports whether a backlog comes before another: by virtual time, then by name so that the choice does not
// depend on map order.
func (bl *backlog) before(other *backlog) bool {
	if bl.virtualTime != other.virtualTime {
		return bl.virtualTime < other.virtualTime
	}
	return bl.organisation < other.organisation
}

// charge adds the cost of a started request to its organisation's virtual time.
func (la *lane) charge(it *item, now time.Time) {
	bl := la.backlogs[it.rq.Organisation()]
	bl.countStart(now)
	la.virtualTime = max(la.virtualTime, bl.virtualTime)
	bl.virtualTime += it.cost() / bl.weight
}

// refund takes back the part of a request's charge that exceeds the tokens used.
func (la *lane) refund(it *item, used float64) {
	if bl := la.backlogs[it.rq.Organisation()]; bl != nil {
		bl.virtualTime -= max(it.cost()-used, 0) / bl.weight
	}
}

func (la *lane) pruneIdle() {
	if len(la.backlogs) < pruneThreshold {
		return
	}
	for name, bl := range la.backlogs {
		if len(bl.items) == 0 && bl.virtualTime <= la.virtualTime {
			delete(la.backlogs, name)
		}
	}
}

// waiting returns the lane's waiting requests, earliest deadline first.
func (la *lane) waiting() []*item {
	all := make([]*item, 0, la.queued)
	for _, bl := range la.backlogs {
		all = append(all, bl.items...)
	}
	slices.SortFunc(all, func(a, b *item) int {
		if by := compareDeadline(a, b); by != 0 {
			return by
		}
		return a.arrivedAt.Compare(b.arrivedAt)
	})
	return all
}

// expired reports whether a request that takes the time run can no longer end by its deadline.
func expired(it *item, run time.Duration, now time.Time) bool {
	return !it.rq.Deadline().IsZero() && now.Add(run).After(it.rq.Deadline())
}
