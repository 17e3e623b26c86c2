package leaser

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type ctx = context.Context

var background = context.Background()

// TestNeverTwoHolders runs random orders of calls, losses, pauses, cuts, outages, crashes and hand-overs.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := newWorld(3)
		wd.settle(time.Second)
		highest := uint64(0)
		holder := ""
		pick := func() *node {
			var names []string
			for name := range wd.nodes {
				names = append(names, name)
			}
			slices.Sort(names)
			return wd.nodes[rapid.SampledFrom(names).Draw(rt, "instance")]
		}
		deliver := func(lost bool) {
			if len(wd.flights) > 0 {
				wd.deliver(rapid.IntRange(0, len(wd.flights)-1).Draw(rt, "call"), lost)
			}
		}
		moves := map[string]func(*rapid.T){
			"run":       func(*rapid.T) { wd.run(pick()) },
			"run again": func(*rapid.T) { wd.run(pick()) },
			"deliver":   func(*rapid.T) { deliver(false) },
			"deliver 2": func(*rapid.T) { deliver(false) },
			"lose":      func(*rapid.T) { deliver(true) },
			"advance": func(*rapid.T) {
				wd.advance(rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 16 * time.Second}).Draw(rt, "by"))
			},
			"settle": func(*rapid.T) { wd.settle(time.Second) },
			"outage": func(*rapid.T) { wd.store.away = !wd.store.away },
			"pause":  func(*rapid.T) { nd := pick(); nd.paused = !nd.paused },
			"cut":    func(*rapid.T) { nd := pick(); nd.cut = !nd.cut },
			"leave":  func(*rapid.T) { nd := pick(); nd.inbox = append(nd.inbox, nd.machine.handOver) },
			"restart": func(*rapid.T) {
				wd.crash(pick().machine.self)
				wd.start()
			},
			"": func(rt *rapid.T) {
				acting := wd.acting()
				if len(acting) > 1 {
					rt.Fatalf("two holders at once: %v", wd)
				}
				if len(acting) == 1 && acting[0] != holder {
					fencing := wd.nodes[acting[0]].machine.records[wd.resource].hold.fencing
					if fencing <= highest {
						rt.Fatalf("fencing number %d after %d: %v", fencing, highest, wd)
					}
					holder, highest = acting[0], fencing
				}
			},
		}
		rt.Repeat(moves)
	})
}
