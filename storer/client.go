// Package storer calls the platform's key-value service over Consul's published HTTP API: keys with compare-and-swap,
// transactions, sessions and blocking queries. Each error says whether the call can have taken effect.
package storer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"lovagebank/pauser"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultCallsPerSecond = 50
	DefaultBurst          = 100
	DefaultMaxBudgetWait  = time.Second
	DefaultAttempts       = 2
	DefaultBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff     = time.Second
)

const (
	idleConnections       = 8
	idleConnectionTimeout = 30 * time.Second
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	// Address is the store's host and port, or a URL of them.
	Address string
	// Timeout bounds one call, and the time that a Watch may take beyond its wait.
	Timeout time.Duration
	// CallsPerSecond and Burst are the budget of this instance; a Watch counts as one call.
	CallsPerSecond float64
	Burst          int
	// MaxBudgetWait is how long a call may wait for its turn in the budget.
	MaxBudgetWait time.Duration
	// Attempts is how often a call is sent while it is certain that no earlier attempt took effect.
	Attempts int
	// Backoff is the mean wait before the second attempt; it doubles with each one, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Transport replaces the client's own, in tests.
	Transport http.RoundTripper
}

func (op Options) withDefaults() Options {
	op.Timeout = orDefault(op.Timeout, DefaultTimeout)
	op.CallsPerSecond = orDefault(op.CallsPerSecond, DefaultCallsPerSecond)
	op.Burst = orDefault(op.Burst, DefaultBurst)
	op.MaxBudgetWait = orDefault(op.MaxBudgetWait, DefaultMaxBudgetWait)
	op.Attempts = orDefault(op.Attempts, DefaultAttempts)
	op.Backoff = orDefault(op.Backoff, DefaultBackoff)
	op.MaxBackoff = orDefault(op.MaxBackoff, DefaultMaxBackoff)
	if op.Transport == nil {
		op.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: op.Timeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		}
	}
	return op
}

func orDefault[T time.Duration | float64 | int](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Client calls the store. It is safe for use by several goroutines.
type Client struct {
	options Options
	base    string
	http    *http.Client
	budget  *budget
	counter *counter
}

// New makes a client. It makes no call.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options: options,
		base:    baseURL(options.Address),
		http:    &http.Client{Transport: options.Transport},
		budget:  newBudget(options.CallsPerSecond, options.Burst),
		counter: newCounter(),
	}
}

// Counts returns the number of calls by kind and result since the client was made.
func (cl *Client) Counts() []Count { return cl.counter.counts() }

// Close drops the idle connections.
func (cl *Client) Close() { cl.http.CloseIdleConnections() }

// call sends a request until it is done, has failed for good, may have taken effect, or the attempts are used up.
func (cl *Client) call(ctx context.Context, rq call) (*answer, error) {
	for attempt := 1; ; attempt++ {
		an, err := cl.attempt(ctx, rq)
		cl.counter.add(rq.operation, err)
		if err == nil || !repeatable(err) || attempt >= cl.options.Attempts {
			return an, err
		}
		if !cl.backOff(ctx, attempt) {
			return nil, err
		}
	}
}

func (cl *Client) attempt(ctx context.Context, rq call) (*answer, error) {
	if err := cl.budget.take(ctx, cl.options.MaxBudgetWait); err != nil {
		return nil, fmt.Errorf("%s: %w", rq.operation, err)
	}
	ctx, cancel := context.WithTimeout(ctx, cl.options.Timeout+rq.wait)
	defer cancel()
	return cl.send(ctx, rq)
}

// backOff waits between half and one and a half of the attempt's backoff; it is false when the context ends first.
func (cl *Client) backOff(ctx context.Context, attempt int) bool {
	mean := min(cl.options.Backoff<<(attempt-1), cl.options.MaxBackoff)
	return pauser.For(ctx, mean/2+rand.N(mean))
}
