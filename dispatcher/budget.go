package dispatcher

import "sync"

// retryBudget is a token bucket that limits retries to a share of recent successes, so that retries can't multiply the
// load of a failing fleet.
type retryBudget struct {
	share float64
	burst float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share, burst float64) *retryBudget {
	return &retryBudget{share: share, burst: burst, tokens: burst}
}

func (rb *retryBudget) addSuccess() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.tokens = min(rb.tokens+rb.share, rb.burst)
}

// take uses up one retry and reports whether one was left.
func (rb *retryBudget) take() bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if rb.tokens < 1 {
		return false
	}
	rb.tokens--
	return true
}
