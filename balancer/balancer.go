package balancer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialSuspectTime is how long a target is avoided after its first failed connection. It doubles with each further failure.
	initialSuspectTime = 400 * time.Millisecond
	// maxSuspectTime limits how long a target is avoided before it is tried again.
	maxSuspectTime = 4 * time.Second
	// A holder counts as able to load adapters until its last update is older than minHolderTimeout and older than
	// maxMissedUpdates update intervals.
	minHolderTimeout = 2 * time.Second
	maxMissedUpdates = 2
	// failureWeight is the weight of one answer in the moving average of a target's failure ratio.
	failureWeight = 0.1
)

// Options configures a Balancer.
type Options struct {
	// FailureDomain is the failure domain of the instance. Among equally loaded targets, those in the same domain are preferred.
	FailureDomain string
	// PreferLocal makes the instance keep requests and replicas of popular adapters in its own failure domain where that serves
	// callers equally well.
	PreferLocal bool
	// SeparateLong reports whether the long prompts of a service have targets of their own; nil means that those of none have.
	SeparateLong func(service string) bool
	// LastingSpeed returns the time that work usually takes on a target, relative to its service; nil means 1.
	LastingSpeed func(Start) float64
	// TokenTime returns the time that an engine of a service takes to prefill one token, and Instances the number of instances.
	// Both are used only with SeparateLong.
	TokenTime func(service string) time.Duration
	Instances func() int
	// Interval returns the time between two state updates of a holder. Nil means 0, as for a small fleet.
	Interval func() time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
	// Slowness returns how long work takes at a start of a target now, as a multiple of the usual in its service. Nil means 1
	// for all.
	Slowness func(Start) float64
	// RegionOf returns the region that a failure domain belongs to; empty if it is not known. Nil means that none is known.
	RegionOf func(domain string) string
	// PrefixCache reports whether the parts of prompts that a service's targets have cached count in the choice among them.
	// Nil: never.
	PrefixCache func(service string) bool
	// Cached fills in the tokens that each target is expected to have cached of a prompt. It returns false if it has no
	// estimates for the service.
	Cached func(pr Prompt, estimates []PrefixEstimate) (known bool)
	// Memory returns the committed and the total tokens of a target's memory; 0 if unknown. Nil: unknown for all. PrefixCache,
	// Cached and Memory must not call the Balancer.
	Memory func(target string) (used, total int)
}

// Balancer tracks the state of the targets and chooses among them. It is safe for concurrent use.
type Balancer struct {
	op        Options
	mu        sync.Mutex
	states    map[string]*targetState
	byService map[string][]*targetState
	demand    *demand
	// leaving remembers the starts of targets that are leaving.
	leaving announcements
	// longPools are the pools for long prompts by service.
	longPools map[string]*longPool
	// fleet is the demand for adapters as the holders of the targets report it.
	fleet *fleetDemand
	// evacuated are the failure domains whose targets take no requests.
	evacuated map[string]bool
}

// targetState is the instance's view of one target.
type targetState struct {
	target *Target
	hash   uint64

	// adapters maps the adapters that the target holds to their versions, as its holder last reported them at updatedAt.
	adapters  map[Adapter]int64
	holder    string
	updatedAt time.Time
	// demand is the target's share of the fleet's demand, from the same update.
	demand map[Adapter]float64

	// load is the number of requests running and waiting as reported at loadAt. At that time, inFlightAtReport of them were
	// the instance's own.
	load             int
	loadAt           time.Time
	inFlightAtReport int
	inFlight         int
	memory           memoryState
	// pendingPrefill is the number of prompt tokens that were sent and whose answers have not begun.
	pendingPrefill int
	// turnAt is when a prompt that asks now can have its turn, that is, can be prefilled, according to the holder's last answer.
	turnAt time.Time
	// overdue is the number of requests whose answers should have begun by now.
	overdue int

	// uses counts the instance's own requests by adapter. They are reported to the target's holder.
	uses map[Adapter]*Use
	// unreportedSince is when the first request was sent that has not been reported to the holder. It is zero if all have been.
	unreportedSince time.Time

	failures     int
	suspectUntil time.Time
	// unreachable is set if the last attempt to connect failed. probes counts the requests that try to connect again.
	unreachable  bool
	probes       int
	failureRatio float64

	// leaving is set if the target has announced in an answer that it takes no new requests. It has also requested to get none
	// until backOffUntil.
	leaving      bool
	backOffUntil time.Time
	// absent is set while a peer's copy of the platform's list, newer than this instance's, no longer has the target.
	absent bool
	// region is the region of the target's failure domain; empty if it is not known.
	region string
	// evacuated is set while the target's failure domain is evacuated.
	evacuated bool
	// coldUntil is when the target stops being cold.
	coldUntil time.Time
	// rateLimited is set while the target states a rate limit. Adapters are loaded on other targets then.
	rateLimited bool
}

// New returns a balancer without targets.
func New(op Options) *Balancer {
	if op.Interval == nil {
		op.Interval = func() time.Duration { return 0 }
	}
	if op.TokenTime == nil {
		op.TokenTime = func(string) time.Duration { return 0 }
	}
	if op.Instances == nil {
		op.Instances = func() int { return 1 }
	}
	if op.Slowness == nil {
		op.Slowness = func(Start) float64 { return 1 }
	}
	if op.RegionOf == nil {
		op.RegionOf = func(string) string { return "" }
	}
	return &Balancer{
		op:        op,
		states:    make(map[string]*targetState),
		byService: make(map[string][]*targetState),
		demand:    newDemand(),
		leaving:   make(announcements),
		fleet:     newFleetDemand(),
		longPools: make(map[string]*longPool),
	}
}

// SetTarget adds or updates a target from the platform's list. The state of an earlier start of the target is dropped.
func (ba *Balancer) SetTarget(ta *Target) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, known := ba.states[ta.ID()]
	if ta.Draining() {
		ba.leaving.record(ta.Start(), time.Now())
	}
	if known && st.target.SameStart(ta) {
		st.target, st.leaving = ta, st.leaving || ba.leaving.contains(ta.Start())
		st.evacuated, st.region = ba.evacuated[ta.FailureDomain()], ba.op.RegionOf(ta.FailureDomain())
		return
	}
	ba.remove(ta.ID())
	st = &targetState{
		target:   ta,
		hash:     xxhash.Sum64String(ta.ID()),
		leaving:  ba.leaving.contains(ta.Start()),
		adapters: make(map[Adapter]int64),
		uses:     make(map[Adapter]*Use),

		evacuated: ba.evacuated[ta.FailureDomain()],
		region:    ba.op.RegionOf(ta.FailureDomain()),
	}
	for _, re := range ta.Residents() {
		st.addResident(re)
	}
	ba.states[ta.ID()] = st
	ba.byService[ta.Service()] = append(ba.byService[ta.Service()], st)
}

func (st *targetState) addResident(re Resident) {
	st.adapters[Adapter{Model: re.Model}] = re.Version
	for name, version := range re.Adapters {
		st.adapters[Adapter{Model: re.Model, Name: name}] = version
	}
}

// RemoveTarget removes a target that is no longer in the platform's list.
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
	ba.fleet.replace(st.demand, nil)
	states := ba.byService[st.target.Service()]
	for at, other := range states {
		if other == st {
			ba.byService[st.target.Service()] = append(states[:at:at], states[at+1:]...)
			return
		}
	}
}

// Target returns a target by its ID. It is false if the target is not in the platform's list.
func (ba *Balancer) Target(id string) (*Target, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[id]
	if !ok {
		return nil, false
	}
	return st.target, true
}

// All returns all targets in no particular order.
func (ba *Balancer) All() []*Target {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	all := make([]*Target, 0, len(ba.states))
	for _, st := range ba.states {
		all = append(all, st.target)
	}
	return all
}

// TargetCount returns the number of targets.
func (ba *Balancer) TargetCount() int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return len(ba.states)
}
