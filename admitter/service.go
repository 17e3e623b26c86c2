package admitter

import (
	"math"
	"time"

	"lovagebank/counter"
)

const (
	// activeDemand is the decayed number of requests above which a class counts as active.
	activeDemand = 0.5
	// activeShare is the part of the recent work from which an organisation counts as active.
	activeShare = 0.005
	// overShareMargin is the factor by which an organisation may exceed its share, and shareDeviations the number of standard
	// deviations of a random arrival count that it may exceed it by as well.
	overShareMargin = 1.25
	shareDeviations = 2.0
	// minShare is the least share of an organisation, as a part of an even share.
	minShare = 0.3
	// longestLeftDecay is the factor by which each request of a class reduces its longestLeft.
	longestLeftDecay = 0.9995
	// guaranteedShare is the part of the admitted work that a class is guaranteed.
	guaranteedShare = 0.05
	// orderMargin is the admitted part of a more urgent class below which a less urgent class must not have a larger one, and
	// minOrderDemand the decayed number of requests from which that part is known well enough.
	orderMargin    = 0.97
	minOrderDemand = 4
	// minDrainTime and maxDrainTime bound the time over which the retries of refused callers are spread.
	minDrainTime = 300 * time.Millisecond
	maxDrainTime = 3 * time.Second
	// leftShare is the largest part of a caller's time left that its retry is delayed by, and earliestShare the shortest delay
	// as a part of the longest. A retry sooner than minRetryAfter finds the same load.
	leftShare     = 1.0 / 3
	earliestShare = 0.15
	minRetryAfter = 40 * time.Millisecond
	// minRetryTimeLeft is the time left from which a retry can still succeed.
	minRetryTimeLeft = 3 * minRetryAfter
)

// service holds the counts of one service.
type service struct {
	began time.Time
	// queues are the times to the answers by queue.
	queues        map[int]*answerTimes
	classes       map[int]*class
	organisations map[string]*organisation
	admittedWork  counter.Count
	admitted      counter.Count
	refused       counter.Count
}

// class holds the counts of the requests of one rank.
type class struct {
	objective time.Duration
	// longestLeft is the longest recent time left, which is that of first attempts. It decays, as callers' deadlines change.
	longestLeft time.Duration
	// offered and admitted count the requests of organisations within their share.
	offered  counter.Count
	admitted counter.Count
	work     counter.Count
}

// organisation holds the admitted work of one organisation: recent counts all of it, and usual only that admitted while targets
// are not saturated.
type organisation struct {
	recent counter.Count
	usual  counter.Count
}

func (ad *Admitter) service(name string, now time.Time) *service {
	sv, ok := ad.services[name]
	if !ok {
		sv = &service{
			began:   now,
			classes: make(map[int]*class), queues: make(map[int]*answerTimes), organisations: make(map[string]*organisation),
			admittedWork: counter.New(recentTime, now), admitted: counter.New(recentTime, now), refused: counter.New(recentTime, now),
		}
		ad.services[name] = sv
	}
	return sv
}

func (sv *service) class(rank int, now time.Time) *class {
	cl, ok := sv.classes[rank]
	if !ok {
		cl = &class{offered: counter.New(recentTime, now), admitted: counter.New(recentTime, now), work: counter.New(recentTime, now)}
		sv.classes[rank] = cl
	}
	return cl
}

func (sv *service) organisation(name string, now time.Time) *organisation {
	og, ok := sv.organisations[name]
	if !ok {
		og = &organisation{recent: counter.New(recentTime, now), usual: counter.New(usualTime, now)}
		sv.organisations[name] = og
	}
	return og
}

// record counts a request and the decision on it.
func (sv *service) record(rq Request, de Decision, now time.Time) {
	if de.reason == TooLarge {
		return
	}
	cl := sv.class(rq.Rank, now)
	cl.objective = rq.Objective
	cl.longestLeft = max(rq.TimeLeft, time.Duration(longestLeftDecay*float64(cl.longestLeft)))
	if !de.overShare {
		cl.offered.Add(1, now)
	}
	if !de.Admitted() {
		sv.refused.Add(1, now)
		return
	}
	if !de.overShare {
		cl.admitted.Add(1, now)
	}
	cl.work.Add(rq.Work, now)
	sv.admitted.Add(1, now)
	sv.admittedWork.Add(rq.Work, now)
	og := sv.organisation(rq.Organisation, now)
	og.recent.Add(rq.Work, now)
	if de.limit == 0 {
		og.usual.Add(rq.Work, now)
	}
}

// urgency returns the shortest objective of the active classes that are at least as urgent as a request, the number of active
// classes that are more urgent, and the number of all active classes with the request's own. A less urgent class thus never
// waits longer.
func (sv *service) urgency(rq Request, now time.Time) (objective time.Duration, position, classes int) {
	objective, classes = rq.Objective, 1
	for rank, cl := range sv.classes {
		if rank == rq.Rank || cl.offered.ValueAt(now) < activeDemand {
			continue
		}
		classes++
		if rank < rq.Rank {
			position++
			objective = min(objective, cl.objective)
		}
	}
	return objective, position, classes
}

// overShare reports whether an organisation's part of the recently admitted work clearly exceeds its usual part.
func (sv *service) overShare(name string, now time.Time) bool {
	og := sv.organisation(name, now)
	usual, active := 0.0, 0
	for _, other := range sv.organisations {
		usual += other.usual.ValueAt(now)
		if other.recent.ValueAt(now) > activeShare*sv.admittedWork.ValueAt(now) {
			active++
		}
	}
	recent, count := sv.admittedWork.ValueAt(now), sv.admitted.ValueAt(now)
	if active < 2 || usual <= 0 || count <= 0 {
		return false
	}
	share := max(og.usual.ValueAt(now)/usual, minShare/float64(active))
	entitled := share * recent
	return og.recent.ValueAt(now) > overShareMargin*entitled+shareDeviations*math.Sqrt(entitled*recent/count)
}

// admittedPart returns the part of a class's requests that was recently admitted; 1 if there are too few requests to tell.
func (cl *class) admittedPart(now time.Time) float64 {
	offered := cl.offered.ValueAt(now)
	if offered < minOrderDemand {
		return 1
	}
	return cl.admitted.ValueAt(now) / offered
}

// ahead reports whether a request's class is served better than a more urgent one.
func (sv *service) ahead(rq Request, now time.Time) bool {
	own := sv.class(rq.Rank, now).admittedPart(now)
	for rank, cl := range sv.classes {
		if part := cl.admittedPart(now); rank < rq.Rank && part < orderMargin && part < own {
			return true
		}
	}
	return false
}

// guaranteed reports whether a request's class has less than the share that it is guaranteed and is not served better than a
// more urgent one.
func (sv *service) guaranteed(rq Request, now time.Time) bool {
	return sv.class(rq.Rank, now).work.ValueAt(now) < guaranteedShare*sv.admittedWork.ValueAt(now) && !sv.ahead(rq, now)
}

// retryAfter returns a random time within which the excess drains, and within a third of the caller's time left; 0 if too
// little is left. A caller that is late in any case gains nothing by returning soon.
func (sv *service) retryAfter(de Decision, left time.Duration, random float64, now time.Time) time.Duration {
	if left < minRetryTimeLeft {
		return 0
	}
	wait := de.answer
	if de.late {
		wait = maxDrainTime
	}
	excess := 1 + sv.refused.ValueAt(now)/max(sv.admitted.ValueAt(now), 1)
	drain := min(max(time.Duration(float64(wait)*excess), minDrainTime), maxDrainTime)
	spread := min(drain, time.Duration(leftShare*float64(left)))
	return time.Duration((earliestShare + (1-earliestShare)*random) * float64(spread))
}
