package requester

import (
	"net/http"
	"time"
)

// Sink takes an answer as it arrives. Head is called once, before the first Data. An error from either means that
// the caller is gone.
type Sink struct {
	Head func(status int, header http.Header) error
	Data func(chunk []byte) error
}

// Usage is what a finished request used.
type Usage struct {
	promptTokens    int64
	generatedTokens int64
	adapter         string
	version         string
	queued          time.Duration
	loadWait        time.Duration
}

// NewUsage makes a usage report. The adapter and version are the ones that the target named in its answer; queued is
// the time from arrival at the holder to the target, of which loadWait was spent waiting for an adapter to load.
func NewUsage(promptTokens, generatedTokens int64, adapter, version string, queued, loadWait time.Duration) Usage {
	return Usage{promptTokens, generatedTokens, adapter, version, queued, loadWait}
}

// PromptTokens returns the number of prompt tokens that the target counted.
func (us Usage) PromptTokens() int64 { return us.promptTokens }

// GeneratedTokens returns the number of tokens that the target generated.
func (us Usage) GeneratedTokens() int64 { return us.generatedTokens }

// TotalTokens returns the tokens to settle with the limiter.
func (us Usage) TotalTokens() int64 { return us.promptTokens + us.generatedTokens }

// Adapter returns the adapter that the target named.
func (us Usage) Adapter() string { return us.adapter }

// Version returns the version that the target named.
func (us Usage) Version() string { return us.version }

// Queued returns the time between arrival at the holder and dispatch to the target.
func (us Usage) Queued() time.Duration { return us.queued }

// LoadWait returns the part of Queued that an adapter load caused.
func (us Usage) LoadWait() time.Duration { return us.loadWait }

// WithWaits returns a copy with the times spent at the holder.
func (us Usage) WithWaits(queued, loadWait time.Duration) Usage {
	us.queued, us.loadWait = queued, loadWait
	return us
}
