// Package limiter limits each organisation to its rate and burst, counted in tokens over all instances.
//
// An organisation's rate and burst are divided into a floor for each failure domain and a shared bucket, the home.
// Each of them is a token bucket with one holder. An instance borrows from the floor holder of its domain, which
// borrows from the home, which borrows the surplus of other floors. Loans are short-lived: a loan that is not spent in
// time is returned or lost. A bucket counts a loan against its burst for as long as the loan may be unspent, so the
// sum over all instances stays within rate * time + burst in any window.
package limiter

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/requester"
	"lovagebank/wire"
)

// operation is a function that the Run goroutine applies to the limiter's state.
type operation func(st *state, now time.Time)

// Limiter charges requests to their organisation's rate and burst. One goroutine, Run, owns its state.
type Limiter struct {
	options    Options
	operations chan operation
	// stopped is closed when no more operations are accepted, done when the pending calls have ended too.
	stopped chan struct{}
	done    chan struct{}
	calls   sync.WaitGroup
}

// New returns a limiter without plans; an organisation without a plan gets no tokens.
func New(options Options) *Limiter {
	return &Limiter{
		options: options.withDefaults(), operations: make(chan operation, operationQueueSize),
		stopped: make(chan struct{}), done: make(chan struct{}),
	}
}

// Run applies operations, timers and outgoing calls until the context ends.
func (lm *Limiter) Run(ctx context.Context) {
	defer close(lm.done)
	defer lm.calls.Wait()
	defer close(lm.stopped)
	st := newState(lm.options)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	busy := false
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-lm.operations:
			op(st, time.Now())
			if !busy {
				busy = true
				timer.Reset(tickInterval)
			}
		case <-timer.C:
			if busy = st.tick(time.Now()); busy {
				timer.Reset(tickInterval)
			} else {
				timer.Reset(idleInterval)
			}
		}
		for _, cl := range st.takeOutgoing() {
			lm.calls.Go(func() { lm.send(ctx, cl) })
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (lm *Limiter) Done() <-chan struct{} { return lm.done }

// send makes a call to another instance and posts the response to the state.
func (lm *Limiter) send(ctx context.Context, cl call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if cl.returnRequest != nil {
		// A lost response has no effect: the tokens are not sent again.
		_, _ = lm.options.Return(ctx, cl.instance, cl.returnRequest)
		return
	}
	rs, err := lm.options.Borrow(ctx, cl.instance, cl.borrowRequest)
	if err != nil {
		rs = nil
	}
	lm.post(func(st *state, now time.Time) { st.handleBorrowResponse(cl, rs, now) })
}

// post queues an operation and blocks while the queue is full. It returns false when the limiter has stopped.
func (lm *Limiter) post(op operation) bool {
	select {
	case lm.operations <- op:
		return true
	case <-lm.stopped:
		return false
	}
}

// SetPlan applies an organisation's rate (tokens a second) and burst (tokens); a rate of zero ends its plan.
func (lm *Limiter) SetPlan(organisation string, rate, burst float64) {
	lm.post(func(st *state, now time.Time) { st.setPlan(organisation, rate, burst, now) })
}

// SetDomains applies the list of failure domains over which the floors are divided.
func (lm *Limiter) SetDomains(domains []string) {
	lm.post(func(st *state, now time.Time) { st.setDomains(domains, now) })
}

// Grant is a charge that has been paid and is still to be settled.
type Grant struct {
	limiter      *Limiter
	organisation string
	cost         int64
	paid         []chunk
	once         sync.Once
}

// Charge takes cost tokens of the organisation before a request runs. It waits if the tokens are expected before the
// deadline, and otherwise returns a *requester.Refusal at once.
func (lm *Limiter) Charge(ctx context.Context, organisation string, cost int64, deadline time.Time) (*Grant, error) {
	wa := &waiter{cost: cost, deadline: deadline, done: make(chan result, 1)}
	select {
	case lm.operations <- func(st *state, now time.Time) { st.charge(organisation, wa, now) }:
	default:
		return nil, requester.Refuse(requester.CodeQueueFull, "the limiter is overloaded", unreachableRetryAfter)
	}
	var rs result
	select {
	case rs = <-wa.done:
	case <-lm.stopped:
		return nil, requester.Refuse(requester.CodeShuttingDown, "the instance is shutting down", unreachableRetryAfter)
	case <-ctx.Done():
		lm.post(func(st *state, now time.Time) { st.cancel(organisation, wa, now) })
		select {
		case rs = <-wa.done:
		case <-lm.stopped:
			return nil, requester.Refuse(requester.CodeShuttingDown, "the instance is shutting down", unreachableRetryAfter)
		}
	}
	if rs.refusal != nil {
		return nil, rs.refusal
	}
	return &Grant{limiter: lm, organisation: organisation, cost: cost, paid: rs.chunks}, nil
}

// Cost returns the number of tokens that were charged.
func (gr *Grant) Cost() int64 { return gr.cost }

// Settle refunds the charged tokens that were not used, or charges the tokens that were used beyond the estimate. Only
// the first call has an effect.
func (gr *Grant) Settle(used int64) {
	gr.once.Do(func() {
		unused := gr.cost - max(0, used)
		switch {
		case unused > 0:
			gr.limiter.post(func(st *state, now time.Time) { st.settle(gr.organisation, gr.paid, unused, now) })
		case unused < 0:
			gr.limiter.chargeExcess(gr.organisation, -unused)
		}
	})
}

// chargeExcess charges tokens that a request has already used. They are charged before the tokens of later requests;
// an amount that cannot be paid within excessMaxWait is written off.
func (lm *Limiter) chargeExcess(organisation string, tokens int64) {
	wa := &waiter{cost: tokens, deadline: time.Now().Add(excessMaxWait), done: make(chan result, 1)}
	lm.post(func(st *state, now time.Time) { st.charge(organisation, wa, now) })
}

// Borrow lends tokens of a bucket that this instance holds.
func (lm *Limiter) Borrow(rq *wire.BorrowRequest) *wire.BorrowResponse {
	reply := make(chan *wire.BorrowResponse, 1)
	answer := func(rs *wire.BorrowResponse) { reply <- rs }
	if !lm.post(func(st *state, now time.Time) { st.lend(rq, now, answer) }) {
		return &wire.BorrowResponse{}
	}
	return await(lm, reply, &wire.BorrowResponse{})
}

// Return accepts tokens back into a bucket that this instance holds.
func (lm *Limiter) Return(rq *wire.ReturnRequest) *wire.ReturnResponse {
	reply := make(chan *wire.ReturnResponse, 1)
	if !lm.post(func(st *state, now time.Time) { reply <- st.acceptReturn(rq, now) }) {
		return &wire.ReturnResponse{}
	}
	return await(lm, reply, &wire.ReturnResponse{})
}

// ApplyHandOver applies the state that was handed over with a bucket's holder lease; without one, the bucket starts empty.
// The state must come from the immediately preceding holder and be given to one next holder only. An error means that
// the state cannot be decoded.
func (lm *Limiter) ApplyHandOver(bucket string, fencing uint64, handedOver []byte) error {
	if len(handedOver) == 0 {
		return nil
	}
	handed := &wire.BucketState{}
	if err := proto.Unmarshal(handedOver, handed); err != nil {
		return err
	}
	lm.post(func(st *state, now time.Time) { st.applyHandOver(bucket, fencing, handed, now) })
	return nil
}

// HandOver stops using a bucket and returns its state for the next holder, or nil if there is no bucket to hand over.
func (lm *Limiter) HandOver(bucket string) []byte {
	reply := make(chan *wire.BucketState, 1)
	if !lm.post(func(st *state, now time.Time) { reply <- st.handOver(bucket, now) }) {
		return nil
	}
	state := await(lm, reply, nil)
	if state == nil {
		return nil
	}
	data, err := proto.Marshal(state)
	if err != nil {
		return nil
	}
	return data
}

// await returns the reply, or the fallback when the limiter stops first.
func await[T any](lm *Limiter, reply <-chan T, fallback T) T {
	select {
	case rs := <-reply:
		return rs
	case <-lm.stopped:
		return fallback
	}
}
