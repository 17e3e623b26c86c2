package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// updateDemand sends the balancer an update with an adapter that a target holds and the recent number of requests for it.
func updateDemand(ba *balancer.Balancer, target, number int, requests float64) {
	ba.Update(balancer.TargetUpdate{
		Target: id(target), Holder: "holder",
		Adapters: map[balancer.Adapter]int64{{Model: model}: 1, adapter(number): 1},
		Demand:   map[balancer.Adapter]float64{adapter(number): requests},
	})
}

// Guards against missing replicas in castaneda-stock-large quiet-1: each of 195 instances sends three requests a second, so that
// none of them sees which adapters are popular. Only the holders of the targets do.
func TestReplicasFollowFleetDemand(t *testing.T) {
	const targets = 40
	tests := map[string]struct {
		requests float64
		spread   bool
	}{
		"a tenth of the demand":    {100, true},
		"a fiftieth of the demand": {20, true},
		"hardly any demand":        {2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ba := newFleet(targets)
			updateDemand(ba, 0, 7, tt.requests)
			updateDemand(ba, 1, 8, 1000-tt.requests)
			ch, ok := ba.Choose(requestFor(7))
			if !ok || ch.Target().ID() != id(0) {
				t.Fatal("the request does not go to the target that holds the adapter")
			}
			if spread := ch.Replica() != nil; spread != tt.spread {
				t.Errorf("a further replica is requested: %v", spread)
			}
		})
	}
}

func TestDemandOfRemovedTargetIsDropped(t *testing.T) {
	ba := newFleet(40)
	updateDemand(ba, 0, 7, 100)
	updateDemand(ba, 1, 7, 100)
	updateDemand(ba, 2, 8, 1000)
	ba.RemoveTarget(id(1))
	updateDemand(ba, 0, 7, 0)
	ch, ok := ba.Choose(requestFor(7))
	if !ok || ch.Replica() != nil {
		t.Error("a further replica is requested for demand that has ended")
	}
}

// In castaneda-stock-large quiet-1, holders send an update every 3.5 s. A holder counts as present until two of its updates are
// missing, but no longer once it fails to answer.
func TestHolderTimeoutFollowsUpdateInterval(t *testing.T) {
	const interval = 3500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ba := balancer.New(balancer.Options{Random: func() float64 { return 0 }, Interval: func() time.Duration { return interval }})
		ba.SetTarget(balancer.NewTarget(balancer.TargetOptions{ID: id(0), Service: service, Address: "x:1", Slots: slots}))
		update(ba, 0, 0)
		canLoad := func() bool {
			_, ok := ba.Choose(requestFor(7))
			return ok
		}
		time.Sleep(interval + time.Second)
		if !canLoad() {
			t.Error("a holder whose update is late is not asked")
		}
		time.Sleep(interval)
		if canLoad() {
			t.Error("a holder whose updates are missing is asked")
		}
		update(ba, 0, 0)
		if ba.HolderFailed(id(0)); canLoad() {
			t.Error("a holder that did not answer is asked")
		}
		update(ba, 0, 0)
		if !canLoad() {
			t.Error("a holder that sends updates again is not asked")
		}
	})
}

func TestUnreportedUses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ba := newFleet(2)
		ba.Send(id(1), adapter(7), 100)
		time.Sleep(time.Second)
		ba.Send(id(1), adapter(7), 100)
		ba.Send(id(0), adapter(7), 100)
		if unreported := ba.Unreported(time.Second); len(unreported) != 1 || unreported[0] != id(1) {
			t.Errorf("unreported %v", unreported)
		}
		ba.TakeUses(id(1))
		if unreported := ba.Unreported(time.Second); len(unreported) != 0 {
			t.Errorf("unreported %v after the report", unreported)
		}
	})
}
