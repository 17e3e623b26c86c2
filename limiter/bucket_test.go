package limiter

import (
	"testing"
	"time"
)

// A bucket that waits for the loans of its former holder to expire still waits after a hand-over to the next holder.
// Otherwise the next holder grants tokens while those loans may be unspent; the model's variant HAND_OVER_FILLS has
// this fault.
func TestHandOverKeepsRefillDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	taken := newBucket("home/indus", 2, now)
	taken.setPlan(1000, 1000, now)
	next := newBucket("home/indus", 3, now)
	next.setPlan(1000, 1000, now)
	next.mergeState(taken.state(now), now)
	if tokens := next.tokens(now.Add(loanHoldTime)); tokens != 0 {
		t.Errorf("%d tokens while loans of the first holder may be unspent", tokens)
	}
	if tokens := next.tokens(now.Add(loanHoldTime + time.Second/2)); tokens < 490 || tokens > 500 {
		t.Errorf("%d tokens half a second later, want 500", tokens)
	}
}

// A holder that loses its lease and holds it again under the same fencing number resumes with the tokens it had: the
// first fencing number does not fill the bucket a second time. A bucket whose lease was lost can still be handed over,
// once.
func TestLapsedBucketResumesUnderSameFencingNumber(t *testing.T) {
	now := time.Unix(1000, 0)
	holds := true
	st := newState(Options{
		Instance: "i0", Domain: "d0", Holder: func(string) (string, bool) { return "i0", true },
		Holds: func(string) (uint64, time.Time, bool) { return firstFencing, now.Add(time.Second), holds },
	}.withDefaults())
	st.setPlan(testOrganisation, 1, 1000, now)
	st.tick(now)
	wa := &waiter{cost: 600, deadline: now.Add(time.Second), done: make(chan result, 1)}
	st.charge(testOrganisation, wa, now)
	ac := st.accounts[testOrganisation]
	left := ac.pool.available(scopeLocal, now)
	for _, step := range []bool{false, true} {
		holds = step
		st.tick(now)
	}
	if got := ac.pool.available(scopeLocal, now); got != left {
		t.Errorf("%d tokens after the lease came back, %d before", got, left)
	}
	holds = false
	st.tick(now)
	if state := st.handOver(HomeBucket(testOrganisation), now); state.GetLevel() >= 900 || state.GetLevel() <= 0 {
		t.Errorf("handed over %v", state)
	}
	if state := st.handOver(HomeBucket(testOrganisation), now); state != nil {
		t.Errorf("handed over again %v", state)
	}
}
