package limiter

import (
	"context"
	"strings"
	"time"

	"lovagebank/wire"
)

// Durations, limits and default shares of the limiter.
const (
	// loanValidity is how long a borrower may spend a loan, counted from before it sent the request.
	loanValidity = 250 * time.Millisecond
	// loanHoldTime is how long a holder counts a loan as unspent; the margin of a tenth covers clocks that run at
	// different speeds.
	loanHoldTime = loanValidity + loanValidity/10
	// returnBeforeExpiry is the remaining validity below which an unspent loan is returned.
	returnBeforeExpiry = 100 * time.Millisecond
	// returnInterval is the time over which refunded tokens are batched before they are sent to their holder.
	returnInterval = 50 * time.Millisecond
	// returnMaxWait is how long returned tokens are kept while their holder is unknown.
	returnMaxWait = 2 * time.Second
	// batchHorizon is the default time for which the expected demand is borrowed ahead.
	batchHorizon = 100 * time.Millisecond
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// callTimeout bounds one call to another instance.
	callTimeout = 250 * time.Millisecond
	// noTokensReplyDelay is how long a holder waits for tokens before it replies to a borrower that there are none yet.
	noTokensReplyDelay = 80 * time.Millisecond
	// borrowRetryInterval is how long a borrower that got no tokens waits before its next request.
	borrowRetryInterval = 10 * time.Millisecond
	// surplusRetryInterval is how long a home waits before its next request to a floor that had no surplus.
	surplusRetryInterval = 100 * time.Millisecond
	// answerMaxAge is how long the forecast in a holder's response is used.
	answerMaxAge = 250 * time.Millisecond
	// failureBackoff and failureBackoffMax bound the interval between calls to a holder that does not answer.
	failureBackoff    = 50 * time.Millisecond
	failureBackoffMax = unreachableMaxWait / 4
	// queueEntryTimeout is how long a holder keeps the queue entry of a borrower that does not send another request.
	queueEntryTimeout = 150 * time.Millisecond
	// unreachableMaxWait is how long a request waits while no holder answers; a hand-over takes up to a second.
	unreachableMaxWait = 2 * time.Second
	// excessMaxWait is the maximum wait for tokens that were used beyond a charge.
	excessMaxWait = time.Minute
	// unreachableRetryAfter is the retry time returned while no holder answers.
	unreachableRetryAfter = time.Second
	// shareIncreaseDelay is how long a floor that a change of the failure domains adds or raises keeps its old share, so
	// that the other domains have lowered theirs. An accepted configuration is in force everywhere within 8 s.
	shareIncreaseDelay = 10 * time.Second
	// tickInterval is the timer interval while the limiter has work.
	tickInterval = 10 * time.Millisecond
	// idleInterval is the timer interval while the limiter has no work; it still updates the held buckets from their
	// leases.
	idleInterval = 100 * time.Millisecond
	// forecastToleranceDivisor and forecastToleranceMin bound the tolerated error of a forecast: the time left divided by
	// the divisor, plus the minimum.
	forecastToleranceDivisor = 5
	forecastToleranceMin     = 100 * time.Millisecond
	operationQueueSize       = 4096
	maxWaiters               = 1024
	// maxSteps is the maximum number of steps that a request for tokens lists.
	maxSteps        = 32
	maxQueueEntries = 1024
	// defaultFloorRate and defaultFloorBurst are the shares of rate and burst that are divided over the failure domains.
	// A floor's burst has to pay for whole requests while its domain is cut off.
	defaultFloorRate  = 0.2
	defaultFloorBurst = 0.2
	// defaultReserve is the share of a floor's burst that is not lent to other domains.
	defaultReserve = 0.1
)

// Options configures a Limiter. All functions may be called from any goroutine and, except for Borrow and Return, must
// not block.
type Options struct {
	// Instance is the identity of this instance.
	Instance string
	// Domain is the failure domain of this instance.
	Domain string
	// Holds reports whether this instance holds a bucket, its fencing number, and until when it may act as the holder.
	// The fencing number 1 means that the bucket was never held before; it then starts full.
	Holds func(bucket string) (fencing uint64, until time.Time, ok bool)
	// Holder returns the instance that holds a bucket; ok is false if it is unknown here.
	Holder func(bucket string) (instance string, ok bool)
	// Borrow calls Borrow on another instance.
	Borrow func(ctx context.Context, instance string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Return calls Return on another instance.
	Return func(ctx context.Context, instance string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error)
	// FloorRate and FloorBurst are the shares of rate and burst, from 0 to 1, that are divided over the failure domains;
	// zero means the default. All instances must have the same values.
	FloorRate  float64
	FloorBurst float64
	// Reserve is the share of a floor's burst, from 0 to 1, that is not lent to other domains; zero means the default.
	Reserve float64
	// BatchHorizon is the time for which the expected demand is borrowed ahead; zero means the default.
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

// FloorBucket returns the name of the bucket of an organisation's floor in a failure domain.
func FloorBucket(domain, organisation string) string {
	return floorPrefix + domain + "/" + organisation
}

// HomeBucket returns the name of an organisation's shared bucket.
func HomeBucket(organisation string) string { return homePrefix + organisation }

// bucketOwner parses a bucket name into the organisation and, for a floor, the failure domain.
func bucketOwner(bucket string) (organisation, domain string) {
	if name, ok := strings.CutPrefix(bucket, homePrefix); ok {
		return name, ""
	}
	domain, organisation, _ = strings.Cut(strings.TrimPrefix(bucket, floorPrefix), "/")
	return organisation, domain
}
