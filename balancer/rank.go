package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score orders targets by preference for an adapter, the lowest score first. All instances compute the same order without
// communication.
func score(adapter, target uint64) uint64 {
	mixed := (adapter ^ target) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	return mixed ^ mixed>>32
}

func hashAdapter(ad Adapter) uint64 { return xxhash.Sum64String(ad.Model + "/" + ad.Name) }

// first returns the target that ranks first; nil if there is none.
func first(states []*targetState, key uint64) *targetState {
	var best *targetState
	lowest := uint64(0)
	for _, st := range states {
		if sc := score(key, st.hash); best == nil || sc < lowest {
			best, lowest = st, sc
		}
	}
	return best
}

// Rank returns the position of a target, from 0, in the order of preference for an adapter, among the targets believed to
// hold it. It is 0 if the target is unknown.
func (ba *Balancer) Rank(target string, ad Adapter) int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return 0
	}
	key, position := hashAdapter(ad), 0
	for _, other := range ba.byService[st.target.Service()] {
		if _, holds := other.adapters[ad]; holds && score(key, other.hash) < score(key, st.hash) {
			position++
		}
	}
	return position
}

// randomOfFirst returns a random one of the first count targets in rank; nil if there is none. Instances that need several
// replicas thus do not all request the same one.
func (ba *Balancer) randomOfFirst(states []*targetState, key uint64, count int) *targetState {
	if len(states) == 0 {
		return nil
	}
	slices.SortFunc(states, func(a, b *targetState) int { return cmp.Compare(score(key, a.hash), score(key, b.hash)) })
	count = min(count, len(states))
	return states[min(int(ba.op.Random()*float64(count)), count-1)]
}
