package requester

import (
	"net/http"
	"time"
)

// Sink receives an answer as it arrives. Head is called once, before the first call of Data. An error from either means
// that the caller has disconnected.
type Sink struct {
	Head func(status int, header http.Header) error
	Data func(chunk []byte) error
}

// headerTransfer with the value identity marks an answer without framing in a head. net/http understands it, too: it adds neither a
// length nor chunks then, and closes the connection after the answer.
const (
	headerTransfer = "Transfer-Encoding"
	identity       = "identity"
)

// MarkUnframed marks a head of an answer that had neither a length nor chunks, so that only the end of its connection marked its
// end.
func MarkUnframed(header http.Header) { header.Set(headerTransfer, identity) }

// Unframed reports whether a head is marked as that of an answer without framing.
func Unframed(header http.Header) bool { return header.Get(headerTransfer) == identity }

// Usage is the tokens and waiting times of a finished request.
type Usage struct {
	promptTokens    int64
	generatedTokens int64
	adapter         string
	version         string
	queued          time.Duration
	loadWait        time.Duration
}

// NewUsage returns a usage. The adapter and version are the ones that the target named in its answer. queued is the
// time from arrival at the holder to dispatch to the target, of which loadWait was spent waiting for an adapter to
// load.
func NewUsage(promptTokens, generatedTokens int64, adapter, version string, queued, loadWait time.Duration) Usage {
	return Usage{promptTokens, generatedTokens, adapter, version, queued, loadWait}
}

// PromptTokens returns the number of prompt tokens that the target counted.
func (us Usage) PromptTokens() int64 { return us.promptTokens }

// GeneratedTokens returns the number of tokens that the target generated.
func (us Usage) GeneratedTokens() int64 { return us.generatedTokens }

// TotalTokens returns the sum of prompt and generated tokens, which is charged by the limiter.
func (us Usage) TotalTokens() int64 { return us.promptTokens + us.generatedTokens }

// Adapter returns the adapter that the target named in its answer.
func (us Usage) Adapter() string { return us.adapter }

// Version returns the version that the target named in its answer.
func (us Usage) Version() string { return us.version }

// Queued returns the time between arrival at the holder and dispatch to the target.
func (us Usage) Queued() time.Duration { return us.queued }

// LoadWait returns the part of Queued spent waiting for an adapter to load.
func (us Usage) LoadWait() time.Duration { return us.loadWait }

// WithWaits returns a copy with the waiting times at the holder.
func (us Usage) WithWaits(queued, loadWait time.Duration) Usage {
	us.queued, us.loadWait = queued, loadWait
	return us
}
