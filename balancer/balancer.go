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
	// holderSilence is how old the word of a target's holder may be for the holder to count as able to load.
	holderSilence = 2 * time.Second
	// failureWeight is the weight of one answer in a target's share of failures.
	failureWeight = 0.1
)

// Options set a Balancer up.
type Options struct {
	// FailureDomain is where the instance runs; targets there are preferred among equals.
	FailureDomain string
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
}

// state is what is believed of one target.
type state struct {
	target *Target
	hash   uint64

	// adapters maps what the target holds to versions, by the word of its holder at heardAt.
	adapters map[Adapter]int64
	holder   string
	heardAt  time.Time

	// load is the number of requests running and waiting as reported at loadAt, when inFlightThen of them were
	// the instance's own.
	load         int
	loadAt       time.Time
	inFlightThen int
	inFlight     int
	// unread is the number of prompt tokens sent for which no answer has begun.
	unread int
	// overdue is the number of requests whose answer should have begun by now.
	overdue int

	// uses counts the instance's own requests by adapter, for the target's holder.
	uses map[Adapter]*Use

	failures     int
	suspectUntil time.Time
	// unreachable targets gave no connection at the last try; probes counts the requests that try them again.
	unreachable  bool
	probes       int
	failureShare float64
}

// New makes a balancer that knows no targets.
func New(op Options) *Balancer {
	return &Balancer{
		op:      op,
		states:  make(map[string]*state),
		service: make(map[string][]*state),
		demand:  newDemand(),
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

// Targets returns the number of targets known.
func (ba *Balancer) Targets() int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return len(ba.states)
}

// Holding is what a target's holder says of it.
type Holding struct {
	// Target is the target's ID.
	Target string
	// Holder is the instance that gives the target orders; empty where it may not give any now.
	Holder string
	// Adapters maps what the target holds, ready to run, to versions.
	Adapters map[Adapter]int64
	// Load is the number of requests running and waiting; LoadAge is how old that figure is.
	Load    int
	LoadAge time.Duration
}

// Heard takes in the word of a target's holder.
func (ba *Balancer) Heard(ho Holding) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ho.Target]
	if !ok {
		return
	}
	now := time.Now()
	st.holder, st.heardAt, st.adapters = ho.Holder, now, ho.Adapters
	if at := now.Add(-ho.LoadAge); at.After(st.loadAt) {
		st.load, st.loadAt, st.inFlightThen = ho.Load, at, st.inFlight
	}
}

// Lacks notes that a target has said that it does not hold an adapter.
func (ba *Balancer) Lacks(target string, ad Adapter) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		delete(st.adapters, ad)
	}
}

// Holds notes that a target has loaded an adapter.
func (ba *Balancer) Holds(target string, ad Adapter, version int64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.adapters[ad] = version
	}
}

// Reported takes in the load that a target named in an answer.
func (ba *Balancer) Reported(target string, load int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.load, st.loadAt, st.inFlightThen = load, time.Now(), st.inFlight
	}
}

// Failed notes that a target broke a connection, or that none could be opened to it.
func (ba *Balancer) Failed(target string, unreachable bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	wait := min(firstSuspicion<<min(st.failures, 8), maxSuspicion)
	st.failures++
	st.unreachable = unreachable
	st.suspectUntil = time.Now().Add(wait)
}

// Answered notes that a target answered, and whether with a failure of its own.
func (ba *Balancer) Answered(target string, failure bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	st.failures, st.suspectUntil, st.unreachable = 0, time.Time{}, false
	st.failureShare *= 1 - failureWeight
	if failure {
		st.failureShare += failureWeight
	}
}

// Sent counts a request on its way to a target; Begun tells that its answer has begun, and Ended that it is over.
type Sent struct {
	ba      *Balancer
	st      *state
	use     *Use
	tokens  int
	begun   bool
	overdue bool
	probe   bool
}

// Send counts a request that goes to a target.
func (ba *Balancer) Send(target string, ad Adapter, promptTokens int) *Sent {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	se := &Sent{ba: ba, st: ba.states[target], tokens: promptTokens}
	if se.st == nil {
		se.st = &state{uses: make(map[Adapter]*Use)}
	}
	if se.st.unreachable {
		se.probe = true
		se.st.probes++
	}
	se.use = se.st.use(ad)
	se.use.Sent++
	se.use.Running++
	se.st.inFlight++
	se.st.unread += promptTokens
	return se
}

// Begun notes that the answer has begun.
func (se *Sent) Begun() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	se.begin()
}

func (se *Sent) begin() {
	if !se.begun {
		se.begun = true
		se.st.unread -= se.tokens
	}
	if se.overdue {
		se.overdue = false
		se.st.overdue--
	}
}

// Overdue notes that the answer should have begun by now.
func (se *Sent) Overdue() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	if !se.begun && !se.overdue {
		se.overdue = true
		se.st.overdue++
	}
}

// Ended notes that the request is over.
func (se *Sent) Ended() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	se.begin()
	if se.probe {
		se.st.probes--
	}
	se.st.inFlight--
	se.use.Running--
}

// Use counts requests of one adapter on one target: those sent since the last telling, and those that run now.
type Use struct {
	Sent    int
	Running int
}

func (st *state) use(ad Adapter) *Use {
	us, ok := st.uses[ad]
	if !ok {
		us = &Use{}
		st.uses[ad] = us
	}
	return us
}

// TakeUses returns the instance's use of a target since the last call.
func (ba *Balancer) TakeUses(target string) map[Adapter]Use {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return nil
	}
	uses := make(map[Adapter]Use, len(st.uses))
	for ad, us := range st.uses {
		if ad.Name != "" {
			uses[ad] = *us
		}
		us.Sent = 0
		if us.Running == 0 {
			delete(st.uses, ad)
		}
	}
	return uses
}
