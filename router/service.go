package router

import "time"

// Model is a base model that the targets of a service can hold.
type Model struct {
	// Name is the model's name in requests and orders.
	Name string
	// WeightsMB is the size of its weights, in megabytes.
	WeightsMB float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter, in megabytes.
	AdapterMB float64
}

// Engine tells what the model engines of a service can hold.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// CacheTokens is the memory of one engine for prompts and answers, in tokens.
	CacheTokens int
	// WeightsMB is the memory of one engine for weights and adapters, in megabytes.
	WeightsMB float64
	// AdapterSlots is the number of adapters that one engine can hold.
	AdapterSlots int
	// LoadsPerSecond bounds loads of base models from the weight store, over all engines.
	LoadsPerSecond float64
	// Models lists the base models.
	Models []Model
}

// Model returns a base model by its name.
func (en *Engine) Model(name string) (Model, bool) {
	for _, mo := range en.Models {
		if mo.Name == name {
			return mo, true
		}
	}
	return Model{}, false
}

// ServiceOptions build a Service.
type ServiceOptions struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConnections bounds the connections that one target accepts from all instances together; 0 for no bound.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Service is a group of like targets.
type Service struct{ op ServiceOptions }

// NewService builds a service.
func NewService(op ServiceOptions) *Service { return &Service{op: op} }

// Name is the operators' name of the service.
func (sv *Service) Name() string { return sv.op.Name }

// MaxConnections bounds the connections that one target accepts from all instances together; 0 for no bound.
func (sv *Service) MaxConnections() int { return sv.op.MaxConnections }

// Engine tells what the service's engines hold; nil for a plain service.
func (sv *Service) Engine() *Engine { return sv.op.Engine }

// OrganisationOptions build an Organisation.
type OrganisationOptions struct {
	Name string
	Keys []string
	// Priority goes before that of the route; nil where the organisation has none.
	Priority *int
	// TokensPerSecond and BurstTokens are its allowance over all instances; a rate of 0 means no limit.
	TokensPerSecond float64
	BurstTokens     float64
	// CountsTokens tells that the allowance counts tokens and not requests.
	CountsTokens bool
	// DefaultTokens is what a request without token counts is charged.
	DefaultTokens float64
}

// Organisation is a customer with its keys and its allowance.
type Organisation struct{ op OrganisationOptions }

// NewOrganisation builds an organisation.
func NewOrganisation(op OrganisationOptions) *Organisation { return &Organisation{op: op} }

// Name is the operators' name of the organisation.
func (og *Organisation) Name() string { return og.op.Name }

// Rate is the allowance a second, over all instances; 0 means no limit.
func (og *Organisation) Rate() float64 { return og.op.TokensPerSecond }

// Burst is what may be used at once beyond the rate, over all instances.
func (og *Organisation) Burst() float64 { return og.op.BurstTokens }

// Cost is what a request is charged; tokens is nil for a request without token counts.
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

// Priorities is the urgency of the organisation's requests on a route: its own priority goes first, then the route's.
func (og *Organisation) Priorities(rt *Route) (organisation, route int) {
	if og == nil || og.op.Priority == nil {
		return 0, rt.Priority()
	}
	return *og.op.Priority, rt.Priority()
}
