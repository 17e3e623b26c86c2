package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxFreshInterval is the update interval up to which a request chooses among all uneven targets that hold its adapter.
	maxFreshInterval = 500 * time.Millisecond
	// With outdated views, the least loaded of all candidates is the same for all instances, and requests wait there while
	// others have free slots. A sample bounds the share of the requests that any target gets: unevenSample where targets differ
	// in speed, and admissionSample with admission control.
	unevenSample    = 6
	admissionSample = 2
)

// sample returns the targets among which a request chooses: all, or some of them, drawn at random. With Options.PreferLocal, up
// to the same number is drawn from the instance's own failure domain and from the others.
func (ba *Balancer) sample(ne Request, states []*targetState) []*targetState {
	size := ba.sampleSize(ne, states)
	if !ba.op.PreferLocal {
		return ba.draw(states, size)
	}
	local := selectStates(states, ba.isLocal)
	others := selectStates(states, func(st *targetState) bool { return !ba.isLocal(st) })
	return append(ba.draw(local, size), ba.draw(others, size)...)
}

// sampleSize returns the number of targets that sample draws.
func (ba *Balancer) sampleSize(ne Request, states []*targetState) int {
	uneven := func(st *targetState) bool { return ba.op.Slowness(st.target.Start()) != 1 }
	switch {
	case ne.Admission:
		return admissionSample
	case ba.op.Interval() > maxFreshInterval && len(states) > unevenSample && slices.ContainsFunc(states, uneven):
		return unevenSample
	default:
		return len(states)
	}
}

// draw draws some of the targets at random, each with a probability proportional to its speed.
func (ba *Balancer) draw(states []*targetState, size int) []*targetState {
	if len(states) <= size {
		return states
	}
	type drawn struct {
		st  *targetState
		key float64
	}
	draws := make([]drawn, len(states))
	for at, st := range states {
		// The lowest of exponential variables picks each with a probability proportional to its rate.
		draws[at] = drawn{st, -math.Log(1-ba.op.Random()) * ba.op.Slowness(st.target.Start())}
	}
	slices.SortFunc(draws, func(a, b drawn) int { return cmp.Compare(a.key, b.key) })
	sample := make([]*targetState, size)
	for at := range sample {
		sample[at] = draws[at].st
	}
	return sample
}
