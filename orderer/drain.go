package orderer

import (
	"time"

	"lovagebank/stocker"
)

// drain is an unload that the engine carries out once the requests on the adapter have ended. Until then it answers
// every other order with a conflict, and its own word of what it holds is that of its reports.
type drain struct {
	step    stocker.Step
	since   time.Time
	nextTry time.Time
}

func (dr *drain) begin(sp stocker.Step, now time.Time) {
	*dr = drain{step: sp, since: now, nextTry: now.Add(drainStep)}
}

func (dr *drain) end() { *dr = drain{} }

// goesOn tells whether a conflict may be due to the unload.
func (dr *drain) goesOn(now time.Time) bool {
	return !dr.since.IsZero() && now.Sub(dr.since) < longestDrain
}

// blocks tells whether it is too early to try another order.
func (dr *drain) blocks(now time.Time) bool { return dr.goesOn(now) && now.Before(dr.nextTry) }

func (dr *drain) postpone(now time.Time) { dr.nextTry = now.Add(drainStep) }

// refuseWhileBlocked answers the waiting calls that can be answered while the engine takes no orders: other engines may
// load sooner. The lock is held.
func (or *Orderer) refuseWhileBlocked(now time.Time) {
	still := or.waiting[:0:0]
	for _, wt := range or.waiting {
		verdict, _ := or.stock.Judge(wt.want, now)
		if verdict == stocker.NeedsLoad || verdict == stocker.NeedsRoom {
			verdict = stocker.Crowded
		}
		if !wt.answer(verdict, now) {
			still = append(still, wt)
		}
	}
	or.waiting = still
}
