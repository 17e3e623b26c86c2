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

// watch remembers the last holder, to compare fencing numbers.
type watch struct {
	holder  string
	highest uint64
}

// check fails on two holders at once, and on a fencing number that does not go up. A nil watch checks nothing.
func (wt *watch) check(rt rapid.TB, wd *world) {
	if wt == nil {
		return
	}
	acting := wd.acting()
	if len(acting) > 1 {
		rt.Fatalf("two holders at once: %v", wd)
	}
	if len(acting) == 0 || acting[0] == wt.holder {
		return
	}
	fencing := wd.nodes[acting[0]].machine.records[wd.resource].hold.fencing
	if fencing <= wt.highest {
		rt.Fatalf("fencing number %d after %d: %v", fencing, wt.highest, wd)
	}
	wt.holder, wt.highest = acting[0], fencing
}

// weather says what becomes of calls for a while.
type weather struct {
	lose, delay float64
}

// pass lets time pass in a given weather.
func (wd *world) pass(rt rapid.TB, wt *watch, random *rand.Rand, span time.Duration, wr weather) {
	const tick = 500 * time.Millisecond
	for end := wd.now.Add(span); wd.now.Before(end); wd.advance(tick) {
		for range 3 {
			for _, name := range wd.names() {
				wd.run(wd.nodes[name])
				wt.check(rt, wd)
			}
			for position := 0; position < len(wd.flights); {
				if random.Float64() < wr.delay {
					position++
					continue
				}
				wd.deliver(position, random.Float64() < wr.lose)
				wt.check(rt, wd)
			}
		}
	}
}

// TestNeverTwoHolders runs random orders of lost and late calls, pauses, cuts, outages, restarts and hand-overs.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := newWorld(3)
		wd.settle(time.Second)
		wt := &watch{}
		pick := func() *node { return wd.nodes[rapid.SampledFrom(wd.names()).Draw(rt, "instance")] }
		pass := func(rt *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
			level := rapid.SampledFrom([]float64{0, 0, 0.3, 0.8})
			span := rapid.IntRange(1, 20).Draw(rt, "seconds")
			wd.pass(rt, wt, random, time.Duration(span)*time.Second, weather{level.Draw(rt, "lose"), level.Draw(rt, "delay")})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"pass":       pass,
			"pass again": pass,
			"pass on":    pass,
			"outage":     func(*rapid.T) { wd.store.away = !wd.store.away },
			"pause":      func(*rapid.T) { nd := pick(); nd.paused = !nd.paused },
			"cut":        func(*rapid.T) { nd := pick(); nd.cut = !nd.cut },
			"leave":      func(*rapid.T) { nd := pick(); nd.inbox = append(nd.inbox, nd.machine.handOver) },
			"restart": func(*rapid.T) {
				wd.crash(pick().machine.self)
				wd.start()
			},
			"suspicion": func(*rapid.T) { wd.suspect(pick().machine.self) },
			"":          func(rt *rapid.T) { wt.check(rt, wd) },
		})
	})
}

func (wd *world) names() []string {
	var names []string
	for name := range wd.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
