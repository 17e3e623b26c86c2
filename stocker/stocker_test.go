package stocker_test

import (
	"strconv"
	"testing"
	"time"

	"lovagebank/balancer"
	"lovagebank/router"
	"lovagebank/stocker"
)

const model = "base"

func engine(slots int) *router.Engine {
	return &router.Engine{
		AdapterSlots: slots, WeightsMB: 1000,
		Models: []router.Model{{Name: model, WeightsMB: 500, AdapterMB: 10, LoadTime: time.Second}},
	}
}

func adapter(name string) balancer.Adapter { return balancer.Adapter{Model: model, Name: name} }

// holding builds a stock that holds adapters since long ago.
func holding(slots int, now time.Time, names ...string) *stocker.Stock {
	sk := stocker.New(engine(slots))
	adapters := make(map[string]int64)
	for _, name := range names {
		adapters[name] = 1
	}
	sk.Observe([]balancer.Resident{{Model: model, Version: 1, Adapters: adapters}}, nil, now.Add(-time.Minute))
	return sk
}

// load has the engine load an adapter in its newest version.
func load(sk *stocker.Stock, name string, begin, end time.Time) {
	sp := stocker.Step{Load: true, Adapter: adapter(name)}
	sk.Started(sp, begin)
	sk.Done(sp, end)
}

// replacing builds a stock that replaces an adapter by its next version.
func replacing(now time.Time) *stocker.Stock {
	sk := holding(2, now, "x")
	sk.Started(stocker.Step{Load: true, Adapter: adapter("x"), Version: 2}, now)
	return sk
}

func TestJudge(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		stock func() *stocker.Stock
		want  stocker.Requirement
		is    stocker.Decision
		order stocker.Step
	}{
		"held": {
			stock: func() *stocker.Stock { return holding(2, now, "x") },
			want:  stocker.Requirement{Adapter: adapter("x")}, is: stocker.Ready,
		},
		"held in an older version": {
			stock: func() *stocker.Stock { return holding(2, now, "x") },
			want:  stocker.Requirement{Adapter: adapter("x"), Version: 2}, is: stocker.NeedsLoad,
			order: stocker.Step{Load: true, Adapter: adapter("x"), Version: 2},
		},
		// The pattern of ipva-hq-grown quiet-1, 4 to 6 s: the only engine that holds a popular adapter replaces it by a new
		// version once the requests on it have ended. Whoever does not wait goes to another engine.
		"about to be replaced": {
			stock: func() *stocker.Stock { return replacing(now) },
			want:  stocker.Requirement{Adapter: adapter("x"), Version: 2}, is: stocker.Pending,
		},
		"replaced later than its load takes": {
			stock: func() *stocker.Stock {
				sk := replacing(now)
				sk.Postpone(adapter("x"), now.Add(time.Second))
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("x"), Version: 2}, is: stocker.Busy,
		},
		"replaced at last": {
			stock: func() *stocker.Stock {
				sk := replacing(now)
				sk.Postpone(adapter("x"), now.Add(time.Second))
				sk.Done(stocker.Step{Load: true, Adapter: adapter("x"), Version: 2}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("x"), Version: 2}, is: stocker.Ready,
		},
		"with a free slot": {
			stock: func() *stocker.Stock { return holding(2, now, "x") },
			want:  stocker.Requirement{Adapter: adapter("y")}, is: stocker.NeedsLoad,
			order: stocker.Step{Load: true, Adapter: adapter("y")},
		},
		"the least used adapter goes": {
			stock: func() *stocker.Stock {
				sk := holding(2, now, "x", "y")
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Sent: 3}}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.NeedsUnload, order: stocker.Step{Adapter: adapter("y")},
		},
		"an adapter in use stays": {
			stock: func() *stocker.Stock {
				sk := holding(2, now, "x", "y")
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Sent: 3}, adapter("y"): {Running: 1}}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.NeedsUnload, order: stocker.Step{Adapter: adapter("x")},
		},
		"all in use": {
			stock: func() *stocker.Stock {
				sk := holding(1, now, "x")
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Running: 1}}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.Full,
		},
		"a further replica pushes nothing of use out": {
			stock: func() *stocker.Stock {
				sk := holding(1, now, "x")
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Sent: 2}}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z"), ExtraReplica: true}, is: stocker.Full,
		},
		"what is loaded for a request stays until it is used": {
			stock: func() *stocker.Stock {
				sk := holding(1, now)
				load(sk, "x", now, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.Full,
		},
		"a slot is free again once the use of what it holds has ended": {
			stock: func() *stocker.Stock {
				sk := holding(1, now)
				load(sk, "x", now.Add(-400*time.Millisecond), now.Add(-150*time.Millisecond))
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Sent: 1}}, now.Add(-100*time.Millisecond))
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.NeedsUnload, order: stocker.Step{Adapter: adapter("x")},
		},
		// The pattern of ipva-hq-grown hunt-7375-7, 13 to 40 s: instances tell of their uses every 1.4 s, and a third of what
		// was unloaded was still in use by whoever had asked for it a second before.
		"an adapter whose use may not have been told yet goes after one that is known to be idle": {
			stock: func() *stocker.Stock {
				sk := holding(2, now, "x")
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Sent: 3}}, now)
				load(sk, "y", now.Add(-1200*time.Millisecond), now.Add(-950*time.Millisecond))
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.NeedsUnload, order: stocker.Step{Adapter: adapter("x")},
		},
		"where nothing else is idle, an adapter whose use may not have been told goes": {
			stock: func() *stocker.Stock {
				sk := holding(2, now, "x")
				sk.RecordUse("peer", map[balancer.Adapter]balancer.Use{adapter("x"): {Running: 1}}, now)
				load(sk, "y", now.Add(-1200*time.Millisecond), now.Add(-950*time.Millisecond))
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.NeedsUnload, order: stocker.Step{Adapter: adapter("y")},
		},
		// The pattern of ipva-hq-grown hunt-7375-7, 4.2 s: a new version is named while the adapter is under way. An engine
		// answers a second load like the first one and does not count it.
		"under way itself, perhaps in an older version": {
			stock: func() *stocker.Stock {
				sk := holding(2, now)
				sk.Started(stocker.Step{Load: true, Adapter: adapter("z")}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z"), Version: 2}, is: stocker.Pending,
		},
		"four under way": {
			stock: func() *stocker.Stock {
				sk := holding(9, now)
				for number := range 4 {
					sk.Started(stocker.Step{Load: true, Adapter: adapter(strconv.Itoa(number))}, now)
				}
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.Busy,
		},
		"under way itself": {
			stock: func() *stocker.Stock {
				sk := holding(2, now)
				sk.Started(stocker.Step{Load: true, Adapter: adapter("z")}, now)
				return sk
			},
			want: stocker.Requirement{Adapter: adapter("z")}, is: stocker.Pending,
		},
		"an engine that restarted empty loads its base model first": {
			stock: func() *stocker.Stock { return stocker.New(engine(2)) },
			want:  stocker.Requirement{Adapter: adapter("z")}, is: stocker.Pending,
		},
		"the base model": {
			stock: func() *stocker.Stock { return stocker.New(engine(2)) },
			want:  stocker.Requirement{Adapter: balancer.Adapter{Model: model}}, is: stocker.NeedsLoad,
			order: stocker.Step{Load: true, Adapter: balancer.Adapter{Model: model}},
		},
		"a second base model without memory": {
			stock: func() *stocker.Stock {
				en := engine(2)
				en.Models = append(en.Models, router.Model{Name: "other", WeightsMB: 600})
				sk := stocker.New(en)
				sk.Observe([]balancer.Resident{{Model: model, Version: 1}}, nil, now)
				return sk
			},
			want: stocker.Requirement{Adapter: balancer.Adapter{Model: "other"}}, is: stocker.Full,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is, order := tt.stock().Evaluate(tt.want, now)
			if is != tt.is || order != tt.order {
				t.Errorf("judged %v with %+v, want %v with %+v", is, order, tt.is, tt.order)
			}
		})
	}
}

func TestOutdated(t *testing.T) {
	now := time.Now()
	sk := holding(3, now, "x", "y")
	wants := sk.Outdated(func(ad balancer.Adapter) int64 {
		if ad.Name == "y" {
			return 2
		}
		return 0
	})
	if len(wants) != 1 || wants[0].Adapter != adapter("y") || wants[0].Version != 2 {
		t.Errorf("outdated %+v", wants)
	}
}
