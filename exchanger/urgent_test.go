package exchanger_test

import (
	"testing"
	"time"

	"lovagebank/exchanger"
)

// Among 195 instances, each pair exchanges updates only every 3.5 s, but the holder of a target has to know of a request that
// runs there before it gives up the request's adapter. Either side of a pair must send an urgent update at once, and to
// that peer alone (scenario castaneda-stock-large quiet-1).
func TestUrgentUpdateIsSentImmediately(t *testing.T) {
	const count, atOnce = 40, 5 * time.Millisecond
	runListed(t, count, true, func(fl *fleet, all []*exchanger.Exchanger) {
		time.Sleep(2*all[0].Interval() + all[0].Interval()/2)
		for _, sender := range []int{1, 2} {
			receiver := map[int]string{1: "m2", 2: "m1"}[sender]
			fl.resetCounts()
			all[sender].ExchangeNow(map[string]bool{receiver: true})
			time.Sleep(atOnce)
			fl.mu.Lock()
			age, exchanges := time.Since(fl.receivedAt[receiver+" received from m"+string(rune('0'+sender))]), fl.exchanges
			fl.mu.Unlock()
			if age > atOnce {
				t.Errorf("%s received the update from m%d %s ago", receiver, sender, age)
			}
			if exchanges != 1 {
				t.Errorf("%d exchanges", exchanges)
			}
			time.Sleep(all[0].Interval())
		}
	})
}
