package limiter

import (
	"testing"
	"time"
)

// A bucket that was taken over, and waits for loans of its former holder to expire, still waits after a hand-over. The
// model's variant HAND_OVER_FILLS is this fault.
func TestHandOverKeepsTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	taken := newBucket("home/indus", 2, now)
	taken.setPlan(1000, 1000, now)
	next := newBucket("home/indus", 3, now)
	next.setPlan(1000, 1000, now)
	next.absorb(taken.state(now), now)
	if tokens := next.tokens(now.Add(loanHold)); tokens != 0 {
		t.Errorf("%d tokens while loans of the first holder may be unspent", tokens)
	}
	if tokens := next.tokens(now.Add(loanHold + time.Second/2)); tokens < 490 || tokens > 500 {
		t.Errorf("%d tokens half a second later, want 500", tokens)
	}
}
