package router

import (
	"strings"
	"time"
)

// Kind classifies a route's requests, and thereby whether they may be repeated.
type Kind int

const (
	// Safe marks requests that may run more than once.
	Safe Kind = iota
	// Unsafe marks requests that run at most once for each attempt of the caller.
	Unsafe
	// Stream marks requests that are answered by a series of events. They run at most once unless they are resumable.
	Stream
)

// String returns the kind's name in logs and metrics.
func (ki Kind) String() string {
	switch ki {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Share is a service with its share of a route's requests.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the service's share, relative to the sum of all weights of the route.
	Weight float64
}

// RouteOptions configures a Route.
type RouteOptions struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits for the whole answer.
	Timeout time.Duration
	// LatencyObjective is the maximum time until the answer, or a stream's first event, to count as on time.
	LatencyObjective time.Duration
	// GapObjective is the maximum pause between two events of a stream to count as on time; 0 means no objective.
	GapObjective time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// Shares lists the services that receive the requests; at least one.
	Shares []Share
	// Attempts is the maximum number of targets that one request may run on.
	Attempts int
	// Public means that requests need no key.
	Public bool
	// Resumable means that a stream may continue at another target after the last event delivered.
	Resumable bool
	// Regions lists the regions that the requests may reach; nil for no restriction.
	Regions []string
}

// Route is a host and path prefix with the options for its requests.
type Route struct {
	op    RouteOptions
	total float64
}

// NewRoute returns a route. Fewer than one attempt counts as one.
func NewRoute(op RouteOptions) *Route {
	rt := &Route{op: op}
	for _, sh := range op.Shares {
		rt.total += sh.Weight
	}
	if rt.op.Attempts < 1 {
		rt.op.Attempts = 1
	}
	return rt
}

// Name returns the operators' name of the route.
func (rt *Route) Name() string { return rt.op.Name }

// Host returns the route's host, in lower case.
func (rt *Route) Host() string { return strings.ToLower(rt.op.Host) }

// Prefix returns the prefix of the paths that the route covers.
func (rt *Route) Prefix() string { return rt.op.Prefix }

// Kind returns the kind of the route's requests.
func (rt *Route) Kind() Kind { return rt.op.Kind }

// Timeout returns the maximum time that a caller waits for the whole answer.
func (rt *Route) Timeout() time.Duration { return rt.op.Timeout }

// LatencyObjective returns the maximum time until the answer, or a stream's first event, to count as on time.
func (rt *Route) LatencyObjective() time.Duration { return rt.op.LatencyObjective }

// GapObjective returns the maximum pause between two events of a stream to count as on time; 0 means no objective.
func (rt *Route) GapObjective() time.Duration { return rt.op.GapObjective }

// Priority returns the route's priority; 0 is the most urgent.
func (rt *Route) Priority() int { return rt.op.Priority }

// Attempts returns the maximum number of targets that one request may run on; at least 1.
func (rt *Route) Attempts() int { return rt.op.Attempts }

// Public reports whether requests need no key.
func (rt *Route) Public() bool { return rt.op.Public }

// Resumable reports whether streams may continue at another target.
func (rt *Route) Resumable() bool { return rt.op.Resumable }

// Repeatable reports whether the route's requests may run more than once.
func (rt *Route) Repeatable() bool {
	return rt.op.Kind == Safe || rt.op.Kind == Stream && rt.op.Resumable
}

// Services returns the names of the services that receive the route's requests.
func (rt *Route) Services() []string {
	names := make([]string, 0, len(rt.op.Shares))
	for _, sh := range rt.op.Shares {
		names = append(names, sh.Service)
	}
	return names
}

// PickService picks a service by the weights of the route; point is in [0, 1). It returns an empty name if the route has no
// services.
func (rt *Route) PickService(point float64) string {
	at := point * rt.total
	for _, sh := range rt.op.Shares {
		if at < sh.Weight {
			return sh.Service
		}
		at -= sh.Weight
	}
	if len(rt.op.Shares) == 0 {
		return ""
	}
	return rt.op.Shares[len(rt.op.Shares)-1].Service
}
