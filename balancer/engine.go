package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinitySlack is how much busier than the idlest a target with a kept prompt part may be once it is crowded.
	affinitySlack = 0.15
	// crowded is the load at which one more replica is wanted, and overfull that at which a request rather waits for
	// an idler target to load its adapter, in shares of a target's slots.
	crowded  = 0.6
	overfull = 1.1
	// longPrompt is the number of tokens from which a prompt is worth sending where its parts may be kept.
	longPrompt = 1000
	// homeSlack is how much busier than the idlest the first target in rank may be to load an adapter.
	homeSlack = 0.5
)

// serves tells whether a target is believed to hold the adapter in a version that may serve the request.
func (st *state) serves(ne Request) bool {
	version, ok := st.adapters[ne.Adapter]
	return ok && version >= ne.Version
}

// loads tells whether a target does not serve the request, but its holder can have it load the adapter.
func (ba *Balancer) loads(st *state, ne Request, now time.Time) bool {
	_, ok := st.adapters[Adapter{Model: ne.Adapter.Model}]
	return ok && ba.loadingHolder(st, now) != "" && !st.serves(ne)
}

func (ba *Balancer) chooseEngine(ne Request, usable []*state, now time.Time) (*Choice, bool) {
	holding := make([]*state, 0, len(usable))
	for _, st := range usable {
		if st.serves(ne) {
			holding = append(holding, st)
		}
	}
	if len(holding) == 0 {
		return ba.chooseLoader(ne, usable, now)
	}
	st := ba.chooseHolding(ne, holding, now)
	if st.loadWeight() > overfull {
		if ch, ok := ba.chooseLoader(ne, usable, now); ok && ch.load < crowded {
			return ch, true
		}
	}
	ch := ba.choice(st, now)
	ch.others = len(holding) - 1
	if ne.Adapter.Name != "" {
		ba.addSpread(ch, ne, usable, holding, now)
	}
	return ch, true
}

// chooseHolding picks among targets that hold the adapter: the idlest, or for long prompts the one where the
// session's parts are likely kept, unless it is much busier.
func (ba *Balancer) chooseHolding(ne Request, holding []*state, now time.Time) *state {
	best := ba.idlest(holding, now)
	shared := sharedPart(ne.Parts)
	if ne.PromptTokens < longPrompt || shared == "" || len(holding) == 1 {
		return best
	}
	kept := first(holding, hashAdapter(ne.Adapter)^xxhash.Sum64String(shared))
	if kept.weight() <= max(best.weight()+affinitySlack, crowded) {
		return kept
	}
	return best
}

// chooseLoader picks the target that should load an adapter that none holds: the first in rank that is not much
// busier than the idlest. A target that holds an older version comes last: it waits for its runs to end first.
func (ba *Balancer) chooseLoader(ne Request, usable []*state, now time.Time) (*Choice, bool) {
	able := make([]*state, 0, len(usable))
	var outdated []*state
	for _, st := range usable {
		if !ba.loads(st, ne, now) {
			continue
		}
		if _, held := st.adapters[ne.Adapter]; held {
			outdated = append(outdated, st)
			continue
		}
		able = append(able, st)
	}
	if len(able) == 0 {
		able = outdated
	}
	if len(able) == 0 || ne.Adapter.Name == "" || ne.HeldOnly {
		return nil, false
	}
	least := able[0].weight()
	for _, st := range able[1:] {
		least = min(least, st.weight())
	}
	calm := able[:0]
	for _, st := range able {
		if st.weight() <= least+homeSlack {
			calm = append(calm, st)
		}
	}
	ch := ba.choice(first(calm, hashAdapter(ne.Adapter)), now)
	ch.holds = false
	return ch, true
}

// addSpread names a further target to load the adapter where its share of the demand or the load of those that hold
// it asks for one.
func (ba *Balancer) addSpread(ch *Choice, ne Request, usable, holding []*state, now time.Time) {
	wanted := max(ba.demand.replicas(ne.Adapter, len(usable), now), ba.fleet.replicas(ne.Adapter, len(usable)))
	if ch.load > crowded {
		wanted = max(wanted, len(holding)+1)
		ch.urgent = true
	}
	if len(holding) >= wanted {
		return
	}
	able := make([]*state, 0, len(usable))
	for _, st := range usable {
		if ba.loads(st, ne, now) && st.weight() <= crowded {
			able = append(able, st)
		}
	}
	if st := ba.oneOfFirst(able, hashAdapter(ne.Adapter), wanted-len(holding)); st != nil {
		ch.spread, ch.by = st.target, st.holder
	}
}

// sharedPart names the last part of a prompt that other requests are likely to have as well; empty if there is none. The
// very last part belongs to the request or its session alone, and what a session has in common comes before it too.
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
