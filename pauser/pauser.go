// Package pauser waits for a time that the end of a context cuts short.
package pauser

import (
	"context"
	"time"
)

// For waits; it is false when the context ends first.
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

// Until waits until a channel is closed, at most for a time; the end of the context cuts it short.
func Until(ctx context.Context, closed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
