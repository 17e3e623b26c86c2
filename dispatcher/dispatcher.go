// Package dispatcher takes one request from its entry instance to a target and the answer back: attempts, resumes,
// retries within a budget, claims of requests that may not be repeated, and the quarantine of those that crash targets.
package dispatcher

import (
	"context"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Options joins a dispatcher to its neighbours and sets its limits. Zero limits mean defaults.
type Options struct {
	// Choose picks a target for a model request; Chosen ends each choice.
	Choose      func(rq *requester.Request, exclude []string) (*wire.Target, error)
	ChoiceEnded func(tg *wire.Target, rq *requester.Request, us requester.Usage, took time.Duration, err error)
	// Execute runs a model request at the holder of a target: the local scheduler or a peer.
	Execute func(ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error)

	// ServiceTargets returns the live targets of a plain service.
	ServiceTargets func(service string) []*wire.Target
	// Invoke calls a plain service.
	Invoke func(ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error)
	// Reachable tells whether a target accepts connections.
	Reachable func(ctx context.Context, tg *wire.Target) bool

	// Claim is asked just before a request that may not be repeated is sent. It returns the stored answer of an earlier
	// run, or nil when the request is to run now.
	Claim func(ctx context.Context, rq *requester.Request) (*wire.Answer, error)
	// FinishClaim records the end of a claimed request: done with its answer, or unknown.
	FinishClaim func(ctx context.Context, rq *requester.Request, state wire.ClaimState, answer *wire.Answer) error
	// ReleaseClaim gives a claim back whose request was never sent.
	ReleaseClaim func(ctx context.Context, rq *requester.Request) error

	// MaxAttempts bounds how often a request is sent or refused by targets before it is given up.
	MaxAttempts int
	// RetryRatio is the retries allowed for each success, and RetryBurst the retries that can be saved up.
	RetryRatio float64
	RetryBurst float64
	// RunTimeout bounds a request that may not be repeated, whose caller may be gone.
	RunTimeout time.Duration
	// QuarantineTime is how long a request that ran at a target's death is remembered.
	QuarantineTime time.Duration
	// MaxStoredAnswerBytes bounds the bytes of an answer that is recorded.
	MaxStoredAnswerBytes int
}

// The defaults of Options.
const (
	defaultMaxAttempts     = 6
	defaultRetryShare      = 0.1
	defaultRetryBurst      = 50
	defaultRunLimit        = 2 * time.Minute
	defaultQuarantineTime  = 10 * time.Minute
	defaultMaxStoredAnswer = 64 << 10

	giveUpRetryAfter = 2 * time.Second
	// recordTimeout bounds the recording of an answer after its request.
	recordTimeout = 30 * time.Second
)

func (op *Options) setDefaults() {
	if op.MaxAttempts == 0 {
		op.MaxAttempts = defaultMaxAttempts
	}
	if op.RetryRatio == 0 {
		op.RetryRatio = defaultRetryShare
	}
	if op.RetryBurst == 0 {
		op.RetryBurst = defaultRetryBurst
	}
	if op.RunTimeout == 0 {
		op.RunTimeout = defaultRunLimit
	}
	if op.QuarantineTime == 0 {
		op.QuarantineTime = defaultQuarantineTime
	}
	if op.MaxStoredAnswerBytes == 0 {
		op.MaxStoredAnswerBytes = defaultMaxStoredAnswer
	}
	if op.ChoiceEnded == nil {
		op.ChoiceEnded = func(*wire.Target, *requester.Request, requester.Usage, time.Duration, error) {}
	}
	if op.Reachable == nil {
		op.Reachable = func(context.Context, *wire.Target) bool { return true }
	}
	if op.ReleaseClaim == nil {
		op.ReleaseClaim = func(context.Context, *requester.Request) error { return nil }
	}
}

// Dispatcher runs requests. Its methods may be called from any goroutine.
type Dispatcher struct {
	options    Options
	budget     *retryBudget
	quarantine *quarantine
	services   *serviceLoads
}

// New makes a dispatcher.
func New(options Options) *Dispatcher {
	options.setDefaults()
	return &Dispatcher{
		options:    options,
		budget:     newRetryBudget(options.RetryRatio, options.RetryBurst),
		quarantine: newQuarantine(options.QuarantineTime),
		services:   newServiceLoads(),
	}
}

// Dispatch runs a request and passes one whole answer to the sink. An error is a *requester.Refusal; when it comes
// after parts of the answer, the answer is not whole.
func (di *Dispatcher) Dispatch(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	if rf := di.quarantine.enter(rq.Fingerprint(), time.Now()); rf != nil {
		return requester.Usage{}, rf
	}
	defer di.quarantine.leave(rq.Fingerprint())
	if !rq.Repeatable() {
		return di.runOnce(ctx, rq, sink)
	}
	return di.newRun(rq, sink).attempts(ctx)
}

// IsSuspect tells whether a request ran on a target when it died, so that it should run apart from other suspects.
func (di *Dispatcher) IsSuspect(fingerprint string) bool {
	return di.quarantine.suspect(fingerprint, time.Now())
}

// Quarantines returns what gossip tells other instances.
func (di *Dispatcher) Quarantines() []*wire.Quarantine { return di.quarantine.entries(time.Now()) }

// MergeQuarantines takes what gossip brought.
func (di *Dispatcher) MergeQuarantines(entries []*wire.Quarantine) {
	di.quarantine.merge(entries, time.Now())
}
