// Package admitter implements admission control: while targets are saturated, it refuses some requests at once so that the
// admitted ones are answered in time. Requests of the least urgent class and of organisations over their share are refused
// first. It performs no I/O. Instances decide alike without communication, because they observe the same targets.
package admitter

import (
	"sync"
	"time"

	"lovagebank/balancer"
)

const (
	// recentTime is the time constant of the counts of recently admitted requests, and usualTime that of an organisation's
	// usual share.
	recentTime = 4 * time.Second
	usualTime  = time.Minute
	// lowLoad is the share of the candidates' slots below which nothing is refused while nothing waits.
	lowLoad = 0.5
	// saturatedShare is the share of the candidates' slots from which they count as saturated. Below it, an apparent queue at
	// the best candidate comes from outdated load reports, and a retry would encounter the same.
	saturatedShare = 0.7
	// freshTime is the age up to which a report of a free slot at the best candidate is relied on.
	freshTime = 250 * time.Millisecond
	// emptyShare is the part of the limit below which the expected time to the answer indicates an almost empty queue.
	emptyShare = 0.35
	// deadlineMargin is the factor by which the expected time to the answer has to exceed the time left before a request is
	// refused for its deadline. The estimate is rough, and a late answer is worth more than a refusal.
	deadlineMargin = 1.25
	// A request is admitted for certain while the expected time to the answer is less than certainShare of its limit, and
	// refused for certain from refusedShare of it. With a single threshold, all instances would start and stop admitting
	// together, as they observe queues with a delay.
	certainShare = 0.7
	refusedShare = 1.1
	// leastUrgentLimit is the limit of the least urgent class, as a part of the objective; overShareLimit is a further factor for
	// organisations over their share, and lateLimit for requests that would be late in any case.
	leastUrgentLimit = 0.5
	overShareLimit   = 0.5
	lateLimit        = 0.4
	// defaultObjectiveShare is the objective of a route without one, as a share of the time left.
	defaultObjectiveShare = 0.5
)

// Options configures an Admitter.
type Options struct {
	// Random returns a number in [0, 1).
	Random func() float64
}

// Admitter decides on requests. It is safe for concurrent use.
type Admitter struct {
	op       Options
	mu       sync.Mutex
	services map[string]*service
}

// New returns an Admitter without counts.
func New(op Options) *Admitter { return &Admitter{op: op, services: make(map[string]*service)} }

// Request is a request that has arrived, with its best candidate.
type Request struct {
	Service      string
	Organisation string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Work is the request's work in tokens; 1 for a request without tokens.
	Work float64
	// TimeLeft is the time to the request's deadline, and Objective the route's objective; 0 for none.
	TimeLeft  time.Duration
	Objective time.Duration
	// Queue is the rank by which the target runs waiting requests; 0 if it runs them in order.
	Queue int
	// Load is how busy the best candidate and the others are.
	Load balancer.Occupancy
}

// Reason is why a request was refused; empty if it was admitted.
type Reason string

// The reasons for a refusal.
const (
	// TooLarge means that the request fits into the memory of no target.
	TooLarge Reason = "too-large"
	// Deadline means that the best candidate would not run the request before its deadline.
	Deadline Reason = "deadline"
	// Memory means that no target has memory left for the request.
	Memory Reason = "memory"
	// Late means that the request would miss its objective.
	Late Reason = "late"
	// LessUrgent means that the request would delay more urgent ones.
	LessUrgent Reason = "less-urgent"
	// OverShare means that the request's organisation has more than its share.
	OverShare Reason = "over-share"
)

// Decision is the result of Decide.
type Decision struct {
	reason     Reason
	retryAfter time.Duration
	// answer is the expected time to the answer, and limit the limit of it.
	answer    time.Duration
	limit     time.Duration
	overShare bool
	// late is set if the request is expected to miss its objective even if it is admitted now.
	late       bool
	guaranteed bool
}

// Admitted reports whether the request may go on.
func (de Decision) Admitted() bool { return de.reason == "" }

// Reason returns why the request was refused.
func (de Decision) Reason() Reason { return de.reason }

// RetryAfter returns the time after which a refused caller may retry; 0 if a retry is useless.
func (de Decision) RetryAfter() time.Duration { return de.retryAfter }

// Answer returns the expected time to the answer; 0 if it is not known.
func (de Decision) Answer() time.Duration { return de.answer }

// Limit returns the limit of the expected time to the answer; 0 if the targets were not saturated.
func (de Decision) Limit() time.Duration { return de.limit }

// OverShare reports whether the request's organisation is over its share.
func (de Decision) OverShare() bool { return de.overShare }

// Guaranteed reports whether the request was admitted by the share that its class is guaranteed.
func (de Decision) Guaranteed() bool { return de.guaranteed }

// Decide admits a request or refuses it, and counts the decision.
func (ad *Admitter) Decide(rq Request) Decision {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := time.Now()
	sv := ad.service(rq.Service, now)
	if rq.Objective <= 0 {
		rq.Objective = time.Duration(defaultObjectiveShare * float64(rq.TimeLeft))
	}
	rq.Work = max(rq.Work, 1)
	de := sv.evaluate(rq, ad.op.Random, now)
	sv.record(rq, de, now)
	if !de.Admitted() && de.reason != TooLarge {
		de.retryAfter = sv.retryAfter(de, rq.TimeLeft, ad.op.Random(), now)
	}
	return de
}

// evaluate decides on a request without counting it.
func (sv *service) evaluate(rq Request, random func() float64, now time.Time) Decision {
	oc := rq.Load
	if !oc.Fits {
		return Decision{reason: TooLarge}
	}
	if oc.Taken < lowLoad && !oc.Queued {
		return Decision{}
	}
	de := Decision{answer: sv.expectedAnswer(rq.Queue, now)}
	switch {
	case !oc.Room:
		de.reason = Memory
		return de
	case oc.Taken < saturatedShare, oc.Age < freshTime && oc.Requests+1 <= float64(oc.Slots):
		return de
	case de.answer.Seconds() > deadlineMargin*rq.TimeLeft.Seconds():
		de.reason = Deadline
		return de
	}
	de.overShare = sv.overShare(rq.Organisation, now)
	reason := sv.setLimit(&de, rq, now)
	ratio := de.answer.Seconds() / de.limit.Seconds()
	if ratio > certainShare+(refusedShare-certainShare)*random() {
		de.reason = reason
	}
	if de.Admitted() && ratio > emptyShare && sv.ahead(rq, now) {
		de.reason = LessUrgent
	}
	if !de.Admitted() && !de.overShare && sv.guaranteed(rq, now) {
		de.reason, de.guaranteed = "", true
	}
	return de
}

// setLimit sets the limit of the expected time to the answer, and returns the reason for a refusal beyond it.
func (sv *service) setLimit(de *Decision, rq Request, now time.Time) Reason {
	objective, position, classes := sv.urgency(rq, now)
	limit, reason := objective.Seconds(), Late
	if position > 0 {
		limit *= 1 - (1-leastUrgentLimit)*float64(position)/float64(classes-1)
		reason = LessUrgent
	}
	if sv.elapsed(rq, now)+de.answer > rq.Objective {
		limit *= lateLimit
		de.late = true
		reason = Late
	}
	if de.overShare {
		limit *= overShareLimit
		reason = OverShare
	}
	de.limit = time.Duration(limit * float64(time.Second))
	return reason
}

// elapsed returns the estimated time since the first attempt of a request's caller: how much less time it has left than the
// longest recent one of its class.
func (sv *service) elapsed(rq Request, now time.Time) time.Duration {
	return max(sv.class(rq.Rank, now).longestLeft-rq.TimeLeft, 0)
}
