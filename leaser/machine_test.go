package leaser

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type ctx = context.Context

var background = context.Background()

// holderChecker records the last holder and the highest fencing number.
type holderChecker struct {
	holder  string
	highest uint64
}

// check fails if there are two holders at once, or if a new holder's fencing number does not increase. A nil checker
// checks nothing.
func (hc *holderChecker) check(rt rapid.TB, sm *simulation) {
	if hc == nil {
		return
	}
	acting := sm.acting()
	if len(acting) > 1 {
		rt.Fatalf("two holders at once: %v", sm)
	}
	if len(acting) == 0 || acting[0] == hc.holder {
		return
	}
	fencing := sm.nodes[acting[0]].machine.records[sm.resource].hold.fencing
	if fencing <= hc.highest {
		rt.Fatalf("fencing number %d after %d: %v", fencing, hc.highest, sm)
	}
	hc.holder, hc.highest = acting[0], fencing
}

// networkFaults are the probabilities that a call's answer is lost, and that a call is delayed to a later round.
type networkFaults struct {
	lossRate, delayRate float64
}

// runFor advances the simulation by span under the given faults.
func (sm *simulation) runFor(rt rapid.TB, hc *holderChecker, random *rand.Rand, span time.Duration, nf networkFaults) {
	const tick = 500 * time.Millisecond
	for end := sm.now.Add(span); sm.now.Before(end); sm.advance(tick) {
		for range 3 {
			for _, name := range sm.names() {
				sm.run(sm.nodes[name])
				hc.check(rt, sm)
			}
			for position := 0; position < len(sm.pendingCalls); {
				if random.Float64() < nf.delayRate {
					position++
					continue
				}
				sm.deliver(position, random.Float64() < nf.lossRate)
				hc.check(rt, sm)
			}
		}
	}
}

// TestAtMostOneHolder runs random sequences of lost and late calls, pauses, cut connections, outages, restarts and
// hand-overs.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := newSimulation(3)
		sm.settle(time.Second)
		hc := &holderChecker{}
		pick := func() *node { return sm.nodes[rapid.SampledFrom(sm.names()).Draw(rt, "instance")] }
		pass := func(rt *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
			level := rapid.SampledFrom([]float64{0, 0, 0.3, 0.8})
			span := rapid.IntRange(1, 20).Draw(rt, "seconds")
			sm.runFor(rt, hc, random, time.Duration(span)*time.Second, networkFaults{level.Draw(rt, "lose"), level.Draw(rt, "delay")})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"pass":       pass,
			"pass again": pass,
			"pass on":    pass,
			"outage":     func(*rapid.T) { sm.store.unreachable = !sm.store.unreachable },
			"pause":      func(*rapid.T) { nd := pick(); nd.paused = !nd.paused },
			"cut":        func(*rapid.T) { nd := pick(); nd.cut = !nd.cut },
			"leave":      func(*rapid.T) { nd := pick(); nd.inbox = append(nd.inbox, nd.machine.handOver) },
			"restart": func(*rapid.T) {
				sm.crash(pick().machine.self)
				sm.start()
			},
			"suspicion": func(*rapid.T) { sm.updateCandidatesWithout(pick().machine.self) },
			"":          func(rt *rapid.T) { hc.check(rt, sm) },
		})
	})
}

func (sm *simulation) names() []string {
	var names []string
	for name := range sm.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
