package limiter

import (
	"strconv"
	"time"

	"lovagebank/wire"
)

// returnKey names where given-back tokens belong.
type returnKey struct {
	bucket  string
	fencing uint64
	// loan is zero when no holder counts the loan any more.
	loan uint64
	// charged tells tokens of a charge from those of an unspent loan, which must not be taken back late.
	charged bool
}

// returned is an amount on its way back.
type returned struct {
	tokens int64
	// spent is what requests were charged of the loan.
	spent int64
	since time.Time
}

// returns gathers given-back tokens until they are sent.
type returns map[returnKey]*returned

// settle gives back what a request was charged and didn't use, to the buckets that paid last. It returns how much
// went into buckets held here; the rest is on its way.
func (st *state) settle(organisation string, paid []chunk, unused int64, now time.Time) (accepted int64) {
	ac := st.accounts[organisation]
	if ac == nil {
		return 0
	}
	st.hold(ac, now)
	for index := len(paid) - 1; index >= 0 && unused > 0; index-- {
		back := min(paid[index].tokens, unused)
		unused -= back
		accepted += st.giveBack(ac, paid[index], back, now)
	}
	st.serve(ac, now)
	return accepted
}

// giveBack puts tokens of a charge back into their bucket, or on the way to it. While the holder may count the loan
// that paid as unspent, it is told that it was spent, or it would have no room.
func (st *state) giveBack(ac *account, paid chunk, tokens int64, now time.Time) (accepted int64) {
	if bu := ac.held(paid.bucket); bu != nil {
		bu.closeLoan(paid.tokens, paid.loan, paid.fencing, now)
		return bu.giveBack(tokens, paid.fencing, now)
	}
	if now.Sub(paid.expires) > loanHold {
		paid.loan = 0
	}
	rt := st.returns.at(paid, true, now)
	rt.tokens += tokens
	if paid.loan != 0 {
		rt.spent += paid.tokens
	}
	return 0
}

// at returns the amount on its way back to where a chunk came from.
func (rt returns) at(ch chunk, charged bool, now time.Time) *returned {
	key := returnKey{ch.bucket, ch.fencing, ch.loan, charged}
	if rt[key] == nil {
		rt[key] = &returned{since: now}
	}
	return rt[key]
}

// held returns the bucket of a name if this instance holds it.
func (ac *account) held(name string) *bucket {
	for _, bu := range []*bucket{ac.pool.floor, ac.pool.home} {
		if bu != nil && bu.name == name {
			return bu
		}
	}
	return nil
}

// flush sends what was given back. A call is never repeated, since its answer may be lost after it took effect: such
// tokens stay lost.
func (st *state) flush(now time.Time) {
	for key, rt := range st.returns {
		if key.charged && now.Sub(rt.since) < flushInterval {
			continue
		}
		instance, ok := st.options.Holder(key.bucket)
		if !ok || instance == st.options.Instance {
			if now.Sub(rt.since) > returnPatience {
				delete(st.returns, key)
			}
			continue
		}
		delete(st.returns, key)
		st.sequence++
		id := strconv.FormatUint(st.sequence, 36)
		organisation, _ := bucketOwner(key.bucket)
		st.send(call{organisation: organisation, instance: instance, id: id, giveBack: &wire.ReturnRequest{
			Bucket: key.bucket, Borrower: st.options.Instance, RequestId: id, Tokens: rt.tokens, Fencing: key.fencing, Loan: key.loan,
			Spent: rt.spent,
		}})
	}
}

// takeBack takes tokens that another instance gives back.
func (st *state) takeBack(rq *wire.ReturnRequest, now time.Time) *wire.ReturnResponse {
	organisation, _ := bucketOwner(rq.GetBucket())
	ac := st.accounts[organisation]
	if ac == nil {
		return &wire.ReturnResponse{}
	}
	st.hold(ac, now)
	bu := ac.held(rq.GetBucket())
	if bu == nil {
		return &wire.ReturnResponse{}
	}
	var accepted int64
	if rq.GetLoan() != 0 && rq.GetSpent() == 0 {
		accepted = bu.takeLoan(rq.GetTokens(), rq.GetLoan(), rq.GetFencing(), now)
	} else {
		bu.closeLoan(rq.GetSpent(), rq.GetLoan(), rq.GetFencing(), now)
		accepted = bu.giveBack(rq.GetTokens(), rq.GetFencing(), now)
	}
	st.serve(ac, now)
	return &wire.ReturnResponse{Accepted: accepted}
}
