package keeper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/wire"
)

const (
	testHandoverDelay = 3 * time.Second
	testLease         = 12 * time.Second
)

// fixture builds the store view of instance "a" in domain "east" step by step.
type fixture struct {
	t     *testing.T
	view  *storeView
	start time.Time
	rev   int64
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, view: newStoreView("a", "east", testHandoverDelay, testLease), start: time.Now()}
}

func (fx *fixture) apply(key string, message proto.Message, at time.Duration) {
	fx.t.Helper()
	fx.rev++
	it := platform.Item{Key: key, Revision: fx.rev, Deleted: message == nil}
	if message != nil {
		value, err := proto.Marshal(message)
		if err != nil {
			fx.t.Fatal(err)
		}
		it.Value = value
	}
	if err := fx.view.apply(it, fx.start.Add(at)); err != nil {
		fx.t.Fatal(err)
	}
}

func (fx *fixture) instance(name, domain string) {
	fx.apply(instancePrefix+name, &wire.InstanceEntry{Address: name + ":1", FailureDomain: domain}, 0)
}

func (fx *fixture) depart(name string, at time.Duration) { fx.apply(instancePrefix+name, nil, at) }

// holder writes an entry that names the holder of target t.
func (fx *fixture) holder(name string, from time.Duration) {
	fx.apply(holderPrefix+"t", &wire.TargetHolder{Instance: name, OrdersFromMs: from.Milliseconds()}, 0)
}

func (fx *fixture) claims(at time.Duration, troubled bool) []claim {
	return fx.view.claims([]Candidate{{ID: "t", FailureDomain: "east"}}, nil, claimConditions{
		now: fx.start.Add(at), boot: time.Minute + at, registeredAt: fx.start, storeFailed: troubled,
	})
}

func TestClaims(t *testing.T) {
	tests := map[string]struct {
		prepare  func(*fixture)
		at       time.Duration
		troubled bool
		claimed  bool
		wait     time.Duration
	}{
		"a target that never had a holder is claimed without a wait for orders": {
			prepare: func(fx *fixture) { fx.instance("a", "east") },
			at:      2 * time.Second, claimed: true, wait: 0,
		},
		"an instance that has just started waits before it claims": {
			prepare: func(fx *fixture) { fx.instance("a", "east") },
			at:      time.Second,
		},
		"a target of a present holder is not claimed": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
			},
			at: time.Hour,
		},
		"a target of a departed holder is claimed with the handover delay": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
				fx.depart("b", 10*time.Second)
			},
			at: 12 * time.Second, claimed: true, wait: testHandoverDelay,
		},
		"around an outage of the store a target of an absent holder is not claimed yet": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
				fx.depart("b", 10*time.Second)
			},
			at: 13 * time.Second, troubled: true,
		},
		"after an outage of the store, when leases may have ended early, orders wait for a full lease": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
				fx.depart("b", 10*time.Second)
			},
			at: 15 * time.Second, troubled: true, claimed: true, wait: testLease,
		},
		"a later process on the holder's machine claims without a wait for orders": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.holder("a", 30*time.Second)
			},
			at: 100 * time.Millisecond, claimed: true, wait: 0,
		},
		"a later process on the machine of a new holder waits for the rest of the handover delay": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.holder("a", 62*time.Second)
			},
			at: time.Second, claimed: true, wait: time.Second,
		},
		"after its machine lost power a holder waits for the full handover delay": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.holder("a", time.Hour)
			},
			at: time.Second, claimed: true, wait: testHandoverDelay,
		},
		"an instance of another failure domain waits for the instances of the target's failure domain": {
			prepare: func(fx *fixture) {
				fx.instance("a", "west")
				fx.instance("b", "east")
			},
			at: 1300 * time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tt.prepare(fx)
			fx.claims(0, tt.troubled)
			claims := fx.claims(tt.at, tt.troubled)
			if (len(claims) == 1) != tt.claimed {
				t.Fatalf("%d claims, want claimed %v", len(claims), tt.claimed)
			}
			if tt.claimed && claims[0].wait != tt.wait {
				t.Errorf("orders wait %v, want %v", claims[0].wait, tt.wait)
			}
		})
	}
}

func TestInstancesAgreeOnRanking(t *testing.T) {
	orders := make(map[string][]string)
	for _, self := range []string{"a", "b", "c"} {
		sv := newStoreView(self, "east", testHandoverDelay, testLease)
		fx := &fixture{t: t, view: sv, start: time.Now()}
		fx.instance("a", "east")
		fx.instance("b", "west")
		fx.instance("c", "east")
		for _, in := range sv.rankInstances(Candidate{ID: "t", FailureDomain: "west"}) {
			orders[self] = append(orders[self], in.Name)
		}
	}
	for self, order := range orders {
		if order[0] != "b" {
			t.Errorf("%s ranks %v, want the instance of the target's domain first", self, order)
		}
		for at, name := range orders["a"] {
			if order[at] != name {
				t.Errorf("%s ranks %v, a ranks %v", self, order, orders["a"])
			}
		}
	}
}
