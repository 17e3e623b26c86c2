// Package sleeper waits for a given time or until a context ends.
package sleeper

import (
	"context"
	"time"
)

// For waits for the given time. It returns false if the context ends first.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until the channel is closed or the context ends, but at most for maxWait.
func Until(ctx context.Context, closed <-chan struct{}, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
