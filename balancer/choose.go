package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreadPerSlot is the number of prompt tokens not yet read that weigh as much as a whole target's slots.
	unreadPerSlot = 25000
	// failurePenalty is what a target that fails all its requests weighs more, in shares of its slots.
	failurePenalty = 2.0
	// overduePenalty is what each overdue request of the instance's own adds.
	overduePenalty = 0.35
	// otherDomainPenalty prefers targets in the instance's own failure domain among equals.
	otherDomainPenalty = 0.02
	// jitter keeps instances with the same beliefs from all choosing the same target. The older the word on a target's
	// load, the less it decides: jitterPerSecond is added for its age, up to mostJitter, in shares of a target's slots.
	jitter          = 0.04
	jitterPerSecond = 0.25
	mostJitter      = 0.5
	// affinitySlack is how much busier than the idlest a target with a kept prompt part may be.
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

// Need is what a request needs of a target.
type Need struct {
	// Service names the service.
	Service string
	// Adapter is what the request runs on; without a model it is a request to a plain service.
	Adapter Adapter
	// Version is the least version of the adapter that may serve it; 0 for any.
	Version int64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// LastPart is the prompt part that belongs to the request's session.
	LastPart string
	// Excluded are targets that have been tried.
	Excluded map[string]bool
	// HeldOnly asks for targets that hold the adapter already.
	HeldOnly bool
	// Again marks a further try of a request that has been counted in the demand.
	Again bool
}

// Choice is the target for a request.
type Choice struct {
	target *Target
	holds  bool
	holder string
	spread *Target
	by     string
	urgent bool
	load   float64
	age    time.Duration
}

// Target is where the request should go.
func (ch *Choice) Target() *Target { return ch.target }

// Holds tells whether the target is believed to hold the adapter; if not, Holder has to load it first.
func (ch *Choice) Holds() bool { return ch.holds }

// Holder is the instance that may order the target to load.
func (ch *Choice) Holder() string { return ch.holder }

// Load is the target's believed load, in shares of its slots, and Age how old its last word on it is.
func (ch *Choice) Load() float64 { return ch.load }

// Age is how old the target's last word on its load is; 0 if it never gave one.
func (ch *Choice) Age() time.Duration { return ch.age }

// Spread is a further target that should load the adapter, as its demand grows; nil for none. SpreadHolder may order it.
func (ch *Choice) Spread() *Target { return ch.spread }

// SpreadHolder is the instance that may order Spread to load.
func (ch *Choice) SpreadHolder() string { return ch.by }

// Urgent tells that the targets that hold the adapter are crowded, so that Spread may push out another adapter.
func (ch *Choice) Urgent() bool { return ch.urgent }

// Choose picks the target for a request; ok is false where no target could take it.
func (ba *Balancer) Choose(ne Need) (*Choice, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	usable := ba.usable(ne, now)
	if len(usable) == 0 {
		return nil, false
	}
	if ne.Adapter.Model == "" {
		return ba.choice(ba.idlest(usable, now), now), true
	}
	if !ne.Again {
		ba.demand.add(ne.Adapter, now)
	}
	return ba.chooseEngine(ne, usable, now)
}

func (ba *Balancer) choice(st *state, now time.Time) *Choice {
	ch := &Choice{target: st.target, holds: true, load: st.weight(), holder: st.loadingHolder(now)}
	if !st.loadAt.IsZero() {
		ch.age = now.Sub(st.loadAt)
	}
	return ch
}

// usable returns the targets that may take the request: those not suspected, or else all but those that cannot be
// reached and are being tried already: waiting for the same connection again would be in vain.
func (ba *Balancer) usable(ne Need, now time.Time) []*state {
	all := ba.service[ne.Service]
	open := make([]*state, 0, len(all))
	suspected := 0
	for _, st := range all {
		if st.target.Draining() || ne.Excluded[st.target.ID()] {
			continue
		}
		if now.Before(st.suspectUntil) {
			suspected++
			continue
		}
		open = append(open, st)
	}
	if len(open) > 0 || suspected == 0 {
		return open
	}
	for _, st := range all {
		hopeless := st.unreachable && st.probes > 0
		if !st.target.Draining() && !ne.Excluded[st.target.ID()] && !hopeless {
			open = append(open, st)
		}
	}
	return open
}

// weight is the believed load of a target, in shares of its slots.
func (st *state) weight() float64 {
	requests := max(st.load+st.inFlight-st.inFlightThen, st.inFlight)
	weight := float64(requests) / float64(max(st.target.Slots(), 1))
	weight += float64(st.unread) / unreadPerSlot
	weight += st.failureShare * failurePenalty
	return weight + float64(st.overdue)*overduePenalty
}

// cost is what speaks against a target: its believed load, with chance where that is not certain.
func (ba *Balancer) cost(st *state, now time.Time) float64 {
	spread := min(jitter+jitterPerSecond*now.Sub(st.loadAt).Seconds(), mostJitter)
	cost := st.weight() + ba.op.Random()*spread
	if st.target.FailureDomain() != ba.op.FailureDomain {
		cost += otherDomainPenalty
	}
	return cost
}

func (ba *Balancer) idlest(states []*state, now time.Time) *state {
	best, least := states[0], ba.cost(states[0], now)
	for _, st := range states[1:] {
		if cost := ba.cost(st, now); cost < least {
			best, least = st, cost
		}
	}
	return best
}

// loadingHolder is the instance that can order the target to load now; empty if none is known to.
func (st *state) loadingHolder(now time.Time) string {
	if now.Sub(st.heardAt) > holderSilence {
		return ""
	}
	return st.holder
}

// rank is a target's place in the order in which targets are preferred for an adapter: the lowest first. All
// instances agree on it without a message.
func rank(adapter, target uint64) uint64 {
	mixed := (adapter ^ target) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	return mixed ^ mixed>>32
}

func hashAdapter(ad Adapter) uint64 { return xxhash.Sum64String(ad.Model + "/" + ad.Name) }

// first returns the state that is first in rank; nil if there is none.
func first(states []*state, by uint64) *state {
	var best *state
	lowest := uint64(0)
	for _, st := range states {
		if place := rank(by, st.hash); best == nil || place < lowest {
			best, lowest = st, place
		}
	}
	return best
}

// Place is a target's place, from 0, in the order in which targets are preferred for an adapter, among those believed to
// hold it.
func (ba *Balancer) Place(target string, ad Adapter) int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return 0
	}
	by, place := hashAdapter(ad), 0
	for _, other := range ba.service[st.target.Service()] {
		if _, holds := other.adapters[ad]; holds && rank(by, other.hash) < rank(by, st.hash) {
			place++
		}
	}
	return place
}

func (ba *Balancer) chooseEngine(ne Need, usable []*state, now time.Time) (*Choice, bool) {
	holding := make([]*state, 0, len(usable))
	for _, st := range usable {
		if version, ok := st.adapters[ne.Adapter]; ok && version >= ne.Version {
			holding = append(holding, st)
		}
	}
	if len(holding) == 0 {
		return ba.chooseLoader(ne, usable, now)
	}
	st := ba.chooseHolding(ne, holding, now)
	if st.weight() > overfull {
		if ch, ok := ba.chooseLoader(ne, usable, now); ok && ch.load < crowded {
			return ch, true
		}
	}
	ch := ba.choice(st, now)
	if ne.Adapter.Name != "" {
		ba.addSpread(ch, ne, usable, holding, now)
	}
	return ch, true
}

// chooseHolding picks among targets that hold the adapter: the idlest, or for long prompts the one where the
// session's parts are likely kept, unless it is much busier.
func (ba *Balancer) chooseHolding(ne Need, holding []*state, now time.Time) *state {
	best := ba.idlest(holding, now)
	if ne.PromptTokens < longPrompt || ne.LastPart == "" || len(holding) == 1 {
		return best
	}
	kept := first(holding, hashAdapter(ne.Adapter)^xxhash.Sum64String(ne.LastPart))
	if kept.weight() <= best.weight()+affinitySlack {
		return kept
	}
	return best
}

// chooseLoader picks the target that should load an adapter that none holds: the first in rank that is not much
// busier than the idlest. A target that holds an older version comes last: it waits for its runs to end first.
func (ba *Balancer) chooseLoader(ne Need, usable []*state, now time.Time) (*Choice, bool) {
	base := Adapter{Model: ne.Adapter.Model}
	able := make([]*state, 0, len(usable))
	var outdated []*state
	for _, st := range usable {
		if _, ok := st.adapters[base]; !ok || st.loadingHolder(now) == "" {
			continue
		}
		version, held := st.adapters[ne.Adapter]
		if held && version >= ne.Version {
			continue
		}
		if held {
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
func (ba *Balancer) addSpread(ch *Choice, ne Need, usable, holding []*state, now time.Time) {
	wanted := ba.demand.replicas(ne.Adapter, len(usable), now)
	if ch.load > crowded {
		wanted = max(wanted, len(holding)+1)
		ch.urgent = true
	}
	if len(holding) >= wanted {
		return
	}
	base := Adapter{Model: ne.Adapter.Model}
	able := make([]*state, 0, len(usable))
	for _, st := range usable {
		version, holds := st.adapters[ne.Adapter]
		if holds && version >= ne.Version {
			continue
		}
		if _, ok := st.adapters[base]; ok && st.loadingHolder(now) != "" && st.weight() <= crowded {
			able = append(able, st)
		}
	}
	if st := ba.oneOfFirst(able, hashAdapter(ne.Adapter), wanted-len(holding)); st != nil {
		ch.spread, ch.by = st.target, st.holder
	}
}

// oneOfFirst returns one of the first states in rank, by chance; nil if there is none. Instances that want several
// replicas so do not all ask for the same one.
func (ba *Balancer) oneOfFirst(states []*state, by uint64, count int) *state {
	if len(states) == 0 {
		return nil
	}
	slices.SortFunc(states, func(a, b *state) int { return cmp.Compare(rank(by, a.hash), rank(by, b.hash)) })
	count = min(count, len(states))
	return states[min(int(ba.op.Random()*float64(count)), count-1)]
}
