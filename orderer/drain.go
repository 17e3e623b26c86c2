package orderer

import (
	"time"

	"lovagebank/stocker"
)

// drain is an unload that the engine carries out once the requests on the adapter have ended. Until then it answers
// every other order with a conflict, and its own word of what it holds is that of its reports.
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

// goesOn tells whether a conflict may be due to the unload.
func (dr *drain) goesOn(now time.Time) bool {
	return !dr.since.IsZero() && now.Sub(dr.since) < longestDrain
}

// reported takes in how many orders the engine says to have accepted: once it has accepted another one, the unload is
// over, whatever became of that order's answer.
func (dr *drain) reported(orders int64) {
	if orders != dr.orders {
		dr.end()
	}
}

// blocks tells whether it is too early to try another order.
func (dr *drain) blocks(now time.Time) bool { return dr.goesOn(now) && now.Before(dr.nextTry) }

func (dr *drain) postpone(now time.Time) { dr.nextTry = now.Add(drainStep) }

// refuseWhileBlocked answers the waiting calls that can be answered while the engine takes no orders: other engines may
// load sooner. The lock is held.
func (or *Orderer) refuseWhileBlocked(now time.Time) {
	still := or.waiting[:0:0]
	for _, wt := range or.waiting {
		verdict, _ := or.stock.Evaluate(wt.want, now)
		if verdict == stocker.NeedsLoad || verdict == stocker.NeedsUnload {
			verdict = stocker.Busy
		}
		if !wt.answer(verdict, now) {
			still = append(still, wt)
		}
	}
	or.waiting = still
}
