// Package configurer reads an instance's settings and the operators' lists, and checks both.
package configurer

import (
	"time"

	"lovagebank/requester"
)

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
