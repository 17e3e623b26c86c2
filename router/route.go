package router

import "time"

// Kind tells what a route's requests are, and with that what may be repeated.
type Kind int

const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe
	// Stream requests are answered by a series of events; they run at most once unless they can be resumed.
	Stream
)

// String names the kind in logs and metrics.
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

// Share is a service with its part of a route's requests.
type Share struct {
	// Service names the service.
	Service string
	// Weight is the part, relative to the sum of all weights of the route.
	Weight float64
}

// RouteOptions build a Route.
type RouteOptions struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// LatencyObjective is the time within which the answer, or a stream's first event, counts as on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that counts as on time; 0 where none is promised.
	GapObjective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Shares are the services that the requests go to; at least one.
	Shares []Share
	// Attempts bounds the targets that one request may run on.
	Attempts int
	// Public routes ask for no key.
	Public bool
	// Resumable streams may go on at another target after the last event delivered.
	Resumable bool
}

// Route is a host and prefix with what holds for its requests.
type Route struct {
	op    RouteOptions
	total float64
}

// NewRoute builds a route.
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

// Name is the operators' name of the route.
func (rt *Route) Name() string { return rt.op.Name }

// Kind tells what the route's requests are.
func (rt *Route) Kind() Kind { return rt.op.Kind }

// Timeout is the longest time a caller is kept waiting.
func (rt *Route) Timeout() time.Duration { return rt.op.Timeout }

// LatencyObjective is the time within which an answer counts as on time.
func (rt *Route) LatencyObjective() time.Duration { return rt.op.LatencyObjective }

// GapObjective is the longest pause between two events of a stream that counts as on time; 0 where none is promised.
func (rt *Route) GapObjective() time.Duration { return rt.op.GapObjective }

// Priority is the route's rank; 0 is the most urgent.
func (rt *Route) Priority() int { return rt.op.Priority }

// Attempts bounds the targets that one request may run on.
func (rt *Route) Attempts() int { return rt.op.Attempts }

// Public routes ask for no key.
func (rt *Route) Public() bool { return rt.op.Public }

// Resumable streams may go on at another target.
func (rt *Route) Resumable() bool { return rt.op.Resumable }

// Repeatable tells whether the route's requests may run more than once.
func (rt *Route) Repeatable() bool {
	return rt.op.Kind == Safe || rt.op.Kind == Stream && rt.op.Resumable
}

// PickService picks a service by the weights of the route; point lies in [0, 1).
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
