package orderer

import (
	"time"

	"lovagebank/stocker"
)

// drain is an unload that the engine carries out once the requests on the adapter have ended. Until then the engine
// answers every other order with a conflict, and only its reports show what it holds.
type drain struct {
	step stocker.Step
	// orders is the number of orders that the engine has accepted, the unload included.
	orders  int64
	since   time.Time
	nextTry time.Time
}

func (dr *drain) begin(sp stocker.Step, orders int64, now time.Time) {
	*dr = drain{step: sp, orders: orders, since: now, nextTry: now.Add(drainStep)}
}

func (dr *drain) end() { *dr = drain{} }

// active reports whether a conflict may be due to the unload.
func (dr *drain) goesOn(now time.Time) bool {
	return !dr.since.IsZero() && now.Sub(dr.since) < longestDrain
}

// observe is called with the number of orders that the engine reports as accepted. Once the engine has accepted another
// order, the unload is over, even if the answer to that order was lost.
func (dr *drain) reported(orders int64) {
	if orders != dr.orders {
		dr.end()
	}
}

// blocks reports whether it is too early to try another order.
func (dr *drain) blocks(now time.Time) bool { return dr.goesOn(now) && now.Before(dr.nextTry) }

func (dr *drain) postpone(now time.Time) { dr.nextTry = now.Add(drainStep) }

// refuseWhileBlocked answers the waiting calls that can be answered while the engine accepts no orders, as other engines
// may load sooner. The lock is held.
func (or *Orderer) refuseWhileBlocked(now time.Time) {
	remaining := or.waiting[:0:0]
	for _, wt := range or.waiting {
		verdict, _ := or.stock.Judge(wt.want, now)
		if verdict == stocker.NeedsLoad || verdict == stocker.NeedsRoom {
			verdict = stocker.Crowded
		}
		if !wt.answer(verdict, now) {
			remaining = append(remaining, wt)
		}
	}
	or.waiting = remaining
}
