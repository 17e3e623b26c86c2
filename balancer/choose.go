package balancer

import (
	"slices"
	"time"
)

// Request describes a request that needs a target.
type Request struct {
	// Service names the service.
	Service string
	// Adapter is the adapter that the request runs on. Requests to a plain service have no model.
	Adapter Adapter
	// Version is the lowest version of the adapter that may serve the request; 0 for any.
	Version int64
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// Excluded holds the IDs of the targets that have been tried.
	Excluded map[string]bool
	// HeldOnly allows only targets that hold the adapter already.
	HeldOnly bool
	// SameSoftware allows only targets whose software has the version Software; none if that is empty, as it is not known then.
	SameSoftware bool
	Software     string
	// Isolated allows only the target that ranks first for IsolationKey among those that can take the request or, if OneTarget
	// is set, among all, so that requests that may crash targets crash no others.
	Isolated     bool
	IsolationKey uint64
	OneTarget    bool
	// Admission enables the limits on the targets' memory and queues. Tokens is the memory that the request may take, and
	// Memory that of a target that has not reported its own; both in tokens, 0 for none.
	Admission bool
	Tokens    int
	Memory    int
	// Retry marks a retry of a request that the demand has counted already.
	Retry bool
	// Regions are the regions that the request may reach; nil for no restriction. A target whose region is not known is in none.
	Regions []string
	// PreferWarm restricts the choice to targets that are not cold, if there are any. It is set once the rate of a cold target
	// is used up.
	PreferWarm bool
}

// Choice is the target chosen for a request.
type Choice struct {
	target       *Target
	holds        bool
	holder       string
	spread       *Target
	spreadHolder string
	urgent       bool
	others       int
	load         float64
	loadAge      time.Duration
	occupancy    Occupancy
	version      int64
	prefix       *PrefixEstimate
}

// Target returns the target that the request should go to.
func (ch *Choice) Target() *Target { return ch.target }

// Holds reports whether the target is believed to hold the adapter. If not, Holder has to have it loaded first.
func (ch *Choice) Holds() bool { return ch.holds }

// Holder returns the instance that may order the target to load adapters; empty if none is known to be able to.
func (ch *Choice) Holder() string { return ch.holder }

// Alternatives returns the number of other targets that are believed to hold the adapter and could take the request.
func (ch *Choice) Alternatives() int { return ch.others }

// Load returns the target's estimated load as a share of its slots.
func (ch *Choice) Load() float64 { return ch.load }

// LoadAge returns the age of the last report of the target's load; 0 if there was none.
func (ch *Choice) LoadAge() time.Duration { return ch.loadAge }

// Version returns the version of the adapter that the target is assumed to hold; 0 if none.
func (ch *Choice) Version() int64 { return ch.version }

// Prefix returns what the target is expected to have cached of the prompt; nil where that did not count in the choice.
func (ch *Choice) Prefix() *PrefixEstimate { return ch.prefix }

// Replica returns a further target that should load the adapter because demand for it grows; nil for none.
func (ch *Choice) Replica() *Target { return ch.spread }

// ReplicaHolder returns the instance that may order the further target to load the adapter.
func (ch *Choice) ReplicaHolder() string { return ch.spreadHolder }

// Urgent reports whether the targets that hold the adapter are busy, so that the further
// target may evict another adapter for it.
func (ch *Choice) Urgent() bool { return ch.urgent }

// Choose picks the target for a request. It is false if no target can take the request.
func (ba *Balancer) Choose(ne Request) (*Choice, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	usable := ba.isolate(ne, ba.usable(ne, now))
	if ne.Admission {
		return ba.chooseWithRoom(ne, usable, now)
	}
	return ba.chooseAmong(ne, usable, now)
}

// chooseAmong picks one of the usable targets: the least loaded one or, for a request with an adapter, by the rules for engines.
func (ba *Balancer) chooseAmong(ne Request, usable []*targetState, now time.Time) (*Choice, bool) {
	if len(usable) == 0 {
		return nil, false
	}
	if ne.Adapter.Model == "" {
		return ba.newChoice(ba.leastLoaded(ba.sample(ne, ne.preferWarm(usable, now)), 0, now), now), true
	}
	if !ne.Retry {
		ba.demand.add(ne.Adapter, now)
	}
	return ba.chooseEngine(ne, ba.separate(ne, usable, now), now)
}

func (ba *Balancer) newChoice(st *targetState, now time.Time) *Choice {
	ch := &Choice{target: st.target, holds: true, load: st.weight(), holder: ba.loadingHolder(st, now)}
	if !st.loadAt.IsZero() {
		ch.loadAge = now.Sub(st.loadAt)
	}
	return ch
}

// usable returns the targets that may take the request. These are the targets that are not suspected. If all are, it returns
// the suspected ones, except unreachable targets that another request is probing already: a second request would wait for
// the same connection in vain.
func (ba *Balancer) usable(ne Request, now time.Time) []*targetState {
	all := ba.byService[ne.Service]
	candidates := make([]*targetState, 0, len(all))
	suspected := 0
	for _, st := range all {
		if st.unavailable(now) || !ne.allowsState(st) {
			continue
		}
		if now.Before(st.suspectUntil) {
			suspected++
			continue
		}
		candidates = append(candidates, st)
	}
	if len(candidates) > 0 || suspected == 0 {
		return candidates
	}
	for _, st := range all {
		probed := st.unreachable && st.probes > 0
		if !st.unavailable(now) && ne.allowsState(st) && !probed {
			candidates = append(candidates, st)
		}
	}
	return candidates
}

// isolate returns the one target to which an isolated request may go, if it is usable; all usable ones for other requests.
func (ba *Balancer) isolate(ne Request, usable []*targetState) []*targetState {
	if !ne.Isolated {
		return usable
	}
	among := usable
	if ne.OneTarget {
		among = nil
		for _, st := range ba.byService[ne.Service] {
			if !st.closed() && ne.allowsState(st) {
				among = append(among, st)
			}
		}
	}
	only := first(among, ne.IsolationKey)
	if only == nil || !slices.Contains(usable, only) {
		return nil
	}
	return []*targetState{only}
}

// allows reports whether the request may go to a target.
func (ne Request) allows(ta *Target) bool {
	if ne.SameSoftware && ne.Software == "" {
		return false
	}
	return !ne.Excluded[ta.ID()] && (!ne.SameSoftware || ta.Software() == ne.Software)
}

// allowsState reports whether the request may go to a target, also by the target's region.
func (ne Request) allowsState(st *targetState) bool {
	return ne.allows(st.target) && st.inRegions(ne.Regions)
}

// Software returns the number of targets of a service by version of their software, without those whose version is not known.
func (ba *Balancer) Software(service string) map[string]int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	counts := make(map[string]int)
	for _, st := range ba.byService[service] {
		if software := st.target.Software(); software != "" {
			counts[software]++
		}
	}
	return counts
}

// loadingHolder returns the instance that can order the target to load now; empty if none is known to be able to.
func (ba *Balancer) loadingHolder(st *targetState, now time.Time) string {
	if now.Sub(st.updatedAt) > max(maxMissedUpdates*ba.op.Interval(), minHolderTimeout) {
		return ""
	}
	return st.holder
}
