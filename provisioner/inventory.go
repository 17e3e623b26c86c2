// Package provisioner decides which base models and adapters one model engine loads and unloads. It tracks what the engine
// holds, which loads are in progress and how much each adapter is used, and returns the next order. It performs no I/O.
package provisioner

import (
	"time"

	"lovagebank/balancer"
	"lovagebank/counter"
	"lovagebank/router"
)

const (
	// maxPending bounds the adapter loads in progress on one engine. Additional replicas are only started while fewer
	// than maxPendingReplica loads are in progress.
	maxPending        = 4
	maxPendingReplica = 2
	// useDecayTime is the time in which the weight of a use in an adapter's value falls to 1/e.
	useDecayTime = 15 * time.Second
	// maxValueForReplica is the value above which an adapter is not unloaded for an additional replica of another one.
	maxValueForReplica = 0.5
	// coldLoadTime and warmLoadTime are the times to load an adapter from the weight store and from the engine's own
	// memory.
	coldLoadTime = 250 * time.Millisecond
	warmLoadTime = 30 * time.Millisecond
)

// Requirement is an adapter that the engine must hold, in Version or a newer one; Version 0 accepts any.
type Requirement struct {
	Adapter balancer.Adapter
	Version int64
	// ExtraReplica marks an additional replica: no adapter with recent use is unloaded for it.
	ExtraReplica bool
}

// Decision is the result of evaluating a requirement.
type Decision int

const (
	// Ready means that the requirement is met.
	Ready Decision = iota
	// Pending means that the requirement waits for an order in progress.
	Pending
	// NeedsLoad means that the returned order to load has to be given.
	NeedsLoad
	// NeedsUnload means that the returned order to unload has to be given first.
	NeedsUnload
	// Busy means that the requirement would have to wait for other loads in progress, or for requests on an older
	// version to end.
	Busy
	// Full means that the requirement cannot be met because everything that the engine holds is in use.
	Full
)

// Step is an order: to load an adapter in a version (0 for the newest), or to unload it.
type Step struct {
	Load    bool
	Adapter balancer.Adapter
	Version int64
}

// slot is an occupied adapter slot.
type slot struct {
	version  int64
	ready    bool
	readyAt  time.Time
	loadedAt time.Time
	// replaces is set while an older version stays until the requests on it have ended, and late when this takes longer
	// than the load itself.
	replaces bool
	late     bool
}

// usage tracks how much an adapter is used by all instances.
type usage struct {
	count  counter.Count
	lastAt time.Time
}

// Inventory tracks what one engine holds and loads, and who uses it.
type Inventory struct {
	engine *router.Engine
	models map[string]int64
	slots  map[balancer.Adapter]*slot
	uses   map[balancer.Adapter]*usage
	// loadedBefore are adapters that the engine has held since it started; they load in warmLoadTime.
	loadedBefore map[balancer.Adapter]bool
	// requests maps instances to their running requests on the engine, by adapter.
	requests map[string]map[balancer.Adapter]int
	// loading is the base model being loaded; until loadingUntil no other may be ordered.
	loading      string
	loadingUntil time.Time
}

// New returns the stock of an engine that is not known to hold anything.
func New(engine *router.Engine) *Inventory {
	return &Inventory{
		engine:       engine,
		models:       make(map[string]int64),
		slots:        make(map[balancer.Adapter]*slot),
		uses:         make(map[balancer.Adapter]*usage),
		loadedBefore: make(map[balancer.Adapter]bool),
		requests:     make(map[string]map[balancer.Adapter]int),
	}
}

func (iv *Inventory) loadTime(ad balancer.Adapter) time.Duration {
	if iv.loadedBefore[ad] {
		return warmLoadTime
	}
	return coldLoadTime
}

// RecordUse records a state update of an instance about its whole use of the engine.
func (iv *Inventory) RecordUse(instance string, uses map[balancer.Adapter]balancer.Use, now time.Time) {
	running := make(map[balancer.Adapter]int, len(uses))
	for ad, us := range uses {
		if us.Running > 0 {
			running[ad] = us.Running
		}
		iv.addUse(ad, float64(us.Sent), now)
	}
	iv.requests[instance] = running
}

// RemoveInstance drops the running requests of a removed instance.
func (iv *Inventory) RemoveInstance(instance string) { delete(iv.requests, instance) }

func (iv *Inventory) addUse(ad balancer.Adapter, by float64, now time.Time) {
	us, ok := iv.uses[ad]
	if !ok {
		us = &usage{count: counter.New(useDecayTime, now)}
		iv.uses[ad] = us
	}
	us.count.Add(by, now)
	if by > 0 {
		us.lastAt = now
	}
}

// Evaluate returns what has to be done to meet a requirement, with the order to give if one is needed.
func (iv *Inventory) Evaluate(rq Requirement, now time.Time) (Decision, Step) {
	if rq.Adapter.Name == "" {
		return iv.evaluateModel(rq.Adapter.Model, now)
	}
	if _, ok := iv.models[rq.Adapter.Model]; !ok {
		return Pending, Step{}
	}
	sl, held := iv.slots[rq.Adapter]
	switch {
	case held && !sl.ready && sl.late:
		return Busy, Step{}
	case held && !sl.ready:
		// The load in progress may be of an older version, but the engine accepts no second load of an adapter.
		return Pending, Step{}
	case held && sl.version >= rq.Version:
		return Ready, Step{}
	}
	if pending := iv.pendingLoads(); pending >= maxPending || rq.ExtraReplica && pending >= maxPendingReplica {
		return Busy, Step{}
	}
	if held || iv.fitsAnother() {
		return NeedsLoad, Step{Load: true, Adapter: rq.Adapter, Version: rq.Version}
	}
	victim, ok := iv.victim(now)
	if !ok || rq.ExtraReplica && (victim.unreported || victim.value > maxValueForReplica) {
		return Full, Step{}
	}
	return NeedsUnload, Step{Adapter: victim.adapter}
}

func (iv *Inventory) evaluateModel(model string, now time.Time) (Decision, Step) {
	if _, ok := iv.models[model]; ok {
		return Ready, Step{}
	}
	mo, ok := iv.engine.Model(model)
	if !ok || iv.usedMB()+mo.WeightsMB > iv.engine.WeightsMB {
		return Full, Step{}
	}
	if iv.loading != "" && now.Before(iv.loadingUntil) {
		return Pending, Step{}
	}
	return NeedsLoad, Step{Load: true, Adapter: balancer.Adapter{Model: model}}
}

// fitsAnother reports whether one more adapter fits, by number of slots and by memory.
func (iv *Inventory) fitsAnother() bool {
	if len(iv.slots) >= iv.engine.AdapterSlots {
		return false
	}
	largest := 0.0
	for _, mo := range iv.engine.Models {
		largest = max(largest, mo.AdapterMB)
	}
	return iv.usedMB()+largest <= iv.engine.WeightsMB
}

// usedMB returns the memory that base models and adapters take, in megabytes.
func (iv *Inventory) usedMB() float64 {
	sum := 0.0
	for name := range iv.models {
		mo, _ := iv.engine.Model(name)
		sum += mo.WeightsMB
	}
	for ad := range iv.slots {
		mo, _ := iv.engine.Model(ad.Model)
		sum += mo.AdapterMB
	}
	return sum
}

func (iv *Inventory) pendingLoads() int {
	count := 0
	for _, sl := range iv.slots {
		if !sl.ready {
			count++
		}
	}
	return count
}

// Started records that the engine is carrying out an order.
func (iv *Inventory) Started(sp Step, now time.Time) {
	switch {
	case sp.Adapter.Name == "" && sp.Load:
		mo, _ := iv.engine.Model(sp.Adapter.Model)
		iv.loading, iv.loadingUntil = sp.Adapter.Model, now.Add(4*mo.LoadTime+time.Second)
	case sp.Load:
		_, held := iv.slots[sp.Adapter]
		iv.slots[sp.Adapter] = &slot{version: sp.Version, readyAt: now.Add(iv.loadTime(sp.Adapter)), loadedAt: now, replaces: held}
	default:
		delete(iv.slots, sp.Adapter)
	}
}

// Done records that the engine is in the state that an order asks for.
func (iv *Inventory) Done(sp Step, now time.Time) {
	switch {
	case sp.Adapter.Name == "":
		return
	case sp.Load:
		iv.loadedBefore[sp.Adapter] = true
		sl, ok := iv.slots[sp.Adapter]
		if !ok {
			sl = &slot{loadedAt: now}
			iv.slots[sp.Adapter] = sl
		}
		sl.version, sl.ready, sl.loadedAt = max(sl.version, sp.Version), true, now
		sl.replaces, sl.late = false, false
	default:
		delete(iv.slots, sp.Adapter)
	}
}

// Due returns the pending load whose expected end lies furthest in the past, so that the engine can be asked for it
// again; false if no pending load should have ended by now.
func (iv *Inventory) Due(now time.Time) (Step, bool) {
	var due Step
	var at time.Time
	for ad, sl := range iv.slots {
		if sl.ready || now.Before(sl.readyAt) {
			continue
		}
		if at.IsZero() || sl.readyAt.Before(at) {
			due, at = Step{Load: true, Adapter: ad, Version: sl.version}, sl.readyAt
		}
	}
	return due, !at.IsZero()
}

// InProgress reports whether an order asks for a load that is already in progress.
func (iv *Inventory) InProgress(sp Step) bool {
	sl, ok := iv.slots[sp.Adapter]
	return ok && sp.Load && !sl.ready && sl.version == sp.Version
}

// Postpone records that a load which should have ended is still in progress, and sets its expected end.
func (iv *Inventory) Postpone(ad balancer.Adapter, until time.Time) {
	if sl, ok := iv.slots[ad]; ok {
		sl.readyAt, sl.late = until, sl.replaces
	}
}

// NextDue returns the earliest expected end of a pending load; false if none is pending.
func (iv *Inventory) NextDue() (time.Time, bool) {
	var next time.Time
	for _, sl := range iv.slots {
		if !sl.ready && (next.IsZero() || sl.readyAt.Before(next)) {
			next = sl.readyAt
		}
	}
	return next, !next.IsZero()
}

// Held returns the adapters and base models that are ready to run, with their versions.
func (iv *Inventory) Held() map[balancer.Adapter]int64 {
	held := make(map[balancer.Adapter]int64, len(iv.slots)+len(iv.models))
	for model, version := range iv.models {
		held[balancer.Adapter{Model: model}] = version
	}
	for ad, sl := range iv.slots {
		if sl.ready {
			held[ad] = sl.version
		}
	}
	return held
}

// Demand returns the number of requests that all instances recently sent, by adapter that is held or pending. Older
// requests count less, see useDecayTime.
func (iv *Inventory) Demand(now time.Time) map[balancer.Adapter]float64 {
	demand := make(map[balancer.Adapter]float64, len(iv.slots))
	for ad := range iv.slots {
		if value := iv.value(ad, now); value > 0 {
			demand[ad] = value
		}
	}
	return demand
}

// Outdated returns the held adapters for which newest returns a higher version, and the first base model of the engine
// if it holds none.
func (iv *Inventory) Outdated(newest func(balancer.Adapter) int64) []Requirement {
	var wants []Requirement
	for ad, sl := range iv.slots {
		if version := newest(ad); sl.ready && version > sl.version {
			wants = append(wants, Requirement{Adapter: ad, Version: version})
		}
	}
	if len(iv.models) == 0 && len(iv.engine.Models) > 0 {
		wants = append(wants, Requirement{Adapter: balancer.Adapter{Model: iv.engine.Models[0].Name}})
	}
	return wants
}
