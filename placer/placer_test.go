package placer

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

func newTargets(count int) []*wire.Target {
	targets := make([]*wire.Target, 0, count)
	for index := range count {
		targets = append(targets, &wire.Target{
			Id: fmt.Sprint("engine-", index), Kind: "engine", Base: "base", Slots: 8, Batch: 16,
			FailureDomain: fmt.Sprint("domain-", index%3), Region: "region",
		})
	}
	return targets
}

func newRequest(adapter string) *requester.Request {
	return requester.New(requester.Fields{Adapter: adapter, Version: "1", Base: "base", Organisation: "o"})
}

func newTestPlacer(targets []*wire.Target) *Placer {
	pl := New(Options{FailureDomain: "domain-0", Region: "region"})
	pl.Update(targets)
	return pl
}

// choose picks a target, ends the request at once and returns the target's ID.
func choose(t *testing.T, pl *Placer, adapter string, err error) string {
	t.Helper()
	rq := newRequest(adapter)
	tg, chooseErr := pl.Choose(rq, nil)
	if chooseErr != nil {
		return ""
	}
	pl.Finished(tg, rq, requester.NewUsage(1, 10, adapter, "1", 0, 0), time.Second, err)
	return tg.GetId()
}

func TestChoose(t *testing.T) {
	tests := map[string]func(*testing.T){
		"instances agree without communication": func(t *testing.T) {
			first, second := newTestPlacer(newTargets(12)), newTestPlacer(newTargets(12))
			for index := range 100 {
				name := fmt.Sprint("ad", index)
				if a, b := choose(t, first, name, nil), choose(t, second, name, nil); a != b {
					t.Fatalf("%s: %s and %s", name, a, b)
				}
			}
		},
		"removing a target moves only its own adapters": func(t *testing.T) {
			all, fewer := newTestPlacer(newTargets(12)), newTestPlacer(newTargets(11))
			for index := range 200 {
				name := fmt.Sprint("ad", index)
				if a, b := choose(t, all, name, nil), choose(t, fewer, name, nil); a != b && a != "engine-11" {
					t.Fatalf("%s moved from %s to %s", name, a, b)
				}
			}
		},
		"a leaving target gets no requests": func(t *testing.T) {
			targets := newTargets(3)
			pl := newTestPlacer(targets)
			targets[1].Leaving = true
			pl.Update(targets)
			for index := range 100 {
				if got := choose(t, pl, fmt.Sprint("ad", index), nil); got == "engine-1" {
					t.Fatal("chose the leaving target")
				}
			}
		},
		"a target of another base model is never chosen": func(t *testing.T) {
			targets := newTargets(2)
			targets[0].Base = "other"
			pl := newTestPlacer(targets)
			for index := range 50 {
				if got := choose(t, pl, fmt.Sprint("ad", index), nil); got != "engine-1" {
					t.Fatalf("chose %q", got)
				}
			}
		},
		"without targets the request is refused with a retry time": func(t *testing.T) {
			_, err := newTestPlacer(nil).Choose(newRequest("a"), nil)
			if rf := requester.AsRefusal(err); rf.Code() != requester.CodeNoTarget || rf.RetryAfter() == 0 {
				t.Errorf("error %v", err)
			}
		},
		"load spreads over targets": func(t *testing.T) {
			pl := newTestPlacer(newTargets(12))
			counts := map[string]int{}
			for range 96 {
				tg, err := pl.Choose(newRequest("hot"), nil)
				if err != nil {
					t.Fatal(err)
				}
				counts[tg.GetId()]++
			}
			for id, count := range counts {
				if count > 32 {
					t.Errorf("%d of 96 on %s", count, id)
				}
			}
		},
		"a failed load keeps the adapter off the target for a time": func(t *testing.T) {
			pl := newTestPlacer(newTargets(12))
			failed := choose(t, pl, "a", requester.Refuse(requester.CodeLoadFailed, "failed", 0))
			if got := choose(t, pl, "a", nil); got == failed {
				t.Error("chose the same target at once")
			}
			if got := choose(t, pl, "b", nil); got == "" {
				t.Error("other adapters are kept off too")
			}
		},
		"failing targets are ejected down to the floor": func(t *testing.T) {
			pl := newTestPlacer(newTargets(4))
			lost := errors.New("lost")
			for index := range 400 {
				choose(t, pl, fmt.Sprint("ad", index), requester.RefuseTargetLost(lost.Error()))
			}
			used := map[string]bool{}
			for index := range 200 {
				used[choose(t, pl, fmt.Sprint("ad", index), nil)] = true
			}
			if used[""] || len(used) < 2 {
				t.Errorf("in use: %v", used)
			}
		},
		"idle adapters are removed": func(t *testing.T) {
			pl := newTestPlacer(newTargets(12))
			for index := range 1000 {
				choose(t, pl, fmt.Sprint("ad", index), nil)
			}
			time.Sleep(5 * time.Minute)
			choose(t, pl, "another", nil)
			if count := len(pl.demands.active); count > 1 {
				t.Errorf("%d adapters counted", count)
			}
		},
		"replicas grow with use and shrink with hysteresis": func(t *testing.T) {
			pl := newTestPlacer(newTargets(12))
			key := adapterKey{"hot", "1"}
			for range 40 {
				if _, err := pl.Choose(newRequest("hot"), nil); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Minute)
			grown := pl.demands.replicas(key, 16, time.Now(), pl.options)
			pl.demands.active[key].inFlight = 30
			time.Sleep(time.Minute)
			if kept := pl.demands.replicas(key, 16, time.Now(), pl.options); grown < 4 || kept != grown {
				t.Errorf("replicas %d, then %d", grown, kept)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
	}
}

// BenchmarkChoose measures a choice in a region of 800 targets among 2,400, with 35,000 adapters in the lists.
func BenchmarkChoose(b *testing.B) {
	const targets, perRegion, adapters = 2400, 800, 35000
	all := newTargets(targets)
	for index, tg := range all {
		tg.Region = fmt.Sprint("region-", index/perRegion)
	}
	pl := New(Options{FailureDomain: "domain-0", Region: "region-0"})
	pl.Update(all)
	requests := make([]*requester.Request, 0, adapters)
	for index := range adapters {
		requests = append(requests, newRequest(fmt.Sprint("ad", index)))
	}
	us := requester.NewUsage(1, 10, "", "", 0, 0)
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		rq := requests[index%adapters]
		index++
		tg, err := pl.Choose(rq, nil)
		if err != nil {
			b.Fatal(err)
		}
		pl.Finished(tg, rq, us, time.Second, nil)
	}
}

// BenchmarkUpdate measures an update of the targets from the membership, which an instance does four times a second.
func BenchmarkUpdate(b *testing.B) {
	for _, count := range []int{18, 400, 2400} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			pl := New(Options{FailureDomain: "domain-0", Region: "region-0"})
			all := newTargets(count)
			b.ReportAllocs()
			for b.Loop() {
				pl.Update(all)
			}
		})
	}
}
