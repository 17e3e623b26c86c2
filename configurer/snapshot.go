// Package configurer reads an instance's settings and the operators' lists, and checks both.
package configurer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lovagebank/requester"
)

// Snapshot is the operators' configuration at one revision. It never changes, and may be read by many goroutines.
type Snapshot struct {
	revision      uint64
	organisations map[string]Organisation
	plans         map[string]Plan
	services      map[string]Service
	keys          map[[32]byte]Key
	keyIDs        map[string][32]byte
	adapters      *adapterTable
}

// Revision returns the number of the accepted change that made this configuration.
func (sn *Snapshot) Revision() uint64 { return sn.revision }

// Organisation returns an organisation by name.
func (sn *Snapshot) Organisation(name string) (Organisation, bool) {
	og, ok := sn.organisations[name]
	return og, ok
}

// Organisations returns the names of all organisations, sorted.
func (sn *Snapshot) Organisations() []string { return slices.Sorted(maps.Keys(sn.organisations)) }

// Plan returns a plan by name.
func (sn *Snapshot) Plan(name string) (Plan, bool) {
	pl, ok := sn.plans[name]
	return pl, ok
}

// PlanOf returns the plan that an organisation is on.
func (sn *Snapshot) PlanOf(organisation string) (Plan, bool) {
	og, ok := sn.organisations[organisation]
	if !ok {
		return Plan{}, false
	}
	return sn.Plan(og.plan)
}

// Adapter returns an adapter by name.
func (sn *Snapshot) Adapter(name string) (Adapter, bool) { return sn.adapters.find(name) }

// AdapterCount returns the number of adapters.
func (sn *Snapshot) AdapterCount() int { return len(sn.adapters.rows) }

// Adapters returns the adapters that an organisation may use, sorted by name.
func (sn *Snapshot) Adapters(organisation string) []Adapter {
	pl, ok := sn.PlanOf(organisation)
	if !ok {
		return nil
	}
	var usable []Adapter
	for row := range sn.adapters.rows {
		ad := sn.adapters.adapter(row)
		if (ad.organisation == "" || ad.organisation == organisation) && pl.includes(ad.name) {
			usable = append(usable, ad)
		}
	}
	return usable
}

// PlanIncludes tells whether a plan includes an adapter. The adapter's owner is another question.
func (sn *Snapshot) PlanIncludes(plan, adapter string) bool {
	pl, ok := sn.plans[plan]
	return ok && pl.includes(adapter)
}

// Service returns a plain service by name.
func (sn *Snapshot) Service(name string) (Service, bool) {
	sv, ok := sn.services[name]
	return sv, ok
}

// Services returns the names of all plain services, sorted.
func (sn *Snapshot) Services() []string { return slices.Sorted(maps.Keys(sn.services)) }

// Key returns a caller's key by its SHA-256.
func (sn *Snapshot) Key(hash [32]byte) (Key, bool) {
	ke, ok := sn.keys[hash]
	return ke, ok
}

// KeyByID returns a caller's key by the identifier that operators use.
func (sn *Snapshot) KeyByID(id string) (Key, bool) {
	hash, ok := sn.keyIDs[id]
	return sn.keys[hash], ok
}

// Keys returns all keys, sorted by identifier.
func (sn *Snapshot) Keys() []Key {
	return slices.SortedFunc(maps.Values(sn.keys), func(left, right Key) int { return strings.Compare(left.id, right.id) })
}

// Plan is what an organisation on it may use.
type Plan struct {
	name     string
	rate     float64
	burst    float64
	weight   float64
	urgency  requester.Urgency
	deadline time.Duration
	adapters []string
	services []string

	// exact and prefixes are the adapters' patterns, sorted for lookup.
	exact    []string
	prefixes []string
}

// compile sorts the adapters' patterns by kind.
func (pl *Plan) compile() {
	for _, pattern := range pl.adapters {
		if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
			pl.prefixes = append(pl.prefixes, prefix)
		} else {
			pl.exact = append(pl.exact, pattern)
		}
	}
	slices.Sort(pl.exact)
}

// includes tells whether an adapter's name matches one of the plan's patterns.
func (pl *Plan) includes(adapter string) bool {
	if _, found := slices.BinarySearch(pl.exact, adapter); found {
		return true
	}
	return slices.ContainsFunc(pl.prefixes, func(prefix string) bool { return strings.HasPrefix(adapter, prefix) })
}

// Name returns the plan's name.
func (pl Plan) Name() string { return pl.name }

// Rate returns the tokens a second that an organisation may use, over all instances.
func (pl Plan) Rate() float64 { return pl.rate }

// Burst returns the most tokens that an organisation may use at once.
func (pl Plan) Burst() float64 { return pl.burst }

// Weight returns the organisation's share in fair queueing.
func (pl Plan) Weight() float64 { return pl.weight }

// Urgency returns the urgency class of the plan's requests.
func (pl Plan) Urgency() requester.Urgency { return pl.urgency }

// Deadline returns the time that a request has when the caller names none.
func (pl Plan) Deadline() time.Duration { return pl.deadline }

// Adapters returns the patterns of the adapters in the plan.
func (pl Plan) Adapters() []string { return pl.adapters }

// Services returns the names of the plain services in the plan.
func (pl Plan) Services() []string { return pl.services }

// Organisation is a customer.
type Organisation struct {
	name string
	plan string
}

// Name returns the organisation's name.
func (og Organisation) Name() string { return og.name }

// Plan returns the name of the organisation's plan.
func (og Organisation) Plan() string { return og.plan }

// Adapter is one adapter with its versions.
type Adapter struct {
	name         string
	organisation string
	base         string
	current      string
	versions     []string
}

// Name returns the adapter's name.
func (ad Adapter) Name() string { return ad.name }

// Organisation returns the owner; empty when any organisation whose plan names the adapter may use it.
func (ad Adapter) Organisation() string { return ad.organisation }

// Base returns the base model.
func (ad Adapter) Base() string { return ad.base }

// Current returns the version that a request without one gets.
func (ad Adapter) Current() string { return ad.current }

// Versions returns all versions that may be asked for, the current one included.
func (ad Adapter) Versions() []string { return ad.versions }

// Service is a plain service beside the model engines.
type Service struct {
	name       string
	open       bool
	repeatable bool
	deadline   time.Duration
}

// Name returns the service's name, the first part of its path.
func (sv Service) Name() string { return sv.name }

// Open tells whether requests need no key.
func (sv Service) Open() bool { return sv.open }

// Repeatable is false for a service whose requests may run at most once.
func (sv Service) Repeatable() bool { return sv.repeatable }

// Deadline returns the time that a request has when the caller names none.
func (sv Service) Deadline() time.Duration { return sv.deadline }

// Key is a caller's key as stored: by its hash alone.
type Key struct {
	id           string
	organisation string
	hash         [32]byte
	expires      time.Time
	withdrawn    bool
}

// ID returns the identifier by which operators name the key.
func (ke Key) ID() string { return ke.id }

// Organisation returns the organisation that the key stands for.
func (ke Key) Organisation() string { return ke.organisation }

// Hash returns the SHA-256 of the key.
func (ke Key) Hash() [32]byte { return ke.hash }

// Expires returns the time after which the key is refused; zero for never.
func (ke Key) Expires() time.Time { return ke.expires }

// Withdrawn tells whether an operator withdrew the key.
func (ke Key) Withdrawn() bool { return ke.withdrawn }
