package limiter

import (
	"fmt"
	"slices"
	"time"

	"lovagebank/requester"
)

// serve gives tokens to requests and borrowers in turn, borrows for the rest, and refuses the requests whose tokens
// won't be there in time.
func (st *state) serve(ac *account, now time.Time) {
	ac.keepOwnPlace(now)
	for ac.serveNext(now) {
		ac.keepOwnPlace(now)
	}
	st.ask(ac, now)
	st.refuseLate(ac, now)
	ac.keepOwnPlace(now)
}

// serveNext serves the first in the queue for whom there are tokens beside what those before it need.
func (ac *account) serveNext(now time.Time) bool {
	var ahead int64
	for _, pe := range ac.pendings {
		available := ac.pool.available(pe.scope, now) - ahead
		ahead += pe.least
		if available < pe.least || (pe.borrower != self && pe.reply == nil) {
			continue
		}
		switch {
		case pe.borrower == self:
			wa := ac.waiters[0]
			ac.waiters = ac.waiters[1:]
			wa.grant(ac.pool.spend(wa.cost, now))
		case ac.held(pe.request.GetBucket()) != nil:
			pe.answerLoan(ac, available, now)
		default:
			pe.answerShort(ac, now)
		}
		ac.leavePlace(pe.borrower)
		return true
	}
	return false
}

// keepOwnPlace keeps this instance's place among the borrowers of its buckets.
func (ac *account) keepOwnPlace(now time.Time) {
	if len(ac.waiters) == 0 {
		ac.leavePlace(self)
		return
	}
	if pe := ac.place(self, ac.waiters[0].deadline, now); pe != nil {
		pe.scope, pe.least, pe.waiting = scopeLocal, ac.waiters[0].cost, ac.waiting()
		pe.steps = ac.costs()
	}
}

// refuseLate refuses each waiter whose tokens won't be there before its deadline.
func (st *state) refuseLate(ac *account, now time.Time) {
	available := ac.pool.available(scopeLocal, now)
	ahead := ac.ahead(self)
	for _, wa := range ac.waiters {
		fc := ac.forecast(ahead+wa.cost-available, now)
		if !fc.known {
			st.refuseUnreachable(ac, wa, now)
			continue
		}
		if left := wa.deadline.Sub(now); float64(wa.cost) > ac.burst || left <= 0 || fc.wait > left+slack(left) {
			message := fmt.Sprintf("%d tokens are over the organisation's rate", wa.cost)
			wa.refuse(requester.CodeRateExceeded, message, min(fc.wait, time.Hour))
			continue
		}
		ahead += wa.cost
	}
	ac.dropSettled()
}

// slack is how far a forecast may be out: requests elsewhere come and go, and give tokens back.
func slack(left time.Duration) time.Duration { return left/forecastSlack + forecastSlackLeast }

// refuseUnreachable refuses a waiter when no holder has answered for a while: no tokens can come then.
func (st *state) refuseUnreachable(ac *account, wa *waiter, now time.Time) {
	if ac.unreachableSince.IsZero() || now.Sub(ac.unreachableAt) > unreachablePatience {
		ac.unreachableSince = now
	}
	ac.unreachableAt = now
	if ac.asking() && now.Before(wa.deadline) {
		return
	}
	if now.Sub(ac.unreachableSince) >= unreachablePatience || !now.Before(wa.deadline) {
		wa.refuse(requester.CodeRateExceeded, "no holder of the organisation's tokens can be reached", unreachableRetry)
	}
}

// asking tells whether a request for tokens is under way.
func (ac *account) asking() bool {
	for _, up := range ac.upstreams {
		if up.flight != nil {
			return true
		}
	}
	return false
}

func (ac *account) dropSettled() {
	ac.waiters = slices.DeleteFunc(ac.waiters, func(wa *waiter) bool { return wa.settled })
}

func (wa *waiter) grant(paid []chunk) {
	wa.settled = true
	wa.done <- result{parts: paid}
}

func (wa *waiter) refuse(code requester.Code, message string, retryAfter time.Duration) {
	wa.settled = true
	wa.done <- result{refusal: requester.Refuse(code, message, retryAfter)}
}
