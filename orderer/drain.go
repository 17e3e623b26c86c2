package orderer

import (
	"time"

	"lovagebank/provisioner"
)

// drain is an unload that the engine carries out once the requests on the adapter have ended. Until then the engine
// answers every other order with a conflict, and only its reports show what it holds.
type drain struct {
	step provisioner.Step
	// orders is the number of orders that the engine has accepted, the unload included.
	orders      int64
	since       time.Time
	nextAttempt time.Time
}

func (dr *drain) begin(sp provisioner.Step, orders int64, now time.Time) {
	*dr = drain{step: sp, orders: orders, since: now, nextAttempt: now.Add(drainRetryInterval)}
}

func (dr *drain) end() { *dr = drain{} }

// active reports whether a conflict may be due to the unload.
func (dr *drain) active(now time.Time) bool {
	return !dr.since.IsZero() && now.Sub(dr.since) < maxDrainTime
}

// observe is called with the number of orders that the engine reports as accepted. Once the engine has accepted another
// order, the unload is over, even if the answer to that order was lost.
func (dr *drain) observe(orders int64) {
	if orders != dr.orders {
		dr.end()
	}
}

// blocks reports whether it is too early to try another order.
func (dr *drain) blocks(now time.Time) bool { return dr.active(now) && now.Before(dr.nextAttempt) }

func (dr *drain) postpone(now time.Time) { dr.nextAttempt = now.Add(drainRetryInterval) }

// refuseWhileBlocked answers the waiting calls that can be answered while the engine accepts no orders, as other engines
// may load sooner. The lock is held.
func (or *Orderer) refuseWhileBlocked(now time.Time) {
	remaining := or.waiting[:0:0]
	for _, wt := range or.waiting {
		decision, _ := or.stock.Evaluate(wt.requirement, now)
		if decision == provisioner.NeedsLoad || decision == provisioner.NeedsUnload {
			decision = provisioner.Busy
		}
		if !wt.answer(decision, now) {
			remaining = append(remaining, wt)
		}
	}
	or.waiting = remaining
}
