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
