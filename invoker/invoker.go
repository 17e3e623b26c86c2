// Package invoker makes the HTTP calls to model engines and plain services. It checks that an engine's answer names the
// adapter and version that were asked for, before any byte of it is passed on.
package invoker

import (
	"net"
	"net/http"
	"time"
)

// The defaults of Options.
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

// Options sets how targets are called. Zero values mean defaults.
type Options struct {
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// FirstByteTimeout is the silence before an answer's first token after which the connection is dropped.
	FirstByteTimeout time.Duration
	// TokenGapTimeout is the silence between two parts of an answer after which the connection is dropped.
	TokenGapTimeout time.Duration
	// TokenTime is the longest usual time for one token. An answer that comes whole is awaited for FirstByteTimeout
	// and TokenTime for each token that it may have.
	TokenTime time.Duration
	// OrderTimeout bounds an adapter order, the load itself included.
	OrderTimeout time.Duration
	// ReportTimeout bounds the fetching of a load report.
	ReportTimeout time.Duration
	// IdleTimeout is the age at which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is the most idle connections kept to one target.
	MaxIdlePerTarget int
	// MaxAnswerBytes bounds an answer that comes whole, and one event of a stream.
	MaxAnswerBytes int
	// Transport makes the calls that may be repeated; SingleUseTransport makes the others, on a connection of their own each.
	Transport          http.RoundTripper
	SingleUseTransport http.RoundTripper
}

func (op *Options) setDefaults() {
	setDuration(&op.DialTimeout, defaultDialTimeout)
	setDuration(&op.FirstByteTimeout, defaultFirstByteTimeout)
	setDuration(&op.TokenGapTimeout, defaultTokenGapTimeout)
	setDuration(&op.TokenTime, defaultTokenTime)
	setDuration(&op.OrderTimeout, defaultOrderTimeout)
	setDuration(&op.ReportTimeout, defaultReportTimeout)
	setDuration(&op.IdleTimeout, defaultIdleTimeout)
	if op.MaxIdlePerTarget == 0 {
		op.MaxIdlePerTarget = defaultIdlePerTarget
	}
	if op.MaxAnswerBytes == 0 {
		op.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if op.Transport == nil {
		op.Transport = newTransport(op, false)
	}
	if op.SingleUseTransport == nil {
		op.SingleUseTransport = newTransport(op, true)
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// newTransport makes an HTTP/1.1 transport without proxies. The standard library sends a request again by itself when
// a kept connection turns out to be closed; with single-use connections it never does.
func newTransport(op *Options, singleUse bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: op.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: op.MaxIdlePerTarget,
		IdleConnTimeout:     op.IdleTimeout,
	}
}

// Invoker calls targets. Its methods may be called from any goroutine.
type Invoker struct {
	options Options
}

// New makes an invoker.
func New(options Options) *Invoker {
	options.setDefaults()
	return &Invoker{options: options}
}

// Close drops idle connections.
func (iv *Invoker) Close() {
	for _, transport := range []http.RoundTripper{iv.options.Transport, iv.options.SingleUseTransport} {
		if tr, ok := transport.(*http.Transport); ok {
			tr.CloseIdleConnections()
		}
	}
}
