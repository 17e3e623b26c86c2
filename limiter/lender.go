package limiter

import (
	"time"

	"lovagebank/wire"
)

// cachedResponse is the response to one request for tokens, kept to answer a repeated request.
type cachedResponse struct {
	response *wire.BorrowResponse
	at       time.Time
}

// replay returns the response again; the validity of the loan counts from the first response.
func (cr *cachedResponse) replay(now time.Time) *wire.BorrowResponse {
	rs := &wire.BorrowResponse{
		Tokens: cr.response.GetTokens(), Held: true, Fencing: cr.response.GetFencing(), Rate: cr.response.GetRate(),
		RetryAfterMs: cr.response.GetRetryAfterMs(), BacklogMs: cr.response.GetBacklogMs(),
	}
	elapsed := now.Sub(cr.at).Milliseconds() + 1
	for _, lp := range cr.response.GetParts() {
		rs.Parts = append(rs.Parts, &wire.LoanPart{
			Bucket: lp.GetBucket(), Fencing: lp.GetFencing(), Tokens: lp.GetTokens(),
			Loan: lp.GetLoan(), ValidMs: max(0, lp.GetValidMs()-elapsed),
		})
	}
	return rs
}

// lend answers a request for tokens of a bucket, at once or when the tokens are available.
func (st *state) lend(rq *wire.BorrowRequest, now time.Time, reply func(*wire.BorrowResponse)) {
	organisation, domain := bucketOwner(rq.GetBucket())
	ac := st.accounts[organisation]
	if ac == nil {
		reply(&wire.BorrowResponse{})
		return
	}
	st.syncBuckets(ac, now)
	bu := ac.heldBucket(rq.GetBucket())
	if bu == nil {
		reply(&wire.BorrowResponse{})
		return
	}
	if cr := ac.cachedResponses[requestKey(rq)]; cr != nil {
		reply(cr.replay(now))
		return
	}
	if rq.GetSurplus() {
		spare := ac.pool.available(scopeSurplus, now) - ac.borrowerDemand(selfBorrower) - ac.waitingTokens()
		reply(ac.lendTokens(rq, bu, min(rq.GetTokens(), spare), bu.rate, scopeSurplus, now))
		return
	}
	deadline := now.Add(time.Duration(rq.GetLeftMs()) * time.Millisecond)
	qe := ac.upsertEntry(rq.GetBorrower(), deadline, now)
	if qe == nil {
		reply(&wire.BorrowResponse{Held: true, RetryAfterMs: retryMillis(unreachableRetryAfter)})
		return
	}
	qe.replyNoTokens(ac, now)
	qe.scope, qe.request, qe.reply = scopeHome, rq, reply
	if domain != "" {
		qe.scope = scopeLocal
	}
	qe.minTokens = max(1, rq.GetLeast())
	qe.waiting = max(qe.minTokens, rq.GetWaiting())
	qe.steps = rq.GetSteps()
	st.serve(ac, now)
}

func requestKey(rq *wire.BorrowRequest) string { return rq.GetBorrower() + "/" + rq.GetRequestId() }

// replyNoTokens answers the borrower's open request, if any, with the time until tokens will be available.
func (qe *queueEntry) replyNoTokens(ac *account, now time.Time) {
	if qe.reply == nil {
		return
	}
	rs := &wire.BorrowResponse{}
	if bu := ac.heldBucket(qe.request.GetBucket()); bu != nil {
		fc := ac.forecast(ac.tokensAhead(qe.borrower)+qe.minTokens-ac.pool.available(qe.scope, now), now)
		rs.Held, rs.Fencing, rs.Fill = true, bu.fencing, bu.fill(now)
		rs.RetryAfterMs, rs.Rate = retryMillis(fc.wait), fc.rate
		rs.BacklogMs = retryMillis(ac.backlog(now))
	}
	qe.reply(rs)
	qe.request, qe.reply = nil, nil
}

// replyLoan answers the borrower's open request with a loan: all that it asked for if there is enough for all that
// waits at the borrower, and otherwise the largest available step.
func (qe *queueEntry) replyLoan(ac *account, available int64, now time.Time) {
	tokens := min(qe.request.GetTokens(), available)
	if available < qe.waiting {
		tokens = qe.minTokens
		for _, step := range qe.steps {
			if step <= available {
				tokens = max(tokens, step)
			}
		}
	}
	ac.demand.Add(float64(tokens), now)
	qe.waiting = max(0, qe.waiting-tokens)
	rs := ac.lendTokens(qe.request, ac.heldBucket(qe.request.GetBucket()), tokens, ac.forecast(0, now).rate, qe.scope, now)
	rs.BacklogMs = retryMillis(ac.backlog(now))
	qe.reply(rs)
}

// lendTokens lends tokens, which must be available, and caches the response for a repeated request.
func (ac *account) lendTokens(
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
	ac.cachedResponses[requestKey(rq)] = &cachedResponse{rs, now}
	return rs
}

// retryMillis converts a wait to milliseconds, at most an hour. It rounds up, so that a retry does not come just too
// early.
func retryMillis(wait time.Duration) int64 {
	const maxWait = time.Hour
	return (min(wait, maxWait) + time.Millisecond - 1).Milliseconds()
}
