package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All instances together never grant more than one exact bucket would, under pauses, restarts, network partitions,
// lost messages, hand-overs and plan changes.
func TestNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settles := rapid.Bool().Draw(rt, "settles")
		fl := newFleet(rapid.Uint64().Draw(rt, "seed"), 3, 7, 1000, 4000, Options{})
		fl.run(fl.now.Add(2 * tickInterval))
		anyNode := func() *node { return fl.nodes[rapid.IntRange(0, len(fl.nodes)-1).Draw(rt, "node")] }
		anyBucket := func() string { return rapid.SampledFrom(fl.buckets()).Draw(rt, "bucket") }
		rt.Repeat(map[string]func(*rapid.T){
			"charges": func(rt *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(rt, "requests") {
					no, cost := anyNode(), rapid.Int64Range(1, 900).Draw(rt, "cost")
					fl.charge(no, cost, 2*time.Second, func(rs result) {
						if rs.refusal == nil && settles {
							fl.after(time.Second, func() { fl.settle(no, rs, cost/3) })
						}
					})
				}
			},
			"pause": func(rt *rapid.T) {
				fl.pause(anyNode(), time.Duration(rapid.IntRange(10, 8000).Draw(rt, "ms"))*time.Millisecond)
			},
			"restart": func(*rapid.T) {
				no := anyNode()
				if !no.dead {
					no.dead = true
					fl.addNode(no.domain, fl.rate, fl.burst)
				}
			},
			"cut":  func(rt *rapid.T) { fl.isolated[fl.domains[0]] = rapid.Bool().Draw(rt, "cut") },
			"loss": func(rt *rapid.T) { fl.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "loss") },
			"hand-over": func(*rapid.T) {
				fl.handOver(anyBucket())
			},
			"plan": func(rt *rapid.T) {
				rate := rapid.Float64Range(100, 2000).Draw(rt, "rate")
				fl.setPlan(rate, 4*rate)
			},
			"time": func(rt *rapid.T) {
				fl.run(fl.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond))
			},
			"": func(rt *rapid.T) {
				if fl.exact.lowest < -0.01 {
					rt.Fatalf("granted %.2f tokens over rate and burst", -fl.exact.lowest)
				}
			},
		})
	})
}

// Every charged token is either used or returned to the bucket.
func TestSettleIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newFleet(1, 1, 1, 1e-9, 100000, Options{})
		no := fl.nodes[0]
		fl.run(fl.now.Add(tickInterval))
		var used int64
		for _, cost := range rapid.SliceOfN(rapid.Int64Range(0, 500), 1, 40).Draw(rt, "costs") {
			spent := rapid.Int64Range(0, cost).Draw(rt, "used")
			used += spent
			fl.charge(no, cost, time.Second, func(rs result) { fl.settle(no, rs, cost-spent) })
		}
		fl.run(fl.now.Add(time.Second))
		ac := no.st.accounts[testOrganisation]
		if left := ac.pool.floor.level + ac.pool.home.level; int64(left+0.5) != 100000-used {
			rt.Fatalf("%.3f tokens left after %d of 100000 were used", left, used)
		}
	})
}
