package supervisor

import (
	"context"
	"sync"
	"time"
)

const (
	// holderTimeout limits the wait for a holder's answer to a question about a single request.
	holderTimeout = 60 * time.Millisecond
	// holderRetryDelay is how long a holder that gave no answer is not asked again.
	holderRetryDelay = time.Second
)

// unresponsiveHolders are the holders that recently did not answer a question.
type unresponsiveHolders struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (uh *unresponsiveHolders) contains(holder string) bool {
	uh.mu.Lock()
	defer uh.mu.Unlock()
	return time.Now().Before(uh.until[holder])
}

func (uh *unresponsiveHolders) add(holder string) {
	uh.mu.Lock()
	defer uh.mu.Unlock()
	if uh.until == nil {
		uh.until = make(map[string]time.Time)
	}
	uh.until[holder] = time.Now().Add(holderRetryDelay)
}

// askHolder calls the holder of a target, another instance, with a question about a single request. A holder that does not
// answer in time is not asked again for a while.
func askHolder[Answer any](
	ctx context.Context, su *Supervisor, holder, target string, call func(ctx context.Context, address string) (Answer, error),
) (Answer, error) {
	var none Answer
	address, ok := su.addressOf(holder)
	if !ok || su.unresponsiveHolders.contains(holder) {
		return none, errHolderUnknown
	}
	callCtx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	answer, err := call(callCtx, address)
	if err != nil && ctx.Err() == nil {
		su.unresponsiveHolders.add(holder)
		su.logger.Warn("request to holder failed", "holder", holder, "target", target, "error", err)
	}
	return answer, err
}
