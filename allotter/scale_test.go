package allotter_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/router"
)

const (
	instancesLarge = 195
	intervalLarge  = 3500 * time.Millisecond
)

// 195 instances exchange updates every 3.5 s, so an equal share of a full bucket is about one request (scenario
// castaneda-stock-large quiet-1). Demand well within the rate must hardly be refused, and an organisation with many
// times its rate, or many times its usual demand, on all instances at once must not exceed the bound.
func TestQuotasOnHundredsOfInstances(t *testing.T) {
	type demand struct{ before, multiple, refused float64 }
	calm := func(multiple float64) demand { return demand{before: multiple, multiple: multiple, refused: 0.03} }
	// surge is a rise to 7.5 times the usual demand.
	surge := func(usual float64) demand { return demand{before: usual, multiple: 7.5 * usual, refused: 1} }
	tests := map[string]struct {
		rate, burst float64
		demand
	}{
		"half of a small rate":       {38643, 68872, calm(0.4)},
		"half of a middle rate":      {73928, 73928, calm(0.5)},
		"half of the largest rate":   {224108, 224108, calm(0.45)},
		"surge of a small rate":      {38643, 68872, surge(0.6)},
		"surge of a middle rate":     {73928, 73928, surge(0.6)},
		"surge after an idle period": {38643, 68872, demand{before: 0.02, multiple: 4.5, refused: 1}},
		"surge with a small burst":   {38643, 4000, surge(0.6)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				lf := newLargeFleetOf(instancesLarge, intervalLarge)
				lf.og = router.NewOrganisation(router.OrganisationOptions{
					Name: "o", TokensPerSecond: tt.rate, BurstTokens: tt.burst, CountsTokens: true,
				})
				lf.exchangeAll()
				random := rand.New(rand.NewPCG(1, 2))
				lf.shufflePairs(random)
				lf.simulateRandom(4*time.Second, tt.before, random)
				lf.refused, lf.requested = 0, 0
				lf.simulateRandom(8500*time.Millisecond, tt.multiple, random)
				most, bound := lf.maxInWindow(), (tt.rate*8+tt.burst)*1.1+slack
				t.Logf("%.3f refused, %.0f in a window, bound %.0f", lf.refused/lf.requested, most, bound)
				if most > bound {
					t.Errorf("%.0f tokens in a window, bound %.0f", most, bound)
				}
				if refused := lf.refused / lf.requested; refused > tt.refused {
					t.Errorf("%.3f of the tokens refused", refused)
				}
			})
		})
	}
}

// Callers were refused at an instance that had spent its share, although the bucket was full, and got a retry delay of
// more than a second (scenario castaneda-stock-large quiet-1). Retries go to other instances, which have shares of
// their own.
func TestWaitIsShortWhileBucketIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lf := newLargeFleetOf(instancesLarge, intervalLarge)
		lf.exchangeAll()
		al := lf.members[0]
		for {
			de := al.Charge(lf.og, 3000, 0)
			if de.Admitted() {
				continue
			}
			if de.Remaining() < largeFleetRate/2 {
				t.Fatalf("refused with %.0f left, the bucket is not full", de.Remaining())
			}
			if de.Wait() > 100*time.Millisecond {
				t.Errorf("wait of %s", de.Wait())
			}
			break
		}
		if !lf.members[1].Charge(lf.og, 3000, 0).Admitted() {
			t.Error("refused at another instance too")
		}
	})
}
