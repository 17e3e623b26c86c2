package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// hearDemand tells the balancer that a target holds an adapter and how many requests it got for it of late.
func hearDemand(ba *balancer.Balancer, target, number int, requests float64) {
	ba.Update(balancer.TargetUpdate{
		Target: id(target), Holder: "holder",
		Adapters: map[balancer.Adapter]int64{{Model: model}: 1, adapter(number): 1},
		Demand:   map[balancer.Adapter]float64{adapter(number): requests},
	})
}

// The pattern of castaneda-stock-large quiet-1: each of 195 instances sends three requests a second, so that none of them
// sees itself which adapters are popular. The holders of the targets do.
func TestReplicasByTheFleetsDemand(t *testing.T) {
	const targets = 40
	tests := map[string]struct {
		requests float64
		spread   bool
	}{
		"a tenth of the demand":    {100, true},
		"a fiftieth of the demand": {20, true},
		"hardly any":               {2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ba := fleet(targets)
			hearDemand(ba, 0, 7, tt.requests)
			hearDemand(ba, 1, 8, 1000-tt.requests)
			ch, ok := ba.Choose(need(7))
			if !ok || ch.Target().ID() != id(0) {
				t.Fatal("the request does not go where the adapter is")
			}
			if spread := ch.Replica() != nil; spread != tt.spread {
				t.Errorf("a further replica is wanted: %v", spread)
			}
		})
	}
}

func TestDemandOfWhatIsGoneIsForgotten(t *testing.T) {
	ba := fleet(40)
	hearDemand(ba, 0, 7, 100)
	hearDemand(ba, 1, 7, 100)
	hearDemand(ba, 2, 8, 1000)
	ba.RemoveTarget(id(1))
	hearDemand(ba, 0, 7, 0)
	ch, ok := ba.Choose(need(7))
	if !ok || ch.Replica() != nil {
		t.Error("a further replica is wanted for demand that has ended")
	}
}

// The pattern of castaneda-stock-large quiet-1: holders tell every 3.5 s. One counts as there until two of its tellings
// are missing, and no longer once it fails to answer.
func TestHolderThatTellsSeldom(t *testing.T) {
	const interval = 3500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ba := balancer.New(balancer.Options{Random: func() float64 { return 0 }, Interval: func() time.Duration { return interval }})
		ba.SetTarget(balancer.NewTarget(balancer.TargetOptions{ID: id(0), Service: service, Address: "x:1", Slots: slots}))
		hear(ba, 0, 0)
		loads := func() bool {
			_, ok := ba.Choose(need(7))
			return ok
		}
		time.Sleep(interval + time.Second)
		if !loads() {
			t.Error("a holder whose telling is late is not asked")
		}
		time.Sleep(interval)
		if loads() {
			t.Error("a holder that is not heard is asked")
		}
		hear(ba, 0, 0)
		if ba.HolderFailed(id(0)); loads() {
			t.Error("a holder that did not answer is asked")
		}
		hear(ba, 0, 0)
		if !loads() {
			t.Error("a holder that tells again is not asked")
		}
	})
}

func TestUntoldUses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ba := fleet(2)
		ba.Send(id(1), adapter(7), 100)
		time.Sleep(time.Second)
		ba.Send(id(1), adapter(7), 100)
		ba.Send(id(0), adapter(7), 100)
		if untold := ba.Unreported(time.Second); len(untold) != 1 || untold[0] != id(1) {
			t.Errorf("untold %v", untold)
		}
		ba.TakeUses(id(1))
		if untold := ba.Unreported(time.Second); len(untold) != 0 {
			t.Errorf("untold %v after the telling", untold)
		}
	})
}
