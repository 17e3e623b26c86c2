package router

import "time"

// Model is a base model that the targets of a service can load.
type Model struct {
	// Name is the model's name in requests and orders.
	Name string
	// WeightsMB is the size of the model's weights, in megabytes.
	WeightsMB float64
	// LoadTime is the duration of a load from the weight store.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter, in megabytes.
	AdapterMB float64
}

// Engine describes the capacity and base models of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of one engine's cache for prompts and answers, in tokens.
	CacheTokens int
	// WeightsMB is one engine's memory for weights and adapters, in megabytes.
	WeightsMB float64
	// AdapterSlots is the number of adapters that one engine can hold at the same time.
	AdapterSlots int
	// LoadsPerSecond is the maximum rate of base model loads from the weight store, over all engines.
	LoadsPerSecond float64
	// Models lists the base models.
	Models []Model
}

// Model returns the base model with the given name and whether it exists.
func (en *Engine) Model(name string) (Model, bool) {
	for _, mo := range en.Models {
		if mo.Name == name {
			return mo, true
		}
	}
	return Model{}, false
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one target accepts from all instances together; 0 means
	// no limit.
	MaxConnections int
	// Engine describes the service's model engines; nil for a service without engines.
	Engine *Engine
	// ColdTime is how long a target is cold after its start, and ColdRate how many requests a second it takes while it
	// is cold. Targets are never cold if either is 0.
	ColdTime time.Duration
	ColdRate float64
}

// Service is a group of targets of the same kind.
type Service struct{ op ServiceOptions }

// NewService returns a service.
func NewService(op ServiceOptions) *Service { return &Service{op: op} }

// Name returns the operators' name of the service.
func (sv *Service) Name() string { return sv.op.Name }

// HealthPath returns the path of the targets' health check; empty if they have none.
func (sv *Service) HealthPath() string { return sv.op.HealthPath }

// MaxConnections returns the maximum number of connections that one target accepts from all instances together; 0 means
// no limit.
func (sv *Service) MaxConnections() int { return sv.op.MaxConnections }

// Engine returns the description of the service's model engines; nil for a service without engines.
func (sv *Service) Engine() *Engine { return sv.op.Engine }

// ColdTime returns how long a target is cold after its start; 0 if targets of the service are never cold.
func (sv *Service) ColdTime() time.Duration {
	if sv.op.ColdRate <= 0 {
		return 0
	}
	return sv.op.ColdTime
}

// ColdRate returns how many requests a second a target takes while it is cold; 0 if targets of the service are never cold.
func (sv *Service) ColdRate() float64 {
	if sv.op.ColdTime <= 0 {
		return 0
	}
	return sv.op.ColdRate
}

// OrganisationOptions configures an Organisation.
type OrganisationOptions struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's priority; nil if the organisation has none.
	Priority *int
	// TokensPerSecond and BurstTokens are the organisation's quota over all instances; a rate of 0 means no limit.
	TokensPerSecond float64
	BurstTokens     float64
	// CountsTokens means that the quota counts tokens instead of requests.
	CountsTokens bool
	// DefaultTokens is the number of tokens charged for a request without token counts.
	DefaultTokens float64
	// Regions lists the regions that the organisation's requests may reach; nil for no restriction.
	Regions []string
}

// Organisation is a customer with its keys and its quota.
type Organisation struct{ op OrganisationOptions }

// NewOrganisation returns an organisation.
func NewOrganisation(op OrganisationOptions) *Organisation { return &Organisation{op: op} }

// Name returns the operators' name of the organisation.
func (og *Organisation) Name() string { return og.op.Name }

// Rate returns the quota per second over all instances, in tokens or requests; 0 means no limit.
func (og *Organisation) Rate() float64 { return og.op.TokensPerSecond }

// Burst returns the amount that may be used at once beyond the rate, over all instances, in tokens or requests.
func (og *Organisation) Burst() float64 { return og.op.BurstTokens }

// Cost returns the charge for a request, in the unit of the quota. tokens is nil for a request without token counts.
func (og *Organisation) Cost(tokens *int) float64 {
	switch {
	case !og.op.CountsTokens:
		return 1
	case tokens == nil:
		return og.op.DefaultTokens
	default:
		return float64(*tokens)
	}
}

// Priorities returns the priorities of the organisation's requests on a route, to compare in this order: the organisation's
// own, or 0 if it has none, and then the route's.
func (og *Organisation) Priorities(rt *Route) (organisation, route int) {
	if og == nil || og.op.Priority == nil {
		return 0, rt.Priority()
	}
	return *og.op.Priority, rt.Priority()
}
