package leaser

import "time"

// Defaults of Timing.
const (
	DefaultLease           = 15 * time.Second
	DefaultRenewalInterval = 5 * time.Second
	DefaultMargin          = time.Second
	DefaultPromise         = 15 * time.Second
	DefaultHold            = 2 * time.Hour
	DefaultSpread          = 10 * time.Second
	DefaultStagger         = 2 * time.Second
	DefaultListInterval    = 30 * time.Minute
)

const (
	// retryPause is the mean pause after a failed call.
	retryPause = time.Second
	// maxRetryPause is the upper bound of the mean pause, which grows with each failure.
	maxRetryPause = 5 * time.Second
	// maxReadAge is the maximum age of the read on which a takeover is based. A recent read makes a failed takeover
	// less likely.
	maxReadAge = time.Second
	// missingHolderPollInterval is the pause between reads of a record whose holder seems to have departed.
	missingHolderPollInterval = 2 * time.Second
	// successorPollInterval is the mean pause between reads of a record that names this instance as a successor.
	successorPollInterval = time.Minute
	// readAhead is how early a record may be read together with others.
	readAhead = successorPollInterval / 2
	// successorReplacementDelay is how long a successor must be missing before it is replaced.
	successorReplacementDelay = 5 * time.Second
	// releaseDelay is how long a held resource must be absent from the requested resources before it is released,
	// because the list may be empty for a moment.
	releaseDelay = 30 * time.Second
	// renewalGrace is how late the answer to a renewal may be before promises are requested.
	renewalGrace = 2 * time.Second
	// driftDivisor is the divisor of Timing.Hold that gives the time reserved for clock drift.
	driftDivisor = 10
	// tickInterval is the interval at which the state machine checks the clock.
	tickInterval = 250 * time.Millisecond
)

// Timing contains the times of the lease protocol. They must be the same on all instances.
type Timing struct {
	// Lease is the time to live of the instance's session. The store's minimum is 10 s.
	Lease time.Duration
	// RenewalInterval is the pause between renewals of the session.
	RenewalInterval time.Duration
	// Margin is subtracted from each deadline to allow for clock drift.
	Margin time.Duration
	// Promise is how long a successor promises not to take over.
	Promise time.Duration
	// Hold is how long a holder may act on promises alone, and how long an instance that is not a successor waits
	// before it takes over.
	Hold time.Duration
	// Spread is the time over which instances lock their records again after an outage.
	Spread time.Duration
	// Stagger is the pause between the takeover attempts of one candidate and the next.
	Stagger time.Duration
	// ListInterval is the mean pause between reads of all records.
	ListInterval time.Duration
}

func (tm Timing) withDefaults() Timing {
	for _, field := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&tm.Lease, DefaultLease},
		{&tm.RenewalInterval, DefaultRenewalInterval},
		{&tm.Margin, DefaultMargin},
		{&tm.Promise, DefaultPromise},
		{&tm.Hold, DefaultHold},
		{&tm.Spread, DefaultSpread},
		{&tm.Stagger, DefaultStagger},
		{&tm.ListInterval, DefaultListInterval},
	} {
		if *field.value <= 0 {
			*field.value = field.fallback
		}
	}
	return tm
}
