package limiter

import (
	"strconv"
	"time"

	"lovagebank/wire"
)

// returnKey identifies the bucket, holder and loan that returned tokens belong to.
type returnKey struct {
	bucket  string
	fencing uint64
	// loan is zero when no holder counts the loan as unspent any more.
	loan uint64
	// charged is true for refunded tokens of a charge. Tokens of an unspent loan must not be accepted late, so they are
	// sent without delay.
	charged bool
}

// pendingReturn is an amount that is still to be sent back to its holder.
type pendingReturn struct {
	tokens int64
	// spent is the number of tokens of the loan that requests were charged.
	spent int64
	// since is when the first of the tokens were returned.
	since time.Time
}

// returns collects returned tokens until they are sent.
type returns map[returnKey]*pendingReturn

// settle refunds the tokens that a request was charged and did not use, starting with the bucket that paid last. It
// returns the amount that went into buckets held here; the rest is queued for its holders.
func (st *state) settle(organisation string, paid []chunk, unused int64, now time.Time) (accepted int64) {
	ac := st.accounts[organisation]
	if ac == nil {
		return 0
	}
	st.syncBuckets(ac, now)
	for index := len(paid) - 1; index >= 0 && unused > 0; index-- {
		back := min(paid[index].tokens, unused)
		unused -= back
		accepted += st.refund(ac, paid[index], back, now)
	}
	st.serve(ac, now)
	return accepted
}

// refund puts tokens of a charge back into their bucket, or queues them for its holder. While the holder may still
// count the loan that paid as unspent, it is informed that the loan was spent; otherwise its bucket would have no free
// capacity for the refund.
func (st *state) refund(ac *account, paid chunk, tokens int64, now time.Time) (accepted int64) {
	if bu := ac.heldBucket(paid.bucket); bu != nil {
		bu.closeLoan(paid.tokens, paid.loan, paid.fencing, now)
		return bu.refund(tokens, paid.fencing, now)
	}
	if now.Sub(paid.expires) > loanHoldTime {
		paid.loan = 0
	}
	rt := st.returns.getOrAdd(paid, true, now)
	rt.tokens += tokens
	if paid.loan != 0 {
		rt.spent += paid.tokens
	}
	return 0
}

// getOrAdd returns the pending return to the holder that a chunk came from.
func (rt returns) getOrAdd(ch chunk, charged bool, now time.Time) *pendingReturn {
	key := returnKey{ch.bucket, ch.fencing, ch.loan, charged}
	if rt[key] == nil {
		rt[key] = &pendingReturn{since: now}
	}
	return rt[key]
}

// heldBucket returns the bucket with the given name, or nil if this instance does not hold it.
func (ac *account) heldBucket(name string) *bucket {
	for _, bu := range []*bucket{ac.pool.floor, ac.pool.home} {
		if bu != nil && bu.name == name {
			return bu
		}
	}
	return nil
}

// sendReturns sends the pending returns. A call is never repeated, because its response may be lost after it took
// effect; tokens of a failed call stay lost.
func (st *state) sendReturns(now time.Time) {
	for key, rt := range st.returns {
		if key.charged && now.Sub(rt.since) < returnInterval {
			continue
		}
		instance, ok := st.options.Holder(key.bucket)
		if !ok || instance == st.options.Instance {
			if now.Sub(rt.since) > returnMaxWait {
				delete(st.returns, key)
			}
			continue
		}
		delete(st.returns, key)
		st.sequence++
		id := strconv.FormatUint(st.sequence, 36)
		organisation, _ := bucketOwner(key.bucket)
		st.queueCall(call{organisation: organisation, instance: instance, id: id, returnRequest: &wire.ReturnRequest{
			Bucket: key.bucket, Borrower: st.options.Instance, RequestId: id, Tokens: rt.tokens,
			Fencing: key.fencing, Loan: key.loan, Spent: rt.spent,
		}})
	}
}

// acceptReturn accepts tokens that another instance returns.
func (st *state) acceptReturn(rq *wire.ReturnRequest, now time.Time) *wire.ReturnResponse {
	organisation, _ := bucketOwner(rq.GetBucket())
	ac := st.accounts[organisation]
	if ac == nil {
		return &wire.ReturnResponse{}
	}
	st.syncBuckets(ac, now)
	bu := ac.heldBucket(rq.GetBucket())
	if bu == nil {
		return &wire.ReturnResponse{}
	}
	var accepted int64
	if rq.GetLoan() != 0 && rq.GetSpent() == 0 {
		accepted = bu.returnLoan(rq.GetTokens(), rq.GetLoan(), rq.GetFencing(), now)
	} else {
		bu.closeLoan(rq.GetSpent(), rq.GetLoan(), rq.GetFencing(), now)
		accepted = bu.refund(rq.GetTokens(), rq.GetFencing(), now)
	}
	st.serve(ac, now)
	return &wire.ReturnResponse{Accepted: accepted}
}
