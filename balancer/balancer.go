package balancer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstSuspicion is how long a target is avoided after one failed connection; it doubles with each further one.
	firstSuspicion = 400 * time.Millisecond
	// maxSuspicion bounds how long a target is avoided without a try.
	maxSuspicion = 4 * time.Second
	// leastHolderSilence is how old the word of a target's holder may be at least for the holder to count as able to load,
	// and missedTellings how many of its tellings may be missed.
	leastHolderSilence = 2 * time.Second
	missedTellings     = 2
	// failureWeight is the weight of one answer in a target's share of failures.
	failureWeight = 0.1
)

// Options set a Balancer up.
type Options struct {
	// FailureDomain is where the instance runs; targets there are preferred among equals.
	FailureDomain string
	// Interval returns the time between two tellings of a holder; nil for a small fleet.
	Interval func() time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// Balancer keeps beliefs about targets and chooses among them. It is safe for concurrent use.
type Balancer struct {
	op      Options
	mu      sync.Mutex
	states  map[string]*state
	service map[string][]*state
	demand  *demand
	// fleet is what holders tell of the demand for adapters.
	fleet *fleetDemand
}

// state is what is believed of one target.
type state struct {
	target *Target
	hash   uint64

	// adapters maps what the target holds to versions, by the word of its holder at heardAt.
	adapters map[Adapter]int64
	holder   string
	heardAt  time.Time
	// demand is the target's part of the fleet's demand, by the same word.
	demand map[Adapter]float64

	// load is the number of requests running and waiting as reported at loadAt, when inFlightThen of them were
	// the instance's own.
	load         int
	loadAt       time.Time
	inFlightThen int
	inFlight     int
	// unread is the number of prompt tokens sent for which no answer has begun.
	unread int
	// turnAt is when a prompt that asks now may have its turn, by the holder's last word.
	turnAt time.Time
	// overdue is the number of requests whose answer should have begun by now.
	overdue int

	// uses counts the instance's own requests by adapter, for the target's holder.
	uses map[Adapter]*Use
	// untoldSince is when the first request was sent of which the holder has not been told; zero if there is none.
	untoldSince time.Time

	failures     int
	suspectUntil time.Time
	// unreachable targets gave no connection at the last try; probes counts the requests that try them again.
	unreachable  bool
	probes       int
	failureShare float64

	// leaving targets have said in an answer that they take no new requests, and those before backOffUntil that they take
	// none until then.
	leaving      bool
	backOffUntil time.Time
}

// New makes a balancer that knows no targets.
func New(op Options) *Balancer {
	if op.Interval == nil {
		op.Interval = func() time.Duration { return 0 }
	}
	return &Balancer{
		op:      op,
		states:  make(map[string]*state),
		service: make(map[string][]*state),
		demand:  newDemand(),
		fleet:   newFleetDemand(),
	}
}

// SetTarget takes in an entry of the platform's list. What was believed of an earlier start of the target is dropped.
func (ba *Balancer) SetTarget(ta *Target) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, known := ba.states[ta.ID()]
	if known && st.target.SameStart(ta) {
		st.target = ta
		return
	}
	ba.remove(ta.ID())
	st = &state{
		target:   ta,
		hash:     xxhash.Sum64String(ta.ID()),
		adapters: make(map[Adapter]int64),
		uses:     make(map[Adapter]*Use),
	}
	for _, re := range ta.Residents() {
		st.hold(re)
	}
	ba.states[ta.ID()] = st
	ba.service[ta.Service()] = append(ba.service[ta.Service()], st)
}

func (st *state) hold(re Resident) {
	st.adapters[Adapter{Model: re.Model}] = re.Version
	for name, version := range re.Adapters {
		st.adapters[Adapter{Model: re.Model, Name: name}] = version
	}
}

// RemoveTarget forgets a target that has left the platform's list.
func (ba *Balancer) RemoveTarget(id string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.remove(id)
}

func (ba *Balancer) remove(id string) {
	st, ok := ba.states[id]
	if !ok {
		return
	}
	delete(ba.states, id)
	ba.fleet.change(st.demand, nil)
	peers := ba.service[st.target.Service()]
	for at, other := range peers {
		if other == st {
			ba.service[st.target.Service()] = append(peers[:at:at], peers[at+1:]...)
			return
		}
	}
}

// Target returns a known target.
func (ba *Balancer) Target(id string) (*Target, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[id]
	if !ok {
		return nil, false
	}
	return st.target, true
}

// All returns all targets known.
func (ba *Balancer) All() []*Target {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	all := make([]*Target, 0, len(ba.states))
	for _, st := range ba.states {
		all = append(all, st.target)
	}
	return all
}

// TargetCount returns the number of targets known.
func (ba *Balancer) TargetCount() int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return len(ba.states)
}
