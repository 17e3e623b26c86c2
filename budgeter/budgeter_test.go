package budgeter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/budgeter"
)

// Every request of a service asks for a retry. The retries of all instances together must stay within the fleet's limit
// in any window, and the budget must be available again once a window has passed.
func TestRetriesStayWithinFleetLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, ratio, extra = 8, 0.2, 56.0
		var budgeters []*budgeter.Budgeter
		for range instances {
			budgeters = append(budgeters, budgeter.New(budgeter.Options{
				Ratio: ratio, Extra: extra, Window: 10 * time.Second, Instances: func() int { return instances },
			}))
		}
		var retries []time.Time
		requests := 0.0
		for range 3000 {
			for _, bu := range budgeters {
				bu.Request("s")
				requests++
				if bu.Retry("s") {
					retries = append(retries, time.Now())
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		perWindow := requests / 3
		most, first := 0, 0
		for at, when := range retries {
			for when.Sub(retries[first]) > 10*time.Second {
				first++
			}
			most = max(most, at-first+1)
		}
		if bound := ratio*perWindow + extra; float64(most) > bound {
			t.Errorf("%d retries in a window, bound %.0f", most, bound)
		}
		if float64(len(retries)) < ratio*requests/2 {
			t.Errorf("only %d retries of %.0f requests", len(retries), requests)
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	bu := budgeter.New(budgeter.Options{Ratio: 0, Extra: 2, Window: time.Second, Instances: func() int { return 1 }})
	if !bu.Retry("a") || bu.Retry("a") || !bu.Retry("b") {
		t.Error("the budgets of two services are not independent")
	}
}
