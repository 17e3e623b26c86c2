// Package storer calls the platform's key-value service over Consul's published HTTP API: keys with compare-and-swap,
// transactions, sessions and blocking queries. Each error indicates whether the call can have taken effect.
package storer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"lovagebank/inspector"
	"lovagebank/sleeper"
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

// Options configures a Client. Zero fields take their defaults.
type Options struct {
	// Address is the store's host and port, or its base URL.
	Address string
	// Timeout is the maximum duration of one attempt of a call. A Watch may take its wait in addition.
	Timeout time.Duration
	// CallsPerSecond and Burst are this instance's budget of calls; a Watch counts as one call, and each attempt counts.
	CallsPerSecond float64
	Burst          int
	// MaxBudgetWait is the maximum time that a call waits for the budget to admit it.
	MaxBudgetWait time.Duration
	// Attempts is the maximum number of times that a call is sent. It is sent again only if no earlier attempt can have
	// taken effect.
	Attempts int
	// Backoff is the mean wait before the second attempt; it doubles with each further attempt, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Transport replaces the client's own transport; tests use it.
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
		dialer := &net.Dialer{Timeout: op.Timeout}
		op.Transport = inspector.BoundHeads(&http.Transport{
			DialContext:         inspector.WrapDial(dialer.DialContext, inspector.Budget{}),
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		})
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

// New returns a client. It performs no I/O.
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

// Counts returns the number of call attempts by operation and result since the client was created.
func (cl *Client) Counts() []Count { return cl.counter.counts() }

// Close closes idle connections.
func (cl *Client) Close() { cl.http.CloseIdleConnections() }

// call sends a request until it succeeds, fails permanently, may have taken effect, or has used up its attempts.
func (cl *Client) call(ctx context.Context, rq request) (*response, error) {
	for attempt := 1; ; attempt++ {
		rp, err := cl.attempt(ctx, rq)
		cl.counter.add(rq.operation, err)
		if err == nil || !retryable(err) || attempt >= cl.options.Attempts {
			return rp, err
		}
		if !cl.backOff(ctx, attempt) {
			return nil, err
		}
	}
}

func (cl *Client) attempt(ctx context.Context, rq request) (*response, error) {
	if err := cl.budget.wait(ctx, cl.options.MaxBudgetWait); err != nil {
		return nil, fmt.Errorf("%s: %w", rq.operation, err)
	}
	ctx, cancel := context.WithTimeout(ctx, cl.options.Timeout+rq.wait)
	defer cancel()
	return cl.send(ctx, rq)
}

// backOff waits for 0.5 to 1.5 times the attempt's backoff. It returns false if the context ends first.
func (cl *Client) backOff(ctx context.Context, attempt int) bool {
	mean := min(cl.options.Backoff<<(attempt-1), cl.options.MaxBackoff)
	return sleeper.For(ctx, mean/2+rand.N(mean))
}
