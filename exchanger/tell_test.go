package exchanger_test

import (
	"testing"
	"time"

	"lovagebank/exchanger"
)

// The pattern of castaneda-stock-large quiet-1: 195 instances tell each other every 3.5 s, and the holder of a target has
// to know of a request that runs there before it gives up the request's adapter. What is urgent is told at once, by either
// side of a pair, and to nobody else.
func TestWhatIsUrgentIsToldAtOnce(t *testing.T) {
	const count, atOnce = 40, 5 * time.Millisecond
	runListed(t, count, true, func(ms *members, all []*exchanger.Exchanger) {
		time.Sleep(2*all[0].Interval() + all[0].Interval()/2)
		for _, teller := range []int{1, 2} {
			other := map[int]string{1: "m2", 2: "m1"}[teller]
			ms.forget()
			all[teller].ExchangeNow(map[string]bool{other: true})
			time.Sleep(atOnce)
			ms.mu.Lock()
			age, exchanges := time.Since(ms.heard[other+" heard m"+string(rune('0'+teller))]), ms.exchanges
			ms.mu.Unlock()
			if age > atOnce {
				t.Errorf("%s heard m%d %s ago", other, teller, age)
			}
			if exchanges != 1 {
				t.Errorf("%d exchanges", exchanges)
			}
			time.Sleep(all[0].Interval())
		}
	})
}
