package limiter

import (
	"fmt"
	"slices"
	"time"

	"lovagebank/requester"
)

// serve gives tokens to requests and borrowers in the order of the queue, borrows for the rest, and refuses the
// requests whose tokens will not be available in time.
func (st *state) serve(ac *account, now time.Time) {
	ac.updateOwnEntry(now)
	for ac.serveNext(now) {
		ac.updateOwnEntry(now)
	}
	st.borrowShortfall(ac, now)
	st.refuseLate(ac, now)
	ac.updateOwnEntry(now)
}

// serveNext serves the first queue entry for which there are enough tokens besides the minimum amounts of the entries
// before it. It reports whether it served one.
func (ac *account) serveNext(now time.Time) bool {
	var ahead int64
	for _, qe := range ac.queue {
		available := ac.pool.available(qe.scope, now) - ahead
		ahead += qe.minTokens
		if available < qe.minTokens || (qe.borrower != selfBorrower && qe.reply == nil) {
			continue
		}
		switch {
		case qe.borrower == selfBorrower:
			wa := ac.waiters[0]
			ac.waiters = ac.waiters[1:]
			wa.grant(ac.pool.spend(wa.cost, now))
		case ac.heldBucket(qe.request.GetBucket()) != nil:
			qe.replyLoan(ac, available, now)
		default:
			qe.replyNoTokens(ac, now)
		}
		ac.removeEntry(qe.borrower)
		return true
	}
	return false
}

// updateOwnEntry updates the queue entry that represents the waiters of this instance, or removes it if there are
// none.
func (ac *account) updateOwnEntry(now time.Time) {
	if len(ac.waiters) == 0 {
		ac.removeEntry(selfBorrower)
		return
	}
	if qe := ac.upsertEntry(selfBorrower, ac.waiters[0].deadline, now); qe != nil {
		qe.scope, qe.minTokens, qe.waiting = scopeLocal, ac.waiters[0].cost, ac.waitingTokens()
		qe.steps = ac.cumulativeCosts()
	}
}

// refuseLate refuses each waiter whose tokens will not be available before its deadline.
func (st *state) refuseLate(ac *account, now time.Time) {
	available := ac.pool.available(scopeLocal, now)
	ahead := ac.tokensAhead(selfBorrower)
	for _, wa := range ac.waiters {
		fc := ac.forecast(ahead+wa.cost-available, now)
		if !fc.known {
			st.refuseUnreachable(ac, wa, now)
			continue
		}
		if left := wa.deadline.Sub(now); float64(wa.cost) > ac.burst || left <= 0 || fc.wait > left+forecastTolerance(left) {
			message := fmt.Sprintf("%d tokens are over the organisation's rate", wa.cost)
			wa.refuse(requester.CodeRateExceeded, message, min(fc.wait, time.Hour))
			continue
		}
		ahead += wa.cost
	}
	ac.removeResolved()
}

// forecastTolerance returns the tolerated error of a forecast: requests on other instances arrive, end and return
// tokens.
func forecastTolerance(left time.Duration) time.Duration {
	return left/forecastToleranceDivisor + forecastToleranceMin
}

// refuseUnreachable refuses a waiter when no holder has answered for unreachableMaxWait, because no tokens can arrive
// then, or when its deadline has passed.
func (st *state) refuseUnreachable(ac *account, wa *waiter, now time.Time) {
	if ac.unreachableSince.IsZero() || now.Sub(ac.lastUnreachable) > unreachableMaxWait {
		ac.unreachableSince = now
	}
	ac.lastUnreachable = now
	if ac.requestPending() && now.Before(wa.deadline) {
		return
	}
	if now.Sub(ac.unreachableSince) >= unreachableMaxWait || !now.Before(wa.deadline) {
		wa.refuse(requester.CodeRateExceeded, "no holder of the organisation's tokens can be reached", unreachableRetryAfter)
	}
}

// requestPending reports whether a request for tokens is in flight.
func (ac *account) requestPending() bool {
	for _, up := range ac.upstreams {
		if up.pending != nil {
			return true
		}
	}
	return false
}

func (ac *account) removeResolved() {
	ac.waiters = slices.DeleteFunc(ac.waiters, func(wa *waiter) bool { return wa.resolved })
}

func (wa *waiter) grant(paid []chunk) {
	wa.resolved = true
	wa.done <- result{chunks: paid}
}

func (wa *waiter) refuse(code requester.Code, message string, retryAfter time.Duration) {
	wa.resolved = true
	wa.done <- result{refusal: requester.Refuse(code, message, retryAfter)}
}
