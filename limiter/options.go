package limiter

import (
	"context"
	"strings"
	"time"

	"lovagebank/wire"
)

// Times and sizes of the limiter.
const (
	// loanValidity is how long a borrower may spend a loan, counted from before it asked.
	loanValidity = 250 * time.Millisecond
	// loanHold is how long a holder counts a loan as unspent; the margin covers clocks that run at different speeds.
	loanHold = loanValidity + loanValidity/10
	// returnAhead is the validity left at which an unspent loan goes back.
	returnAhead = 100 * time.Millisecond
	// flushInterval is the time over which given-back tokens are gathered.
	flushInterval = 50 * time.Millisecond
	// returnPatience is how long given-back tokens are kept for a holder that isn't known.
	returnPatience = 2 * time.Second
	// batchHorizon is the time whose demand is borrowed ahead.
	batchHorizon = 100 * time.Millisecond
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// callTimeout bounds one call to another instance.
	callTimeout = 250 * time.Millisecond
	// holdReply is how long a holder waits for tokens before it tells a borrower that there are none yet.
	holdReply = 80 * time.Millisecond
	// askAgain is the pause of a borrower that got none.
	askAgain = 10 * time.Millisecond
	// surplusPause is the pause of a home between two requests to a floor that could spare nothing.
	surplusPause = 100 * time.Millisecond
	// answerFresh is how long an answer's forecast is relied on.
	answerFresh = 250 * time.Millisecond
	// failureBackoff and failureBackoffMax space the calls to a holder that doesn't answer.
	failureBackoff    = 50 * time.Millisecond
	failureBackoffMax = unreachablePatience / 4
	// pendingPatience is how long a place in a holder's queue is kept for a borrower that doesn't ask again.
	pendingPatience = 150 * time.Millisecond
	// unreachablePatience is how long a request waits while no holder answers; a hand-over takes up to a second.
	unreachablePatience = 2 * time.Second
	// latePatience is how long tokens used beyond a charge are waited for.
	latePatience = time.Minute
	// unreachableRetry is the retry time told while no holder answers.
	unreachableRetry = time.Second
	// shareDelay is how long a floor that a change of the failure domains adds or raises waits, so that the other
	// domains have lowered theirs. An accepted configuration is in force everywhere within 8 s.
	shareDelay = 10 * time.Second
	// tickInterval is the step of the limiter's timer while it has work.
	tickInterval = 10 * time.Millisecond
	// idleInterval is the step of the timer while the limiter has no work; held buckets follow their leases by it.
	idleInterval = 100 * time.Millisecond
	// forecastSlack and forecastSlackLeast bound the error of a forecast: a part of the time left, and a least time.
	forecastSlack      = 5
	forecastSlackLeast = 100 * time.Millisecond
	ringSize           = 4096
	maxWaiters         = 1024
	// maxSteps bounds the amounts that a request for tokens lists.
	maxSteps   = 32
	maxPending = 1024
	// defaultFloorRate and defaultFloorBurst are the parts of rate and burst that are split over the failure domains. A
	// floor's burst has to pay for whole requests while its domain is cut off.
	defaultFloorRate  = 0.2
	defaultFloorBurst = 0.2
	// defaultReserve is the part of a floor's burst that isn't lent to other domains.
	defaultReserve = 0.1
)

// Options configures a Limiter. All functions may be called from any goroutine and must not block, but for Borrow and
// Return.
type Options struct {
	// Instance is this instance's identity.
	Instance string
	// Domain is this instance's failure domain.
	Domain string
	// Holds tells whether this instance holds a bucket, its fencing number, and until when it may act. The fencing
	// number 1 means that the bucket was never held before; it then starts full.
	Holds func(bucket string) (fencing uint64, until time.Time, ok bool)
	// Holder names the instance that holds a bucket, as far as known here.
	Holder func(bucket string) (instance string, ok bool)
	// Borrow calls Borrow on another instance.
	Borrow func(ctx context.Context, instance string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Return calls Return on another instance.
	Return func(ctx context.Context, instance string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error)
	// FloorRate and FloorBurst are the parts of rate and burst that are split over the failure domains; zero means the
	// default. All instances must have the same.
	FloorRate  float64
	FloorBurst float64
	// Reserve is the part of a floor's burst that isn't lent to other domains; zero means the default.
	Reserve float64
	// BatchHorizon is the time whose demand is borrowed ahead; zero means the default.
	BatchHorizon time.Duration
}

func (op Options) withDefaults() Options {
	if op.FloorRate == 0 {
		op.FloorRate = defaultFloorRate
	}
	if op.FloorBurst == 0 {
		op.FloorBurst = defaultFloorBurst
	}
	if op.Reserve == 0 {
		op.Reserve = defaultReserve
	}
	if op.BatchHorizon == 0 {
		op.BatchHorizon = batchHorizon
	}
	return op
}

const (
	floorPrefix = "floor/"
	homePrefix  = "home/"
)

// FloorBucket names the bucket of an organisation's floor in a failure domain.
func FloorBucket(domain, organisation string) string {
	return floorPrefix + domain + "/" + organisation
}

// HomeBucket names the bucket of an organisation's shared part.
func HomeBucket(organisation string) string { return homePrefix + organisation }

// bucketOwner returns the organisation and, for a floor, the failure domain in a bucket's name.
func bucketOwner(bucket string) (organisation, domain string) {
	if name, ok := strings.CutPrefix(bucket, homePrefix); ok {
		return name, ""
	}
	domain, organisation, _ = strings.Cut(strings.TrimPrefix(bucket, floorPrefix), "/")
	return organisation, domain
}
