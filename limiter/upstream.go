package limiter

import (
	"strconv"
	"time"

	"lovagebank/wire"
)

// Keys of an account's upstreams: the floor holder of its domain, and the home. A home's upstreams are the floors, by
// failure domain.
const (
	upstreamFloor = "floor"
	upstreamHome  = "home"
)

// upstreamKind is the kind of loan that an upstream gives.
type upstreamKind int

const (
	// upstreamLoan is an ordinary loan.
	upstreamLoan upstreamKind = iota + 1
	// upstreamSurplus is a loan from the surplus of a floor to the home.
	upstreamSurplus
)

// upstream is a holder that tokens are borrowed from.
type upstream struct {
	kind   upstreamKind
	bucket string
	// pending is the request in flight, or nil.
	pending *pendingBorrow
	// nextRequestAt is the earliest time of the next request.
	nextRequestAt time.Time
	// backoff is zero while the holder answers.
	backoff time.Duration
	// insufficient is set if the last response gave less than the tokens that waited. The following fields hold that
	// response.
	insufficient bool
	answeredAt   time.Time
	// The first minTokens tokens are expected at readyAt, all that wait at allReadyAt, and more at the rate after that.
	readyAt    time.Time
	minTokens  int64
	allReadyAt time.Time
	waiting    int64
	rate       float64
}

// pendingBorrow is a request for tokens in flight.
type pendingBorrow struct {
	id        string
	sentAt    time.Time
	minTokens int64
	// waiting is the number of tokens that requests and borrowers here wait for.
	waiting int64
}

// estimateWait estimates the time until the missing tokens will be lent, from the last response.
func (up *upstream) estimateWait(missing int64, rate float64, now time.Time) time.Duration {
	ready := max(0, up.readyAt.Sub(now))
	all := max(ready, up.allReadyAt.Sub(now))
	switch {
	case missing <= up.minTokens:
		return ready
	case missing <= up.waiting:
		return ready + time.Duration(float64(all-ready)*float64(missing-up.minTokens)/float64(up.waiting-up.minTokens))
	}
	wait := refillTime(missing-max(up.minTokens, up.waiting), rate)
	if wait > infiniteWait-all {
		return infiniteWait
	}
	return all + wait
}

// reachable reports whether the last attempt to reach the holder succeeded, or none was made yet.
func (up *upstream) reachable() bool { return up.backoff == 0 }

// recordFailure doubles the pause before the next request, between failureBackoff and failureBackoffMax.
func (up *upstream) recordFailure(now time.Time) {
	up.backoff = min(max(failureBackoff, 2*up.backoff), failureBackoffMax)
	up.nextRequestAt = now.Add(up.backoff)
	up.insufficient = false
}

// call is a call to another instance, which Limiter.send makes. Exactly one of borrowRequest and returnRequest is set.
type call struct {
	organisation  string
	upstream      string
	instance      string
	id            string
	borrowRequest *wire.BorrowRequest
	returnRequest *wire.ReturnRequest
}

// borrowShortfall borrows the tokens that an account lacks.
func (st *state) borrowShortfall(ac *account, now time.Time) {
	shortfall := ac.waitingTokens() + ac.borrowerDemand(selfBorrower) - ac.pool.available(scopeLocal, now)
	minTokens := ac.firstNeed() - ac.pool.available(scopeLocal, now)
	if ac.firstNeed() == 0 || shortfall <= 0 {
		return
	}
	minTokens = min(max(1, minTokens), shortfall)
	switch {
	case ac.pool.home != nil:
		for _, domain := range st.domains {
			if domain != st.options.Domain || ac.pool.floor == nil {
				st.requestTokens(ac, domain, upstreamSurplus, FloorBucket(domain, ac.organisation), 0, shortfall, now)
			}
		}
	case ac.pool.floor != nil:
		st.requestTokens(ac, upstreamHome, upstreamLoan, HomeBucket(ac.organisation), minTokens, shortfall, now)
	default:
		bucket := FloorBucket(st.options.Domain, ac.organisation)
		st.requestTokens(ac, upstreamFloor, upstreamLoan, bucket, minTokens, shortfall, now)
		if floor := ac.upstreams[upstreamFloor]; floor == nil || !floor.reachable() {
			st.requestTokens(ac, upstreamHome, upstreamLoan, HomeBucket(ac.organisation), minTokens, shortfall, now)
		}
	}
}

// firstNeed returns the tokens that the first waiter or borrower needs, or zero if there is none.
func (ac *account) firstNeed() int64 {
	if len(ac.queue) > 0 {
		return ac.queue[0].minTokens
	}
	if len(ac.waiters) > 0 {
		return ac.waiters[0].cost
	}
	return 0
}

// firstDeadline returns the deadline of the first waiter or borrower.
func (ac *account) firstDeadline() time.Time {
	if len(ac.queue) > 0 {
		return ac.queue[0].deadline
	}
	if len(ac.waiters) > 0 {
		return ac.waiters[0].deadline
	}
	return time.Time{}
}

// requestTokens sends a request for tokens to the holder of a bucket, unless one is in flight or the holder is in a
// pause.
func (st *state) requestTokens(ac *account, key string, kind upstreamKind, bucket string,
	minTokens, shortfall int64, now time.Time,
) {
	up := ac.upstreams[key]
	if up == nil {
		up = &upstream{kind: kind, bucket: bucket}
		ac.upstreams[key] = up
	}
	if up.pending != nil || now.Before(up.nextRequestAt) {
		return
	}
	instance, ok := st.options.Holder(bucket)
	if !ok || instance == st.options.Instance {
		up.recordFailure(now)
		return
	}
	if now.Sub(up.answeredAt) > answerMaxAge {
		up.insufficient = false
	}
	st.sequence++
	up.pending = &pendingBorrow{
		id: strconv.FormatUint(st.sequence, 36), sentAt: now, minTokens: minTokens,
		waiting: shortfall,
	}
	rq := &wire.BorrowRequest{
		Bucket: bucket, Borrower: st.options.Instance, RequestId: up.pending.id,
		Tokens: shortfall + ac.expectedDemand(st.options.BatchHorizon, now), Least: minTokens, Waiting: shortfall,
		Surplus: kind == upstreamSurplus, LeftMs: ac.firstDeadline().Sub(now).Milliseconds(),
		Steps: ac.steps(ac.pool.available(scopeLocal, now)),
	}
	if kind == upstreamSurplus {
		rq.Tokens = shortfall
	}
	st.queueCall(call{
		organisation: ac.organisation, upstream: key, instance: instance, id: up.pending.id,
		borrowRequest: rq,
	})
}

// handleBorrowResponse applies the response to a request for tokens; rs is nil if there was none.
func (st *state) handleBorrowResponse(cl call, rs *wire.BorrowResponse, now time.Time) {
	ac := st.accounts[cl.organisation]
	if ac == nil {
		return
	}
	up := ac.upstreams[cl.upstream]
	if up == nil || up.pending == nil || up.pending.id != cl.id {
		return
	}
	pb := up.pending
	up.pending = nil
	if rs == nil || !rs.GetHeld() {
		up.recordFailure(now)
		st.serve(ac, now)
		return
	}
	up.backoff, up.insufficient, up.answeredAt = 0, rs.GetTokens() < pb.waiting, now
	up.rate, up.minTokens, up.readyAt = rs.GetRate(), 0, now
	up.waiting = max(0, pb.waiting-rs.GetTokens())
	up.allReadyAt = now.Add(time.Duration(rs.GetBacklogMs()) * time.Millisecond)
	ac.unreachableSince = time.Time{}
	if cl.upstream == upstreamHome {
		ac.pool.homeFill = rs.GetFill()
	}
	ac.addLoans(rs.GetParts(), pb.sentAt)
	if rs.GetTokens() == 0 {
		retry := time.Duration(rs.GetRetryAfterMs()) * time.Millisecond
		up.readyAt, up.minTokens = now.Add(retry), pb.minTokens
		up.nextRequestAt = now.Add(borrowRetryInterval)
		if up.kind == upstreamSurplus {
			up.nextRequestAt = now.Add(surplusRetryInterval)
		}
	}
	st.serve(ac, now)
}

// addLoans adds a loan to the pool. Its validity counts from before the request was sent, so it ends here before it
// ends at the lender.
func (ac *account) addLoans(parts []*wire.LoanPart, sentAt time.Time) {
	for _, lp := range parts {
		expires := sentAt.Add(time.Duration(lp.GetValidMs()) * time.Millisecond)
		ba := bucketAmount{lp.GetBucket(), lp.GetFencing(), lp.GetTokens()}
		ac.pool.chunks = append(ac.pool.chunks, chunk{ba, lp.GetLoan(), expires})
	}
}
