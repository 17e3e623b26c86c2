// Package dispatcher sends a request from its entry instance to a target and relays the answer to the caller. It
// resumes streams that break off, retries within a budget, claims requests that may not be repeated, and quarantines
// requests that crash targets.
package dispatcher

import (
	"context"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Options configures a dispatcher. A limit of zero means its default.
type Options struct {
	// Choose picks a target for a model request. ChoiceEnded is called once for each choice when it ends, even if
	// nothing was sent.
	Choose      func(rq *requester.Request, exclude []string) (*wire.Target, error)
	ChoiceEnded func(tg *wire.Target, rq *requester.Request, us requester.Usage, took time.Duration, err error)
	// Execute runs a model request through the holder of a target, which is the local scheduler or a peer.
	Execute func(ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error)

	// ServiceTargets returns the live targets of a plain service.
	ServiceTargets func(service string) []*wire.Target
	// Invoke calls a plain service.
	Invoke func(ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error)
	// Reachable reports whether a target accepts connections.
	Reachable func(ctx context.Context, tg *wire.Target) bool

	// Claim is called just before a request that may not be repeated is sent. It returns the stored answer of an
	// earlier run, or nil if the request is to run now.
	Claim func(ctx context.Context, rq *requester.Request) (*wire.Answer, error)
	// FinishClaim records the outcome of a claimed request: done with its answer, or unknown without one.
	FinishClaim func(ctx context.Context, rq *requester.Request, state wire.ClaimState, answer *wire.Answer) error
	// ReleaseClaim gives up the claim of a request that did not run.
	ReleaseClaim func(ctx context.Context, rq *requester.Request) error

	// MaxAttempts limits how often a request is sent to targets or refused by them before the dispatcher gives it up.
	MaxAttempts int
	// RetryRatio is the number of retries allowed for each success, and RetryBurst the most unused retries kept.
	RetryRatio float64
	RetryBurst float64
	// RunTimeout limits the run of a request that may not be repeated, since it goes on when its caller disconnects.
	RunTimeout time.Duration
	// QuarantineTime is how long a request is remembered after a target died while running it.
	QuarantineTime time.Duration
	// MaxStoredAnswerBytes is the largest body, in bytes, that is stored with a recorded answer.
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
	// recordTimeout limits the recording of an outcome after its request has ended.
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

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	options.setDefaults()
	return &Dispatcher{
		options:    options,
		budget:     newRetryBudget(options.RetryRatio, options.RetryBurst),
		quarantine: newQuarantine(options.QuarantineTime),
		services:   newServiceLoads(),
	}
}

// Dispatch runs a request and passes one complete answer to the sink. Errors are of type *requester.Refusal. If parts
// of the answer were passed on before the error, the answer is incomplete.
func (di *Dispatcher) Dispatch(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	if rf := di.quarantine.admit(rq.Fingerprint(), time.Now()); rf != nil {
		return requester.Usage{}, rf
	}
	defer di.quarantine.end(rq.Fingerprint())
	if !rq.Repeatable() {
		return di.runOnce(ctx, rq, sink)
	}
	return di.newRun(rq, sink).runAttempts(ctx)
}

// IsSuspect reports whether a target died while it ran the request. Such requests should not run on a target together.
func (di *Dispatcher) IsSuspect(fingerprint string) bool {
	return di.quarantine.isSuspect(fingerprint, time.Now())
}

// Quarantines returns the quarantine entries to gossip to other instances.
func (di *Dispatcher) Quarantines() []*wire.Quarantine { return di.quarantine.entries(time.Now()) }

// MergeQuarantines merges quarantine entries received by gossip.
func (di *Dispatcher) MergeQuarantines(entries []*wire.Quarantine) {
	di.quarantine.merge(entries, time.Now())
}
