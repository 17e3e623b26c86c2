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
	// retryPause is the mean pause after a call that failed.
	retryPause = time.Second
	// longestRetryPause bounds the pause, which grows with each failure.
	longestRetryPause = 5 * time.Second
	// freshness is the oldest read on which a takeover may build, so that fewer fail.
	freshness = time.Second
	// suspectPoll is the pause between reads of a record whose holder seems to be gone.
	suspectPoll = 2 * time.Second
	// slowPoll is the pause between reads of a record that this instance is a successor of.
	slowPoll = time.Minute
	// readAhead is how early a record may be read along with others.
	readAhead = slowPoll / 2
	// settling is how long a successor must be missing before another one takes its place.
	settling = 5 * time.Second
	// keepUnwanted is how long a held resource must be unwanted before it is given up: lists may be empty for a moment.
	keepUnwanted = 30 * time.Second
	// doubt is how late a renewal's answer must be before promises are asked for.
	doubt = 2 * time.Second
	// driftShare is the part of the hold time that covers the drift of clocks.
	driftShare = 10
	// tickInterval is the pause between the looks at the clock.
	tickInterval = 250 * time.Millisecond
)

// Timing holds the times of the protocol. They must be the same on all instances.
type Timing struct {
	// Lease is the time to live of the instance's session; the store's least is 10 s.
	Lease time.Duration
	// RenewalInterval is the pause between renewals.
	RenewalInterval time.Duration
	// Margin is taken off each deadline, for the drift of clocks.
	Margin time.Duration
	// Promise is how long a successor promises not to take over.
	Promise time.Duration
	// Hold is how long a holder acts on promises alone, and how long an instance that is no successor waits.
	Hold time.Duration
	// Spread is the time over which instances lock their records again after an outage.
	Spread time.Duration
	// Stagger is the pause between the attempts of one candidate and the next one.
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
