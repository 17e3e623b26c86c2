// Package invoker makes the HTTP calls to model engines and application services. It checks that an engine's answer
// names the requested adapter and version before it forwards any byte of the answer.
package invoker

import (
	"net"
	"net/http"
	"time"

	"lovagebank/inspector"
)

// Defaults of Options and settings of TCP keep-alive.
const (
	defaultDialTimeout      = time.Second
	defaultFirstByteTimeout = 10 * time.Second
	defaultTokenGapTimeout  = 5 * time.Second
	defaultTokenTime        = 100 * time.Millisecond
	defaultOrderTimeout     = 30 * time.Second
	defaultReportTimeout    = 2 * time.Second
	defaultIdleTimeout      = 15 * time.Second
	defaultIdlePerTarget    = 32
	defaultMaxAnswerBytes   = 16 << 20

	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// Options configures an Invoker. Zero values select the defaults.
type Options struct {
	// DialTimeout is the timeout for setting up a connection.
	DialTimeout time.Duration
	// FirstByteTimeout is the longest time without data before the first part of an answer; then the connection is
	// dropped.
	FirstByteTimeout time.Duration
	// TokenGapTimeout is the longest time without data between two parts of an answer; then the connection is dropped.
	TokenGapTimeout time.Duration
	// TokenTime is the longest usual time to generate one token. For an answer that is not streamed, TokenTime for each
	// token that it may have is added to FirstByteTimeout.
	TokenTime time.Duration
	// OrderTimeout is the timeout for an adapter order, including the load itself.
	OrderTimeout time.Duration
	// ReportTimeout is the timeout for fetching a load report.
	ReportTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is the largest number of idle connections to one target.
	MaxIdlePerTarget int
	// MaxAnswerBytes is the largest size, in bytes, of an answer that is not streamed and of one event of a stream.
	MaxAnswerBytes int
	// Budget is the memory that the heads, events, whole answers and reports of all targets may hold together.
	Budget inspector.Budget
	// Broken is called with the target and the cause if the answer to a request broke off or is none; nil for no call.
	Broken func(target string, cause error)
	// Transport makes the calls that may be repeated. SingleUseTransport makes the others, each on its own connection.
	Transport          http.RoundTripper
	SingleUseTransport http.RoundTripper
}

func (op *Options) setDefaults() {
	setDefaultDuration(&op.DialTimeout, defaultDialTimeout)
	setDefaultDuration(&op.FirstByteTimeout, defaultFirstByteTimeout)
	setDefaultDuration(&op.TokenGapTimeout, defaultTokenGapTimeout)
	setDefaultDuration(&op.TokenTime, defaultTokenTime)
	setDefaultDuration(&op.OrderTimeout, defaultOrderTimeout)
	setDefaultDuration(&op.ReportTimeout, defaultReportTimeout)
	setDefaultDuration(&op.IdleTimeout, defaultIdleTimeout)
	if op.MaxIdlePerTarget == 0 {
		op.MaxIdlePerTarget = defaultIdlePerTarget
	}
	if op.MaxAnswerBytes == 0 {
		op.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if op.Broken == nil {
		op.Broken = func(string, error) {}
	}
	if op.Transport == nil {
		op.Transport = newTransport(op, false)
	}
	if op.SingleUseTransport == nil {
		op.SingleUseTransport = newTransport(op, true)
	}
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// newTransport returns an HTTP/1.1 transport without proxies. The standard library sends a request again by itself when
// a reused connection turns out to be closed; with single-use connections it never does.
func newTransport(op *Options, singleUse bool) http.RoundTripper {
	dialer := &net.Dialer{
		Timeout: op.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	return inspector.BoundHeads(&http.Transport{
		DialContext:         inspector.WrapDial(dialer.DialContext, op.Budget),
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: op.MaxIdlePerTarget,
		IdleConnTimeout:     op.IdleTimeout,
	})
}

// Invoker calls targets. Its methods are safe for concurrent use.
type Invoker struct {
	options Options
}

// New returns an invoker.
func New(options Options) *Invoker {
	options.setDefaults()
	return &Invoker{options: options}
}

// Close closes the idle connections.
func (iv *Invoker) Close() {
	for _, transport := range []http.RoundTripper{iv.options.Transport, iv.options.SingleUseTransport} {
		if tr, ok := transport.(interface{ CloseIdleConnections() }); ok {
			tr.CloseIdleConnections()
		}
	}
}
