package keeper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/wire"
)

const (
	testTurn  = 3 * time.Second
	testLease = 12 * time.Second
)

// fixture builds a ledger of instance "a" in domain "east" step by step.
type fixture struct {
	t      *testing.T
	ledger *ledger
	start  time.Time
	rev    int64
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, ledger: newLedger("a", "east", testTurn, testLease), start: time.Now()}
}

func (fx *fixture) take(key string, message proto.Message, at time.Duration) {
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
	if err := fx.ledger.take(it, fx.start.Add(at)); err != nil {
		fx.t.Fatal(err)
	}
}

func (fx *fixture) instance(name, domain string) {
	fx.take(instancePrefix+name, &wire.InstanceEntry{Address: name + ":1", FailureDomain: domain}, 0)
}

func (fx *fixture) gone(name string, at time.Duration) { fx.take(instancePrefix+name, nil, at) }

// holder names the holder of target t.
func (fx *fixture) holder(name string, from time.Duration) {
	fx.take(holderPrefix+"t", &wire.TargetHolder{Instance: name, OrdersFromMs: from.Milliseconds()}, 0)
}

func (fx *fixture) claims(at time.Duration, troubled bool) []claim {
	return fx.ledger.claims([]Candidate{{ID: "t", FailureDomain: "east"}}, nil, situation{
		now: fx.start.Add(at), boot: time.Minute + at, registeredAt: fx.start, troubled: troubled,
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
		"a target that never had a holder is claimed, and ordered at once": {
			prepare: func(fx *fixture) { fx.instance("a", "east") },
			at:      2 * time.Second, claimed: true, wait: 0,
		},
		"an instance that has just started waits for others": {
			prepare: func(fx *fixture) { fx.instance("a", "east") },
			at:      time.Second,
		},
		"a target of a holder that is there is left alone": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
			},
			at: time.Hour,
		},
		"a target of a holder that has gone is claimed, after the turn": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
				fx.gone("b", 10*time.Second)
			},
			at: 12 * time.Second, claimed: true, wait: testTurn,
		},
		"around an outage of the store the holder gets time to come back": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
				fx.gone("b", 10*time.Second)
			},
			at: 13 * time.Second, troubled: true,
		},
		"after an outage the whole lease is waited, as it may have ended early": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.instance("b", "east")
				fx.holder("b", 0)
				fx.gone("b", 10*time.Second)
			},
			at: 15 * time.Second, troubled: true, claimed: true, wait: testLease,
		},
		"a later process on the holder's machine goes on at once": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.holder("a", 30*time.Second)
			},
			at: 100 * time.Millisecond, claimed: true, wait: 0,
		},
		"a later process on the machine of a new holder waits for what is left of the turn": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.holder("a", 62*time.Second)
			},
			at: time.Second, claimed: true, wait: time.Second,
		},
		"a machine that lost power waits for the whole turn": {
			prepare: func(fx *fixture) {
				fx.instance("a", "east")
				fx.holder("a", time.Hour)
			},
			at: time.Second, claimed: true, wait: testTurn,
		},
		"an instance of another failure domain waits for those of the target's": {
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

func TestInstancesAgreeOnOrder(t *testing.T) {
	orders := make(map[string][]string)
	for _, self := range []string{"a", "b", "c"} {
		le := newLedger(self, "east", testTurn, testLease)
		fx := &fixture{t: t, ledger: le, start: time.Now()}
		fx.instance("a", "east")
		fx.instance("b", "west")
		fx.instance("c", "east")
		for _, in := range le.order(Candidate{ID: "t", FailureDomain: "west"}) {
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
