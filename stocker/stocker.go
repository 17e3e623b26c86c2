// Package stocker decides which base models and adapters one model engine loads and gives up. It keeps what the engine
// holds, what is under way and how much each adapter is used, and names the next order. It does no input or output.
package stocker

import (
	"time"

	"lovagebank/balancer"
	"lovagebank/decayer"
	"lovagebank/router"
)

const (
	// maxPending is the number of adapters that may be under way to one engine, and maxPendingSpare that at which no
	// further replica is started.
	maxPending      = 4
	maxPendingSpare = 2
	// useMemory is the time over which a use's weight in an adapter's value falls to 1/e.
	useMemory = 15 * time.Second
	// spareValue is the use from which an adapter is not given up for a further replica of another one.
	spareValue = 0.5
	// coldLoad and warmLoad are how long an adapter takes from the weight store and from the engine's own memory.
	coldLoad = 250 * time.Millisecond
	warmLoad = 30 * time.Millisecond
)

// Requirement is an adapter that has to be on the engine, at least in a version; 0 for any.
type Requirement struct {
	Adapter balancer.Adapter
	Version int64
	// ExtraReplica wants a further replica: no adapter of use is given up for it.
	ExtraReplica bool
}

// Decision says what a want comes to.
type Decision int

const (
	// Ready wants are met.
	Ready Decision = iota
	// Pending wants wait for an order under way.
	Pending
	// NeedsLoad wants need the order to load that comes with the verdict.
	NeedsLoad
	// NeedsUnload wants need the order to unload that comes with the verdict first.
	NeedsUnload
	// Busy wants would have to wait for others that are under way, or for requests on an older version to end.
	Busy
	// Full wants cannot be met: all that the engine holds is in use.
	Full
)

// Step is an order: to load an adapter in a version (0 for the newest), or to unload it.
type Step struct {
	Load    bool
	Adapter balancer.Adapter
	Version int64
}

// place is an adapter slot in use.
type place struct {
	version  int64
	ready    bool
	readyAt  time.Time
	loadedAt time.Time
	// replaces tells that an older version is there until the requests on it have ended, and late that this takes longer
	// than the load itself.
	replaces bool
	late     bool
}

// use is how much an adapter is used, by any instance.
type use struct {
	count  decayer.Count
	lastAt time.Time
}

// Stock is what one engine holds.
type Stock struct {
	engine *router.Engine
	models map[string]int64
	places map[balancer.Adapter]*place
	uses   map[balancer.Adapter]*use
	// before are adapters that the engine has held since it started; they come back fast.
	before map[balancer.Adapter]bool
	// requests maps instances to the requests that they have on the engine, by adapter.
	requests map[string]map[balancer.Adapter]int
	// loading is the base model under way, and until when no other may be ordered.
	loading      string
	loadingUntil time.Time
}

// New makes the stock of an engine that is not known to hold anything.
func New(engine *router.Engine) *Stock {
	return &Stock{
		engine:   engine,
		models:   make(map[string]int64),
		places:   make(map[balancer.Adapter]*place),
		uses:     make(map[balancer.Adapter]*use),
		before:   make(map[balancer.Adapter]bool),
		requests: make(map[string]map[balancer.Adapter]int),
	}
}

func (sk *Stock) loadTime(ad balancer.Adapter) time.Duration {
	if sk.before[ad] {
		return warmLoad
	}
	return coldLoad
}

// RecordUse takes in all that an instance tells of its use of the engine.
func (sk *Stock) RecordUse(instance string, uses map[balancer.Adapter]balancer.Use, now time.Time) {
	running := make(map[balancer.Adapter]int, len(uses))
	for ad, us := range uses {
		if us.Running > 0 {
			running[ad] = us.Running
		}
		sk.count(ad, float64(us.Sent), now)
	}
	sk.requests[instance] = running
}

// RemoveInstance drops what an instance that has left had running.
func (sk *Stock) RemoveInstance(instance string) { delete(sk.requests, instance) }

func (sk *Stock) count(ad balancer.Adapter, by float64, now time.Time) {
	us, ok := sk.uses[ad]
	if !ok {
		us = &use{count: decayer.New(useMemory, now)}
		sk.uses[ad] = us
	}
	us.count.Add(by, now)
	if by > 0 {
		us.lastAt = now
	}
}

// Evaluate tells what has to be done for a want, with the order where one is due.
func (sk *Stock) Evaluate(wa Requirement, now time.Time) (Decision, Step) {
	if wa.Adapter.Name == "" {
		return sk.judgeModel(wa.Adapter.Model, now)
	}
	if _, ok := sk.models[wa.Adapter.Model]; !ok {
		return Pending, Step{}
	}
	pl, held := sk.places[wa.Adapter]
	switch {
	case held && !pl.ready && pl.late:
		return Busy, Step{}
	case held && !pl.ready:
		// Perhaps in an older version: the engine takes no order to load it twice.
		return Pending, Step{}
	case held && pl.version >= wa.Version:
		return Ready, Step{}
	}
	if pending := sk.pending(); pending >= maxPending || wa.ExtraReplica && pending >= maxPendingSpare {
		return Busy, Step{}
	}
	if held || sk.room() {
		return NeedsLoad, Step{Load: true, Adapter: wa.Adapter, Version: wa.Version}
	}
	victim, ok := sk.victim(now)
	if !ok || wa.ExtraReplica && (victim.untold || victim.value > spareValue) {
		return Full, Step{}
	}
	return NeedsUnload, Step{Adapter: victim.adapter}
}

func (sk *Stock) judgeModel(model string, now time.Time) (Decision, Step) {
	if _, ok := sk.models[model]; ok {
		return Ready, Step{}
	}
	mo, ok := sk.engine.Model(model)
	if !ok || sk.weights()+mo.WeightsMB > sk.engine.WeightsMB {
		return Full, Step{}
	}
	if sk.loading != "" && now.Before(sk.loadingUntil) {
		return Pending, Step{}
	}
	return NeedsLoad, Step{Load: true, Adapter: balancer.Adapter{Model: model}}
}

// room tells whether one more adapter fits, by number and by memory.
func (sk *Stock) room() bool {
	if len(sk.places) >= sk.engine.AdapterSlots {
		return false
	}
	largest := 0.0
	for _, mo := range sk.engine.Models {
		largest = max(largest, mo.AdapterMB)
	}
	return sk.weights()+largest <= sk.engine.WeightsMB
}

// weights is the memory that base models and adapters take, in megabytes.
func (sk *Stock) weights() float64 {
	sum := 0.0
	for name := range sk.models {
		mo, _ := sk.engine.Model(name)
		sum += mo.WeightsMB
	}
	for ad := range sk.places {
		mo, _ := sk.engine.Model(ad.Model)
		sum += mo.AdapterMB
	}
	return sum
}

func (sk *Stock) pending() int {
	count := 0
	for _, pl := range sk.places {
		if !pl.ready {
			count++
		}
	}
	return count
}

// Started notes that the engine carries an order out.
func (sk *Stock) Started(sp Step, now time.Time) {
	switch {
	case sp.Adapter.Name == "" && sp.Load:
		mo, _ := sk.engine.Model(sp.Adapter.Model)
		sk.loading, sk.loadingUntil = sp.Adapter.Model, now.Add(4*mo.LoadTime+time.Second)
	case sp.Load:
		_, held := sk.places[sp.Adapter]
		sk.places[sp.Adapter] = &place{version: sp.Version, readyAt: now.Add(sk.loadTime(sp.Adapter)), loadedAt: now, replaces: held}
	default:
		delete(sk.places, sp.Adapter)
	}
}

// Done notes that the engine's state is as an order asks.
func (sk *Stock) Done(sp Step, now time.Time) {
	switch {
	case sp.Adapter.Name == "":
		return
	case sp.Load:
		sk.before[sp.Adapter] = true
		pl, ok := sk.places[sp.Adapter]
		if !ok {
			pl = &place{loadedAt: now}
			sk.places[sp.Adapter] = pl
		}
		pl.version, pl.ready, pl.loadedAt = max(pl.version, sp.Version), true, now
		pl.replaces, pl.late = false, false
	default:
		delete(sk.places, sp.Adapter)
	}
}

// Due returns an adapter under way whose load should be over by now, to ask the engine for.
func (sk *Stock) Due(now time.Time) (Step, bool) {
	var due Step
	var at time.Time
	for ad, pl := range sk.places {
		if pl.ready || now.Before(pl.readyAt) {
			continue
		}
		if at.IsZero() || pl.readyAt.Before(at) {
			due, at = Step{Load: true, Adapter: ad, Version: pl.version}, pl.readyAt
		}
	}
	return due, !at.IsZero()
}

// InProgress tells whether an order asks for what is under way already.
func (sk *Stock) InProgress(sp Step) bool {
	pl, ok := sk.places[sp.Adapter]
	return ok && sp.Load && !pl.ready && pl.version == sp.Version
}

// Postpone notes that a load which was due is still under way.
func (sk *Stock) Postpone(ad balancer.Adapter, until time.Time) {
	if pl, ok := sk.places[ad]; ok {
		pl.readyAt, pl.late = until, pl.replaces
	}
}

// NextDue returns when the next adapter under way should be there.
func (sk *Stock) NextDue() (time.Time, bool) {
	var next time.Time
	for _, pl := range sk.places {
		if !pl.ready && (next.IsZero() || pl.readyAt.Before(next)) {
			next = pl.readyAt
		}
	}
	return next, !next.IsZero()
}

// Held returns what is ready to run, base models included, with versions.
func (sk *Stock) Held() map[balancer.Adapter]int64 {
	held := make(map[balancer.Adapter]int64, len(sk.places)+len(sk.models))
	for model, version := range sk.models {
		held[balancer.Adapter{Model: model}] = version
	}
	for ad, pl := range sk.places {
		if pl.ready {
			held[ad] = pl.version
		}
	}
	return held
}

// Demand is how many requests for what is held all instances sent of late, by adapter.
func (sk *Stock) Demand(now time.Time) map[balancer.Adapter]float64 {
	demand := make(map[balancer.Adapter]float64, len(sk.places))
	for ad := range sk.places {
		if value := sk.value(ad, now); value > 0 {
			demand[ad] = value
		}
	}
	return demand
}

// Outdated returns held adapters for which newest names a higher version, and base models that are missing.
func (sk *Stock) Outdated(newest func(balancer.Adapter) int64) []Requirement {
	var wants []Requirement
	for ad, pl := range sk.places {
		if version := newest(ad); pl.ready && version > pl.version {
			wants = append(wants, Requirement{Adapter: ad, Version: version})
		}
	}
	if len(sk.models) == 0 && len(sk.engine.Models) > 0 {
		wants = append(wants, Requirement{Adapter: balancer.Adapter{Model: sk.engine.Models[0].Name}})
	}
	return wants
}
