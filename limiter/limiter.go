// Package limiter keeps organisations within their rate and burst, counted in tokens over all instances.
//
// An organisation's rate and burst are split once: a floor for each failure domain, and a shared part at the
// organisation's home. Each part is one bucket with one holder. An instance borrows from its domain's floor holder,
// which borrows from the home, which borrows what other floors can spare. Loans are short: one that isn't spent in
// time goes back or is lost. A bucket counts a loan against its burst for as long as it may be unspent, so the sum
// over all instances stays within rate * time + burst in any window.
package limiter

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/requester"
	"lovagebank/wire"
)

// message is one thing that the limiter's goroutine does to its state.
type message func(st *state, now time.Time)

// Limiter charges requests to their organisation's rate and burst. One goroutine, Run, owns its state.
type Limiter struct {
	options Options
	ring    chan message
	// stopped is closed when no message is taken any more, done when the calls under way have ended too.
	stopped chan struct{}
	done    chan struct{}
	calls   sync.WaitGroup
}

// New makes a limiter without plans; an organisation without a plan gets no tokens.
func New(options Options) *Limiter {
	return &Limiter{
		options: options.withDefaults(), ring: make(chan message, ringSize),
		stopped: make(chan struct{}), done: make(chan struct{}),
	}
}

// Run does the limiter's work until the context ends.
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
		case ms := <-lm.ring:
			ms(st, time.Now())
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
		for _, cl := range st.drain() {
			lm.calls.Go(func() { lm.send(ctx, cl) })
		}
	}
}

// Done is closed when Run has ended.
func (lm *Limiter) Done() <-chan struct{} { return lm.done }

// send makes a call to another instance and brings the answer back.
func (lm *Limiter) send(ctx context.Context, cl call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if cl.giveBack != nil {
		// A lost answer changes nothing: the tokens are not sent again.
		_, _ = lm.options.Return(ctx, cl.instance, cl.giveBack)
		return
	}
	rs, err := lm.options.Borrow(ctx, cl.instance, cl.borrow)
	if err != nil {
		rs = nil
	}
	lm.post(func(st *state, now time.Time) { st.borrowed(cl, rs, now) })
}

// post hands a message over, waiting for room. It tells false when the limiter has ended.
func (lm *Limiter) post(ms message) bool {
	select {
	case lm.ring <- ms:
		return true
	case <-lm.stopped:
		return false
	}
}

// SetPlan puts an organisation's rate (tokens a second) and burst (tokens) in force; a rate of zero ends it.
func (lm *Limiter) SetPlan(organisation string, rate, burst float64) {
	lm.post(func(st *state, now time.Time) { st.setPlan(organisation, rate, burst, now) })
}

// SetDomains puts the list of failure domains in force that floors are split over.
func (lm *Limiter) SetDomains(domains []string) {
	lm.post(func(st *state, now time.Time) { st.setDomains(domains, now) })
}

// Grant is a charge that was made and waits to be settled.
type Grant struct {
	limiter      *Limiter
	organisation string
	cost         int64
	paid         []chunk
	once         sync.Once
}

// Charge takes cost tokens of the organisation before a request runs. It waits if the tokens will be there before the
// deadline, and otherwise returns a *requester.Refusal at once.
func (lm *Limiter) Charge(ctx context.Context, organisation string, cost int64, deadline time.Time) (*Grant, error) {
	wa := &waiter{cost: cost, deadline: deadline, done: make(chan result, 1)}
	select {
	case lm.ring <- func(st *state, now time.Time) { st.charge(organisation, wa, now) }:
	default:
		return nil, requester.Refuse(requester.CodeQueueFull, "the limiter is overloaded", unreachableRetry)
	}
	var rs result
	select {
	case rs = <-wa.done:
	case <-lm.stopped:
		return nil, requester.Refuse(requester.CodeShuttingDown, "the instance is shutting down", unreachableRetry)
	case <-ctx.Done():
		lm.post(func(st *state, now time.Time) { st.cancel(organisation, wa, now) })
		select {
		case rs = <-wa.done:
		case <-lm.stopped:
			return nil, requester.Refuse(requester.CodeShuttingDown, "the instance is shutting down", unreachableRetry)
		}
	}
	if rs.refusal != nil {
		return nil, rs.refusal
	}
	return &Grant{limiter: lm, organisation: organisation, cost: cost, paid: rs.parts}, nil
}

// Cost returns the tokens that were charged.
func (gr *Grant) Cost() int64 { return gr.cost }

// Settle gives back what was charged and not used, in tokens, or charges what was used beyond the estimate. Only the
// first call counts.
func (gr *Grant) Settle(used int64) {
	gr.once.Do(func() {
		unused := gr.cost - max(0, used)
		switch {
		case unused > 0:
			gr.limiter.post(func(st *state, now time.Time) { st.settle(gr.organisation, gr.paid, unused, now) })
		case unused < 0:
			gr.limiter.chargeLate(gr.organisation, -unused)
		}
	})
}

// chargeLate takes tokens that a request has already used. They come before those of later requests; what can't be paid
// within the patience is written off.
func (lm *Limiter) chargeLate(organisation string, tokens int64) {
	wa := &waiter{cost: tokens, deadline: time.Now().Add(latePatience), done: make(chan result, 1)}
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

// Return takes tokens back into a bucket that this instance holds.
func (lm *Limiter) Return(rq *wire.ReturnRequest) *wire.ReturnResponse {
	reply := make(chan *wire.ReturnResponse, 1)
	if !lm.post(func(st *state, now time.Time) { reply <- st.takeBack(rq, now) }) {
		return &wire.ReturnResponse{}
	}
	return await(lm, reply, &wire.ReturnResponse{})
}

// ApplyHandOver takes the state that came with a bucket's holder lease; with none, the bucket starts empty. The state must
// be what the holder just before handed over, and be given to one next holder only.
func (lm *Limiter) ApplyHandOver(bucket string, fencing uint64, handedOver []byte) error {
	if len(handedOver) == 0 {
		return nil
	}
	handed := &wire.BucketState{}
	if err := proto.Unmarshal(handedOver, handed); err != nil {
		return err
	}
	lm.post(func(st *state, now time.Time) { st.acquired(bucket, fencing, handed, now) })
	return nil
}

// HandOver stops a held bucket and returns its state for the next holder; nil if it isn't held.
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

func await[T any](lm *Limiter, reply <-chan T, otherwise T) T {
	select {
	case rs := <-reply:
		return rs
	case <-lm.stopped:
		return otherwise
	}
}
