package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// The pattern of salas-lima-grown scale-2: popular adapters lie on few engines, where prompts wait for their turns while other
// engines read none. A wait that is known weighs in the choice among those that hold the adapter and asks for a replica, but
// is no reason to wait for a load: it is over sooner.
func TestWaitsForTurnsWeigh(t *testing.T) {
	need := balancer.Request{Service: service, Adapter: adapter(1), PromptTokens: 500}
	tests := map[string]struct {
		holding []int
		waits   map[int]time.Duration
		after   time.Duration
		want    string
		spread  bool
	}{
		"another holds it":                     {[]int{0, 1}, map[int]time.Duration{0: 200 * time.Millisecond}, 0, id(1), false},
		"both wait, one for less":              {[]int{0, 1}, map[int]time.Duration{0: 150 * time.Millisecond, 1: 250 * time.Millisecond}, 0, id(0), false},
		"the wait is over":                     {[]int{0}, map[int]time.Duration{0: 400 * time.Millisecond}, 500 * time.Millisecond, id(0), false},
		"a long wait at the only one":          {[]int{0}, map[int]time.Duration{0: 400 * time.Millisecond}, 0, id(0), true},
		"a very long wait at the only one":     {[]int{0}, map[int]time.Duration{0: 900 * time.Millisecond}, 0, id(0), true},
		"a short wait asks for no replica yet": {[]int{0}, map[int]time.Duration{0: 100 * time.Millisecond}, 0, id(0), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ba := fleet(3)
				for _, number := range tt.holding {
					hear(ba, number, 0, 1)
				}
				for number, wait := range tt.waits {
					ba.SetTurnWait(id(number), wait)
				}
				time.Sleep(tt.after)
				ch, ok := ba.Choose(need)
				if !ok || ch.Target().ID() != tt.want || !ch.Holds() {
					t.Fatalf("chose %+v, %v, want %s", ch, ok, tt.want)
				}
				if (ch.Replica() != nil) != tt.spread || ch.Alternatives() != len(tt.holding)-1 {
					t.Errorf("replica %v, others %d", ch.Replica(), ch.Alternatives())
				}
			})
		})
	}
}
