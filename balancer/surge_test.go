package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// The pattern of ipva-hq-grown quiet-1, 24 to 29 s: an adapter that one of many engines holds becomes popular from one
// second to the next. Each of many instances sees only a request of it a second, among many others.
func TestPopularAdapterSpreadsAmongManyInstances(t *testing.T) {
	const (
		instances = 73
		engines   = 71
		perSecond = 100
		others    = 1100
		loadTime  = 250 * time.Millisecond
		step      = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		cr := newCrowd(instances, engines)
		holds := map[string]time.Time{id(3): time.Now()}
		tell := func(ba *balancer.Balancer) {
			for number := range engines {
				held := map[balancer.Adapter]int64{{Model: model}: 1}
				if at, ok := holds[id(number)]; ok && !time.Now().Before(at) {
					held[adapter(7)] = 1
				}
				ba.Update(balancer.TargetUpdate{Target: id(number), Holder: "holder", Adapters: held})
			}
		}
		choose := func(ne balancer.Request) {
			ba := cr.instances[cr.random.IntN(instances)]
			ch, ok := ba.Choose(ne)
			if !ok {
				t.Fatal("no engine was chosen")
			}
			if ne.Adapter == adapter(7) && ch.Replica() != nil {
				if _, known := holds[ch.Replica().ID()]; !known {
					holds[ch.Replica().ID()] = time.Now().Add(loadTime)
				}
			}
		}
		popular, rare := 0.0, 0.0
		for at := range 400 {
			for number, ba := range cr.instances {
				if (at+number*2)%int(hearEvery/step) == 0 || at == 0 {
					tell(ba)
				}
			}
			for rare += others * step.Seconds(); rare > 0; rare -= cr.random.ExpFloat64() {
				choose(need(100 + cr.random.IntN(3000)))
			}
			if at < 100 {
				time.Sleep(step)
				continue
			}
			for popular += perSecond * step.Seconds(); popular > 0; popular -= cr.random.ExpFloat64() {
				choose(need(7))
			}
			time.Sleep(step)
		}
		t.Logf("%d engines hold the adapter after three seconds", len(holds))
		if len(holds) < 5 {
			t.Errorf("%d engines hold the adapter three seconds after it became popular, want 5 or more", len(holds))
		}
		if len(holds) > 25 {
			t.Errorf("%d engines hold the adapter, want 25 at most", len(holds))
		}
	})
}
