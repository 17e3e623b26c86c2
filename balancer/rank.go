package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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

// Rank is a target's place, from 0, in the order in which targets are preferred for an adapter, among those believed to
// hold it.
func (ba *Balancer) Rank(target string, ad Adapter) int {
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
