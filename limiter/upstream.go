package limiter

import (
	"strconv"
	"time"

	"lovagebank/wire"
)

// The upstreams of an account: its domain's floor holder, the home, and for a home each other domain's floor.
const (
	upstreamFloor = "floor"
	upstreamHome  = "home"
)

type upstreamKind int

const (
	upstreamLoan upstreamKind = iota + 1
	upstreamSurplus
)

// upstream is one holder that tokens are borrowed from.
type upstream struct {
	kind   upstreamKind
	bucket string
	// flight is the request under way, or nil.
	flight *flight
	// nextAsk is the earliest time of the next request.
	nextAsk time.Time
	// backoff is zero while the holder answers.
	backoff time.Duration
	// short tells that the last answer, which the following fields hold, gave less than what waits.
	short      bool
	answeredAt time.Time
	// The first least tokens are expected at readyAt, all that wait at allAt, and more at the rate after that.
	readyAt time.Time
	least   int64
	allAt   time.Time
	waiting int64
	rate    float64
}

// flight is one request for tokens under way.
type flight struct {
	id     string
	sentAt time.Time
	least  int64
	// waiting is what requests and borrowers here wait for.
	waiting int64
}

// waitFor estimates when the given tokens will be lent, from the last answer.
func (up *upstream) waitFor(missing int64, rate float64, now time.Time) time.Duration {
	ready := max(0, up.readyAt.Sub(now))
	all := max(ready, up.allAt.Sub(now))
	switch {
	case missing <= up.least:
		return ready
	case missing <= up.waiting:
		return ready + time.Duration(float64(all-ready)*float64(missing-up.least)/float64(up.waiting-up.least))
	}
	wait := timeFor(missing-max(up.least, up.waiting), rate)
	if wait > never-all {
		return never
	}
	return all + wait
}

func (up *upstream) reachable() bool { return up.backoff == 0 }

func (up *upstream) failed(now time.Time) {
	up.backoff = min(max(failureBackoff, 2*up.backoff), failureBackoffMax)
	up.nextAsk = now.Add(up.backoff)
	up.short = false
}

// call is a message for another instance, sent by the plumbing. Exactly one of borrow and giveBack is set.
type call struct {
	organisation string
	upstream     string
	instance     string
	id           string
	borrow       *wire.BorrowRequest
	giveBack     *wire.ReturnRequest
}

// ask borrows for an account that is short of tokens.
func (st *state) ask(ac *account, now time.Time) {
	short := ac.waiting() + ac.owed(self) - ac.pool.available(scopeLocal, now)
	least := ac.head() - ac.pool.available(scopeLocal, now)
	if ac.head() == 0 || short <= 0 {
		return
	}
	least = min(max(1, least), short)
	switch {
	case ac.pool.home != nil:
		for _, domain := range st.domains {
			if domain != st.options.Domain || ac.pool.floor == nil {
				st.borrow(ac, domain, upstreamSurplus, FloorBucket(domain, ac.organisation), 0, short, now)
			}
		}
	case ac.pool.floor != nil:
		st.borrow(ac, upstreamHome, upstreamLoan, HomeBucket(ac.organisation), least, short, now)
	default:
		bucket := FloorBucket(st.options.Domain, ac.organisation)
		st.borrow(ac, upstreamFloor, upstreamLoan, bucket, least, short, now)
		if floor := ac.upstreams[upstreamFloor]; floor == nil || !floor.reachable() {
			st.borrow(ac, upstreamHome, upstreamLoan, HomeBucket(ac.organisation), least, short, now)
		}
	}
}

// head returns what the first waiter or borrower needs, or zero if there is none.
func (ac *account) head() int64 {
	if len(ac.pendings) > 0 {
		return ac.pendings[0].least
	}
	if len(ac.waiters) > 0 {
		return ac.waiters[0].cost
	}
	return 0
}

// due returns the deadline of the first waiter or borrower.
func (ac *account) due() time.Time {
	if len(ac.pendings) > 0 {
		return ac.pendings[0].due
	}
	if len(ac.waiters) > 0 {
		return ac.waiters[0].deadline
	}
	return time.Time{}
}

func (st *state) borrow(ac *account, key string, kind upstreamKind, bucket string, least, short int64, now time.Time) {
	up := ac.upstreams[key]
	if up == nil {
		up = &upstream{kind: kind, bucket: bucket}
		ac.upstreams[key] = up
	}
	if up.flight != nil || now.Before(up.nextAsk) {
		return
	}
	instance, ok := st.options.Holder(bucket)
	if !ok || instance == st.options.Instance {
		up.failed(now)
		return
	}
	if now.Sub(up.answeredAt) > answerFresh {
		up.short = false
	}
	st.sequence++
	up.flight = &flight{id: strconv.FormatUint(st.sequence, 36), sentAt: now, least: least, waiting: short}
	rq := &wire.BorrowRequest{
		Bucket: bucket, Borrower: st.options.Instance, RequestId: up.flight.id,
		Tokens: short + ac.wanted(st.options.BatchHorizon, now), Least: least, Waiting: short,
		Surplus: kind == upstreamSurplus, LeftMs: ac.due().Sub(now).Milliseconds(),
		Steps: ac.steps(ac.pool.available(scopeLocal, now)),
	}
	if kind == upstreamSurplus {
		rq.Tokens = short
	}
	st.send(call{organisation: ac.organisation, upstream: key, instance: instance, id: up.flight.id, borrow: rq})
}

// borrowed takes the answer to a request for tokens, or nil when there was none.
func (st *state) borrowed(cl call, rs *wire.BorrowResponse, now time.Time) {
	ac := st.accounts[cl.organisation]
	if ac == nil {
		return
	}
	up := ac.upstreams[cl.upstream]
	if up == nil || up.flight == nil || up.flight.id != cl.id {
		return
	}
	fl := up.flight
	up.flight = nil
	if rs == nil || !rs.GetHeld() {
		up.failed(now)
		st.serve(ac, now)
		return
	}
	up.backoff, up.short, up.answeredAt = 0, rs.GetTokens() < fl.waiting, now
	up.rate, up.least, up.readyAt = rs.GetRate(), 0, now
	up.waiting = max(0, fl.waiting-rs.GetTokens())
	up.allAt = now.Add(time.Duration(rs.GetBacklogMs()) * time.Millisecond)
	ac.unreachableSince = time.Time{}
	if cl.upstream == upstreamHome {
		ac.pool.homeFill = rs.GetFill()
	}
	ac.receive(rs.GetParts(), fl.sentAt)
	if rs.GetTokens() == 0 {
		retry := time.Duration(rs.GetRetryAfterMs()) * time.Millisecond
		up.readyAt, up.least = now.Add(retry), fl.least
		up.nextAsk = now.Add(askAgain)
		if up.kind == upstreamSurplus {
			up.nextAsk = now.Add(surplusPause)
		}
	}
	st.serve(ac, now)
}

// receive adds a loan to the pool; its validity counts from before it was asked for.
func (ac *account) receive(lent []*wire.LoanPart, sentAt time.Time) {
	for _, lp := range lent {
		expires := sentAt.Add(time.Duration(lp.GetValidMs()) * time.Millisecond)
		piece := part{lp.GetBucket(), lp.GetFencing(), lp.GetTokens()}
		ac.pool.chunks = append(ac.pool.chunks, chunk{piece, lp.GetLoan(), expires})
	}
}
