package limiter

import (
	"testing"
	"time"
)

// TestIdleBurstIsAvailableToEachInstance charges two requests at each instance in turn: a small one, and then one of
// most of the burst. The rate is far too low to pay for the second before its deadline, but the unused burst does. A
// forecast that counts the rate alone refuses it.
func TestIdleBurstIsAvailableToEachInstance(t *testing.T) {
	const rate, burst = 2, 200
	for index := range 6 {
		fl := newFleet(7, 3, 6, rate, burst, Options{})
		fl.run(fl.now.Add(300 * time.Millisecond))
		no := fl.nodes[index]
		var small, large result
		fl.charge(no, 28, 10*time.Second, func(rs result) { small = rs })
		fl.run(fl.now.Add(30 * time.Millisecond))
		if small.refusal != nil {
			t.Fatalf("instance %d: small request refused: %v", index, small.refusal)
		}
		fl.settle(no, small, 22)
		fl.run(fl.now.Add(100 * time.Millisecond))
		fl.charge(no, 124, 10*time.Second, func(rs result) { large = rs })
		fl.run(fl.now.Add(10 * time.Second))
		if large.refusal != nil {
			t.Errorf("instance %d: request within the burst refused: %v", index, large.refusal)
		}
	}
}
