package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinitySlack is how much more load than the least loaded target a target with a cached prompt part may have once it is
	// busy, as a share of a target's slots.
	affinitySlack = 0.15
	// busyLoad is the load above which one more replica is requested. Above overloadedLoad, a request waits for a less loaded
	// target to load its adapter instead. Both are shares of a target's slots.
	busyLoad       = 0.6
	overloadedLoad = 1.1
	// minAffinityTokens is the prompt length, in tokens, from which a request prefers the target that may have cached its parts.
	minAffinityTokens = 1000
	// placementSlack is how much more load than the least loaded target the target that loads an adapter may have, as a share
	// of a target's slots.
	placementSlack = 0.5
)

// serves reports whether a target is believed to hold the adapter in a version that may serve the request.
func (st *targetState) serves(ne Request) bool {
	version, ok := st.adapters[ne.Adapter]
	return ok && version >= ne.Version
}

// canLoad reports whether a target does not serve the request, but its holder can have it load the adapter.
func (ba *Balancer) canLoad(st *targetState, ne Request, now time.Time) bool {
	_, ok := st.adapters[Adapter{Model: ne.Adapter.Model}]
	return ok && ba.loadingHolder(st, now) != "" && !st.serves(ne)
}

func (ba *Balancer) chooseEngine(ne Request, usable []*targetState, now time.Time) (*Choice, bool) {
	holding := make([]*targetState, 0, len(usable))
	for _, st := range usable {
		if st.serves(ne) {
			holding = append(holding, st)
		}
	}
	if len(holding) == 0 {
		return ba.chooseLoadTarget(ne, usable, now)
	}
	st, prefix := ba.chooseHolding(ne, ne.preferWarm(holding, now), now)
	// A target that was preferred for its cache is not the least loaded one.
	if st.loadWeight() > overloadedLoad && (prefix == nil || !prefix.ForCache) {
		if ch, ok := ba.chooseLoadTarget(ne, usable, now); ok && ch.load < busyLoad {
			return ch, true
		}
	}
	ch := ba.newChoice(st, now)
	ch.others, ch.version, ch.prefix = len(holding)-1, st.adapters[ne.Adapter], prefix
	if ne.Adapter.Name != "" {
		ba.addReplica(ch, ne, usable, holding, now)
	}
	return ch, true
}

// chooseHolding picks among targets that hold the adapter. It picks the least loaded one or, for long prompts, the one that has
// likely cached the session's parts, unless that one is much busier. Where cached parts are weighed, it picks by them instead
// and returns what the target is expected to have cached.
func (ba *Balancer) chooseHolding(ne Request, holding []*targetState, now time.Time) (*targetState, *PrefixEstimate) {
	if ba.weighsPrefix(ne) {
		if st, prefix := ba.chooseByPrefix(ne, holding, now); st != nil {
			return st, prefix
		}
	}
	best := ba.leastLoaded(ba.sample(ne, holding), ne.PromptTokens, now)
	shared := sharedPart(ne.Parts)
	if ne.PromptTokens < minAffinityTokens || shared == "" || len(holding) == 1 {
		return best, nil
	}
	cached := first(holding, hashAdapter(ne.Adapter)^xxhash.Sum64String(shared))
	extra := ba.extraWork(cached, ne.PromptTokens) - ba.extraWork(best, ne.PromptTokens)
	if cached.weight()+extra <= best.weight()+affinitySlack || cached.weight() <= busyLoad && extra <= affinitySlack {
		return cached, nil
	}
	return best, nil
}

// chooseLoadTarget picks the target that should load an adapter. It picks the first in rank that is not much busier than the
// least loaded one. Targets that hold an older version come last, as they have to wait for their running requests to end, and
// targets that name a rate limit only if there are no others, as the adapter would draw more requests there.
func (ba *Balancer) chooseLoadTarget(ne Request, usable []*targetState, now time.Time) (*Choice, bool) {
	candidates := make([]*targetState, 0, len(usable))
	var outdated []*targetState
	for _, st := range withoutRateLimit(usable) {
		if !ba.canLoad(st, ne, now) {
			continue
		}
		if _, held := st.adapters[ne.Adapter]; held {
			outdated = append(outdated, st)
			continue
		}
		candidates = append(candidates, st)
	}
	if len(candidates) == 0 {
		candidates = outdated
	}
	if len(candidates) == 0 || ne.Adapter.Name == "" || ne.HeldOnly {
		return nil, false
	}
	ch := ba.newChoice(first(ba.eligibleToLoad(ne, candidates), hashAdapter(ne.Adapter)), now)
	ch.holds = false
	return ch, true
}

// eligibleToLoad returns the candidates that are not much busier than the least loaded one or, for long prompts, that would not
// take much longer than the one that would take the shortest time.
func (ba *Balancer) eligibleToLoad(ne Request, candidates []*targetState) []*targetState {
	lowest := math.Inf(1)
	for _, st := range candidates {
		lowest = min(lowest, st.weight()+ba.extraPrefill(st, ne.PromptTokens))
	}
	eligible := candidates[:0]
	for _, st := range candidates {
		if st.weight()+ba.extraPrefill(st, ne.PromptTokens) <= lowest+placementSlack {
			eligible = append(eligible, st)
		}
	}
	return eligible
}

// addReplica adds a further target that should load the adapter if the adapter's demand or the load of the targets that hold
// it requires one.
func (ba *Balancer) addReplica(ch *Choice, ne Request, usable, holding []*targetState, now time.Time) {
	desired := max(ba.demand.replicas(ne.Adapter, len(usable), now), ba.fleet.replicas(ne.Adapter, len(usable)))
	if ch.load > busyLoad {
		desired = max(desired, len(holding)+1)
		ch.urgent = true
	}
	if ba.lacksLocalReplica(ne, holding) {
		ba.addLocalReplica(ch, ne, usable, now)
		return
	}
	if len(holding) >= desired {
		return
	}
	candidates := make([]*targetState, 0, len(usable))
	for _, st := range withoutRateLimit(usable) {
		if ba.canLoad(st, ne, now) && st.weight() <= busyLoad {
			candidates = append(candidates, st)
		}
	}
	if st := ba.randomOfFirst(candidates, hashAdapter(ne.Adapter), desired-len(holding)); st != nil {
		ch.spread, ch.spreadHolder = st.target, st.holder
	}
}

// lacksLocalReplica reports whether the instance's own failure domain should get a replica of an adapter that only targets of
// other domains hold.
func (ba *Balancer) lacksLocalReplica(ne Request, holding []*targetState) bool {
	if !ba.op.PreferLocal || ba.fleet.counts[ne.Adapter] < localReplicaDemand {
		return false
	}
	return !slices.ContainsFunc(holding, ba.isLocal)
}

// addLocalReplica adds the target of the instance's own failure domain that should load the adapter. All instances of the
// domain choose the same one.
func (ba *Balancer) addLocalReplica(ch *Choice, ne Request, usable []*targetState, now time.Time) {
	var candidates []*targetState
	for _, st := range withoutRateLimit(usable) {
		if ba.isLocal(st) && ba.canLoad(st, ne, now) && st.weight() <= busyLoad {
			candidates = append(candidates, st)
		}
	}
	if st := first(candidates, hashAdapter(ne.Adapter)); st != nil {
		ch.spread, ch.spreadHolder = st.target, st.holder
	}
}

// withoutRateLimit returns the targets that state no rate limit, or all of them if each one does.
func withoutRateLimit(states []*targetState) []*targetState {
	free := make([]*targetState, 0, len(states))
	for _, st := range states {
		if !st.rateLimited {
			free = append(free, st)
		}
	}
	if len(free) == 0 {
		return states
	}
	return free
}

// sharedPart returns the ID of the last part of a prompt that other requests are likely to share; empty if there is none. The
// very last part belongs to one request or session only. The parts that the requests of a session share come before it too.
func sharedPart(parts []PromptPart) string {
	switch count := len(parts); count {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	default:
		return parts[count-2].ID
	}
}
