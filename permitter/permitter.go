// Package permitter keeps brittle targets from having to turn requests away: one that says it is brittle ends if it turns more than a few away
// in a second, from all instances together. The target's holder, the only place that all instances ask, gives a permit for each
// request, as many at the same time as the target has slots, or fewer where it turns requests away all the same. The package performs no I/O.
package permitter

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"lovagebank/balancer"
)

const (
	// permitLifetime is how long a permit counts that is not given back: longer than requests last.
	permitLifetime = 15 * time.Second
	// grantLifetime is how long after it was asked for a permit may be used.
	grantLifetime = 250 * time.Millisecond
	// deniedWait is how long an instance leaves a target alone whose holder has no permit left, and rejectedWait after the target itself
	// has turned a request away that its holder was not asked about.
	deniedWait   = 15 * time.Millisecond
	rejectedWait = 500 * time.Millisecond
	// raiseInterval is the time after which one request more is allowed at the same time, for each request that the target may turn away
	// in a second, and maxRaiseInterval that for targets that may turn none away. Until the next word one or two requests too many are sent, so
	// it uses half of what they bear.
	raiseInterval    = 2 * time.Second
	maxRaiseInterval = 10 * time.Second
	// ownShareLoad is the share of a target's slots below which an instance sends without its holder's word, and ownShareAge the greatest age
	// of the load that it goes by.
	ownShareLoad = 0.5
	ownShareAge  = time.Second
)

// Notice is the state that an instance has of a brittle target.
type Notice struct {
	Target balancer.Start
	// Most is the number of requests that the target may turn away in a second.
	Most int
	// SeenAt is when the target last said so in an answer.
	SeenAt time.Time
	// Slots is the number of requests that the target runs at the same time.
	Slots int
}

// Permit is a holder's permission to send one request to a target.
type Permit struct {
	Target balancer.Start
	// Number identifies the permit at the holder; 0 stands for none.
	Number int64
}

// Decision is whether a request may be sent to a target now.
type Decision struct {
	Admitted bool
	// Wait is when the target may be tried again if not.
	Wait time.Duration
	// Most is what the target has named; Brittle is false if it has named nothing.
	Most    int
	Brittle bool
	// Asked reports whether the holder decided, and Permit is what it gave.
	Asked  bool
	Permit Permit
}

// Options configures a Permitter.
type Options struct {
	// Ask asks the holder of a target whether this instance may send it a request now. An error means that the holder is not known, did not
	// answer, or is no holder now.
	Ask func(ctx context.Context, no Notice) (Permit, error)
	// GiveBack tells the holder of a target that a request with a permit has ended, and whether the target turned it away.
	GiveBack func(pe Permit, rejected bool)
	// Load returns the newest load of a target that this instance has, and when it was.
	Load func(target string) (load int, at time.Time)
}

// Permitter keeps which targets are brittle. It is safe for concurrent use.
type Permitter struct {
	op      Options
	mu      sync.Mutex
	targets map[string]*targetState
	// services holds what a target of each service last said. It applies to targets of the service that have said nothing yet, such as one
	// that has just started.
	services map[string]serviceState
	// lastPermit is the number of the newest permit.
	lastPermit int64
}

// targetState is what is known of one start of a target that has said that it is brittle.
type targetState struct {
	started time.Time
	most    int
	seenAt  time.Time
	lapsed  bool
	// permits are the permits given as its holder that are in use; limit is how many there may be, since changedAt.
	permits   map[int64]givenPermit
	limit     int
	changedAt time.Time
	// rejectedUntil is until when this instance leaves the target alone after a rejection.
	rejectedUntil time.Time
}

// serviceState is what a target of a service last said.
type serviceState struct {
	most    int
	seenAt  time.Time
	brittle bool
}

// givenPermit is a permit in use: when it was given, and how many were in use then, itself included.
type givenPermit struct {
	at    time.Time
	inUse int
}

// New returns a Permitter that has no brittle targets.
func New(op Options) *Permitter {
	// Permits of an earlier holder must not be taken for those of this one.
	return &Permitter{op: op, targets: make(map[string]*targetState), services: make(map[string]serviceState), lastPermit: rand.Int64N(math.MaxInt64 / 2)}
}

// Remove forgets a target that has been removed from the platform's list.
func (pm *Permitter) Remove(target string) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	delete(pm.targets, target)
}

// Named records that a target of a service has said in an answer that it is brittle, and reports whether this is new.
func (pm *Permitter) Named(ts balancer.Start, service string, most int) bool {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	pm.services[service] = serviceState{most: most, seenAt: time.Now(), brittle: true}
	return pm.named(ts, most, time.Now())
}

func (pm *Permitter) named(ts balancer.Start, most int, seenAt time.Time) bool {
	st, ok := pm.targets[ts.Target]
	if ok && (st.started.After(ts.Started) || st.started.Equal(ts.Started) && st.seenAt.After(seenAt)) {
		return false
	}
	if !ok || !st.started.Equal(ts.Started) {
		st = &targetState{started: ts.Started, lapsed: true, permits: make(map[int64]givenPermit)}
		pm.targets[ts.Target] = st
	}
	changed := st.lapsed || st.most != most
	st.most, st.seenAt, st.lapsed = most, seenAt, false
	return changed
}

// Unnamed records that a target of a service has not said that it is brittle in its answer to a request that was sent at the given time, and
// reports whether this is new.
func (pm *Permitter) Unnamed(ts balancer.Start, service string, sentAt time.Time) bool {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	if ss, ok := pm.services[service]; ok && sentAt.After(ss.seenAt) {
		delete(pm.services, service)
	}
	st := pm.state(ts)
	if st == nil || !sentAt.After(st.seenAt) {
		return false
	}
	st.lapsed = true
	return true
}

// hasSpoken reports whether a start of a target has said that it is brittle, or no longer.
func (pm *Permitter) hasSpoken(ts balancer.Start) bool {
	st, ok := pm.targets[ts.Target]
	return ok && st.started.Equal(ts.Started)
}

// state returns what is known of a start of a target that is brittle now; nil for any other.
func (pm *Permitter) state(ts balancer.Start) *targetState {
	st, ok := pm.targets[ts.Target]
	if !ok || !st.started.Equal(ts.Started) || st.lapsed {
		return nil
	}
	return st
}

// Acquire decides whether a request may be sent to a target of a service with the given number of slots now. It is called directly before the send, and
// Done when an admitted request has ended.
func (pm *Permitter) Acquire(ctx context.Context, ts balancer.Start, service string, slots int) Decision {
	no, left := pm.notice(ts, service, Notice{Target: ts, Slots: slots})
	de := Decision{Most: no.Most, Brittle: !no.SeenAt.IsZero()}
	switch {
	case !de.Brittle:
		de.Admitted = true
		return de
	case left > 0:
		de.Wait = left
		return de
	}
	began := time.Now()
	pe, err := pm.op.Ask(ctx, no)
	if err == nil && pe.Number != 0 && time.Since(began) > grantLifetime {
		pm.op.GiveBack(pe, false)
		err = context.DeadlineExceeded
	}
	if err != nil {
		de.Admitted, de.Wait = pm.roomForOwnShare(ts, slots), rejectedWait
		return de
	}
	de.Admitted, de.Asked, de.Permit, de.Wait = pe.Number != 0, true, pe, deniedWait
	return de
}

// Done ends what Acquire has admitted, and records whether the target has turned the request away for want of room.
func (pm *Permitter) Done(ts balancer.Start, de Decision, rejected bool) {
	if rejected && !de.Asked {
		pm.leaveAlone(ts)
	}
	if de.Permit.Number != 0 {
		pm.op.GiveBack(de.Permit, rejected)
	}
}

// leaveAlone leaves a target alone that has turned a request of this instance away.
func (pm *Permitter) leaveAlone(ts balancer.Start) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	if st := pm.state(ts); st != nil {
		st.rejectedUntil = time.Now().Add(rejectedWait)
	}
}

// notice completes a notice of a target by what it has named, without SeenAt if it is not brittle. It also returns for how long the target
// is to be left alone.
func (pm *Permitter) notice(ts balancer.Start, service string, no Notice) (Notice, time.Duration) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	if ss := pm.services[service]; ss.brittle && !pm.hasSpoken(ts) {
		pm.named(ts, ss.most, ss.seenAt)
	}
	st := pm.state(ts)
	if st == nil {
		return no, 0
	}
	no.Most, no.SeenAt = st.most, st.seenAt
	return no, time.Until(st.rejectedUntil)
}

// roomForOwnShare reports whether a target has so much room that an instance may send without its holder's word.
func (pm *Permitter) roomForOwnShare(ts balancer.Start, slots int) bool {
	load, at := pm.op.Load(ts.Target)
	return !at.IsZero() && time.Since(at) < ownShareAge && float64(load) < ownShareLoad*float64(slots)
}

// Grant gives a permit as the holder of a target, or one without a number if there is none left now. The caller makes sure that this instance
// is the holder.
func (pm *Permitter) Grant(no Notice) Permit {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	now := time.Now()
	pm.named(no.Target, no.Most, no.SeenAt)
	pe := Permit{Target: no.Target}
	st := pm.state(no.Target)
	if st == nil {
		st = &targetState{permits: make(map[int64]givenPermit), limit: math.MaxInt}
	}
	maps.DeleteFunc(st.permits, func(_ int64, gp givenPermit) bool { return now.Sub(gp.at) > permitLifetime })
	st.raise(no.Slots, now)
	if len(st.permits) >= st.limit {
		return pe
	}
	pm.lastPermit++
	pe.Number = pm.lastPermit
	st.permits[pe.Number] = givenPermit{at: now, inUse: len(st.permits) + 1}
	return pe
}

// raise allows one request more at the same time once in a while, up to the target's slots.
func (st *targetState) raise(slots int, now time.Time) {
	if st.changedAt.IsZero() {
		st.limit, st.changedAt = max(slots, 1), now
	}
	interval := maxRaiseInterval
	if st.most > 0 {
		interval = raiseInterval / time.Duration(st.most)
	}
	if st.limit < slots && now.Sub(st.changedAt) >= interval {
		st.limit, st.changedAt = st.limit+1, now
	}
}

// GivenBack records, as the holder of a target, that a request with a permit has ended, and whether the target turned it away: it has less room
// than was thought.
func (pm *Permitter) GivenBack(pe Permit, rejected bool) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	st := pm.state(pe.Target)
	if st == nil {
		return
	}
	if gp, ok := st.permits[pe.Number]; ok && rejected {
		st.limit, st.changedAt = min(st.limit, max(gp.inUse-1, 1)), time.Now()
	}
	delete(st.permits, pe.Number)
}
