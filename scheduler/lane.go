package scheduler

import (
	"math"
	"slices"
	"time"

	"lovagebank/requester"
)

// laneIndex is a class of urgency in the queue; a lower lane goes first.
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

// backlog is one organisation's waiting requests in a lane, earliest deadline first.
type backlog struct {
	organisation string
	weight       float64
	items        []*item
	// virtual is the weighted cost that the organisation was served, in the lane's virtual time.
	virtual float64
	// since is when the organisation last had nothing waiting; starts counts its starts, decaying over rateTime.
	since    time.Time
	starts   float64
	startsAt time.Time
}

// rateTime is the time constant of an organisation's rate of starts.
const rateTime = 5 * time.Second

// started counts a start.
func (bl *backlog) started(now time.Time) {
	bl.starts = bl.starts*math.Exp(-now.Sub(bl.startsAt).Seconds()/rateTime.Seconds()) + 1
	bl.startsAt = now
}

// measuredWait returns the seconds that the waiting requests take at the organisation's rate of starts; zero when it
// did not wait for long enough to know.
func (bl *backlog) measuredWait(now time.Time) float64 {
	if len(bl.items) == 0 || now.Sub(bl.since) < rateTime {
		return 0
	}
	starts := bl.starts * math.Exp(-now.Sub(bl.startsAt).Seconds()/rateTime.Seconds())
	return float64(len(bl.items)) * rateTime.Seconds() / max(starts, 1)
}

// lane shares the target between organisations by start-time fair queueing over weighted cost.
type lane struct {
	backlogs map[string]*backlog
	virtual  float64
	queued   int
}

// idleBacklogs is the number of organisations without waiting requests from which a lane forgets those that are no
// longer ahead of its virtual time.
const idleBacklogs = 64

func newLane() *lane { return &lane{backlogs: map[string]*backlog{}} }

func (la *lane) push(it *item, now time.Time) {
	name := it.rq.Organisation()
	bl := la.backlogs[name]
	if bl == nil {
		la.forgetIdle()
		bl = &backlog{organisation: name}
		la.backlogs[name] = bl
	}
	bl.weight = it.rq.Weight()
	if len(bl.items) == 0 {
		bl.virtual = max(bl.virtual, la.virtual)
		bl.since = now
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

// next returns the request to start: of the least-served organisation that has a ready one, the one with the earliest
// deadline.
func (la *lane) next(ready func(*item) bool) *item {
	var best *item
	var of *backlog
	for _, bl := range la.backlogs {
		if of != nil && !bl.before(of) {
			continue
		}
		if at := slices.IndexFunc(bl.items, ready); at >= 0 {
			best, of = bl.items[at], bl
		}
	}
	return best
}

// before orders backlogs by service, then by name so that the choice doesn't depend on map order.
func (bl *backlog) before(other *backlog) bool {
	if bl.virtual != other.virtual {
		return bl.virtual < other.virtual
	}
	return bl.organisation < other.organisation
}

// charge counts a started request as service.
func (la *lane) charge(it *item, now time.Time) {
	bl := la.backlogs[it.rq.Organisation()]
	bl.started(now)
	la.virtual = max(la.virtual, bl.virtual)
	bl.virtual += it.cost() / bl.weight
}

// settle corrects a charge to what was used.
func (la *lane) settle(it *item, used float64) {
	if bl := la.backlogs[it.rq.Organisation()]; bl != nil {
		bl.virtual -= max(it.cost()-used, 0) / bl.weight
	}
}

func (la *lane) forgetIdle() {
	if len(la.backlogs) < idleBacklogs {
		return
	}
	for name, bl := range la.backlogs {
		if len(bl.items) == 0 && bl.virtual <= la.virtual {
			delete(la.backlogs, name)
		}
	}
}

// waiting returns the lane's requests, earliest deadline first.
func (la *lane) waiting() []*item {
	all := make([]*item, 0, la.queued)
	for _, bl := range la.backlogs {
		all = append(all, bl.items...)
	}
	slices.SortFunc(all, func(a, b *item) int {
		if by := compareDeadline(a, b); by != 0 {
			return by
		}
		return a.arrived.Compare(b.arrived)
	})
	return all
}

// expired tells whether a request can no longer be done by its deadline.
func expired(it *item, run time.Duration, now time.Time) bool {
	return !it.rq.Deadline().IsZero() && now.Add(run).After(it.rq.Deadline())
}
