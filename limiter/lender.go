package limiter

import (
	"time"

	"lovagebank/wire"
)

// answer is the answer to one request for tokens, kept for a repeated one.
type answer struct {
	response *wire.BorrowResponse
	at       time.Time
}

// repeat returns the answer again; the loan's validity counts from the first time.
func (an *answer) repeat(now time.Time) *wire.BorrowResponse {
	rs := &wire.BorrowResponse{
		Tokens: an.response.GetTokens(), Held: true, Fencing: an.response.GetFencing(), Rate: an.response.GetRate(),
		RetryAfterMs: an.response.GetRetryAfterMs(), BacklogMs: an.response.GetBacklogMs(),
	}
	passed := now.Sub(an.at).Milliseconds() + 1
	for _, lp := range an.response.GetParts() {
		rs.Parts = append(rs.Parts, &wire.LoanPart{
			Bucket: lp.GetBucket(), Fencing: lp.GetFencing(), Tokens: lp.GetTokens(),
			Loan: lp.GetLoan(), ValidMs: max(0, lp.GetValidMs()-passed),
		})
	}
	return rs
}

// lend answers a request for tokens of a bucket, at once or when the tokens are there.
func (st *state) lend(rq *wire.BorrowRequest, now time.Time, reply func(*wire.BorrowResponse)) {
	organisation, domain := bucketOwner(rq.GetBucket())
	ac := st.accounts[organisation]
	if ac == nil {
		reply(&wire.BorrowResponse{})
		return
	}
	st.hold(ac, now)
	bu := ac.held(rq.GetBucket())
	if bu == nil {
		reply(&wire.BorrowResponse{})
		return
	}
	if an := ac.answered[answerID(rq)]; an != nil {
		reply(an.repeat(now))
		return
	}
	if rq.GetSurplus() {
		spare := ac.pool.available(scopeSurplus, now) - ac.owed(self) - ac.waiting()
		reply(ac.loan(rq, bu, min(rq.GetTokens(), spare), bu.rate, scopeSurplus, now))
		return
	}
	due := now.Add(time.Duration(rq.GetLeftMs()) * time.Millisecond)
	pe := ac.place(rq.GetBorrower(), due, now)
	if pe == nil {
		reply(&wire.BorrowResponse{Held: true, RetryAfterMs: retryMillis(unreachableRetry)})
		return
	}
	pe.answerShort(ac, now)
	pe.scope, pe.request, pe.reply = scopeHome, rq, reply
	if domain != "" {
		pe.scope = scopeLocal
	}
	pe.least = max(1, rq.GetLeast())
	pe.waiting = max(pe.least, rq.GetWaiting())
	pe.steps = rq.GetSteps()
	st.serve(ac, now)
}

func answerID(rq *wire.BorrowRequest) string { return rq.GetBorrower() + "/" + rq.GetRequestId() }

// answerShort tells a borrower that asks that there are no tokens yet, and when there will be.
func (pe *pending) answerShort(ac *account, now time.Time) {
	if pe.reply == nil {
		return
	}
	rs := &wire.BorrowResponse{}
	if bu := ac.held(pe.request.GetBucket()); bu != nil {
		fc := ac.forecast(ac.ahead(pe.borrower)+pe.least-ac.pool.available(pe.scope, now), now)
		rs.Held, rs.Fencing, rs.Fill = true, bu.fencing, bu.fill(now)
		rs.RetryAfterMs, rs.Rate = retryMillis(fc.wait), fc.rate
		rs.BacklogMs = retryMillis(ac.backlog(now))
	}
	pe.reply(rs)
	pe.request, pe.reply = nil, nil
}

// answerLoan gives a borrower that asks its loan, and all of its request if there is enough.
func (pe *pending) answerLoan(ac *account, available int64, now time.Time) {
	tokens := min(pe.request.GetTokens(), available)
	if available < pe.waiting {
		tokens = pe.least
		for _, step := range pe.steps {
			if step <= available {
				tokens = max(tokens, step)
			}
		}
	}
	ac.demand.Add(float64(tokens), now)
	pe.waiting = max(0, pe.waiting-tokens)
	rs := ac.loan(pe.request, ac.held(pe.request.GetBucket()), tokens, ac.forecast(0, now).rate, pe.scope, now)
	rs.BacklogMs = retryMillis(ac.backlog(now))
	pe.reply(rs)
}

// loan lends tokens that are available.
func (ac *account) loan(
	rq *wire.BorrowRequest, bu *bucket, tokens int64, rate float64, sc scope, now time.Time,
) *wire.BorrowResponse {
	rs := &wire.BorrowResponse{Held: true, Fencing: bu.fencing, Rate: rate, Fill: bu.fill(now)}
	if tokens <= 0 {
		return rs
	}
	for _, ch := range ac.pool.lend(tokens, sc, now) {
		valid := ch.expires.Sub(now).Milliseconds()
		rs.Parts = append(rs.Parts, &wire.LoanPart{
			Bucket: ch.bucket, Fencing: ch.fencing, Tokens: ch.tokens, ValidMs: valid, Loan: ch.loan,
		})
		rs.Tokens += ch.tokens
		rs.ValidMs = valid
	}
	ac.answered[answerID(rq)] = &answer{rs, now}
	return rs
}

// retryMillis rounds up, so that a retry doesn't come just too early, and bounds what is told.
func retryMillis(wait time.Duration) int64 {
	const most = time.Hour
	return (min(wait, most) + time.Millisecond - 1).Milliseconds()
}
