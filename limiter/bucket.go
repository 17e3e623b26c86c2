package limiter

import (
	"time"

	"lovagebank/wire"
)

// loan is an amount that was lent from a bucket and may still be unspent.
type loan struct {
	number  uint64
	tokens  float64
	expires time.Time
}

// bucket is a token bucket at its only holder. Its level and the outstanding loans, which may be unspent, never exceed
// the burst together, so no more than rate * time + burst is granted in a window of any length.
type bucket struct {
	name  string
	rate  float64
	burst float64
	level float64
	// updated is the time that the level refers to; in the future, the time from which the bucket refills.
	updated time.Time
	loans   []loan
	// outstanding is the total of the loans that may be unspent.
	outstanding float64
	fencing     uint64
	// previousFencing is the fencing number under which the state was held before, or zero.
	previousFencing uint64
	// leaseUntil is the time until which the holder may act, as last reported by Options.Holds.
	leaseUntil time.Time
	// started is set once the bucket is in use, so that the initial fill happens once only.
	started bool
}

// newBucket returns an empty bucket that starts to refill when the loans of a former holder can no longer be spent.
func newBucket(name string, fencing uint64, now time.Time) *bucket {
	return &bucket{name: name, fencing: fencing, updated: now.Add(loanHoldTime)}
}

// setPlan changes rate and burst. The change never adds tokens to the bucket.
func (bu *bucket) setPlan(rate, burst float64, now time.Time) {
	bu.refill(now)
	bu.rate, bu.burst = rate, burst
	bu.level = min(bu.level, max(0, burst-bu.outstanding))
}

// refill advances the level to now, loan by loan, because each expired loan frees capacity.
func (bu *bucket) refill(now time.Time) {
	for len(bu.loans) > 0 && !bu.loans[0].expires.After(now) {
		bu.advance(bu.loans[0].expires)
		bu.outstanding -= bu.loans[0].tokens
		bu.loans = bu.loans[1:]
	}
	if len(bu.loans) == 0 {
		bu.outstanding = 0
	}
	bu.advance(now)
}

func (bu *bucket) advance(to time.Time) {
	if elapsed := to.Sub(bu.updated); elapsed > 0 {
		bu.level = min(max(0, bu.burst-bu.outstanding), bu.level+bu.rate*elapsed.Seconds())
		bu.updated = to
	}
}

// tokens returns the number of whole tokens in the bucket.
func (bu *bucket) tokens(now time.Time) int64 {
	bu.refill(now)
	return int64(bu.level)
}

// fill returns how full the bucket is, from 0 to 1; outstanding loans count as part of its content.
func (bu *bucket) fill(now time.Time) float64 {
	bu.refill(now)
	if bu.burst <= 0 {
		return 0
	}
	return min(1, (bu.level+bu.outstanding)/bu.burst)
}

// surplus returns the number of whole tokens above the reserve, a share of the burst that a floor keeps for its own
// domain.
func (bu *bucket) surplus(now time.Time, reserve float64) int64 {
	bu.refill(now)
	return max(0, int64(bu.level-reserve*bu.burst))
}

// take removes tokens that are used at once or, if number is not zero, lent under that number and spendable elsewhere
// within loanValidity.
func (bu *bucket) take(tokens int64, number uint64, now time.Time) {
	bu.level -= float64(tokens)
	if number == 0 {
		return
	}
	bu.outstanding += float64(tokens)
	bu.loans = append(bu.loans, loan{number, float64(tokens), now.Add(loanHoldTime)})
}

// returnLoan puts unspent tokens of a loan back and returns how many it accepted. A loan that has expired meanwhile
// already freed its capacity for other tokens, so its own tokens are lost.
func (bu *bucket) returnLoan(tokens int64, number, fencing uint64, now time.Time) int64 {
	accepted := bu.closeLoan(tokens, number, fencing, now)
	bu.level = min(max(0, bu.burst-bu.outstanding), bu.level+float64(accepted))
	return accepted
}

// closeLoan stops counting tokens of a loan as unspent and returns how many were counted.
func (bu *bucket) closeLoan(tokens int64, number, fencing uint64, now time.Time) int64 {
	bu.refill(now)
	for index := range bu.loans {
		ln := &bu.loans[index]
		if fencing != bu.fencing || ln.number != number {
			continue
		}
		accepted := min(float64(tokens), ln.tokens)
		ln.tokens -= accepted
		bu.outstanding -= accepted
		return int64(accepted)
	}
	return 0
}

// refund puts back tokens that were charged under a fencing number and returns how many fit below the burst.
func (bu *bucket) refund(tokens int64, fencing uint64, now time.Time) int64 {
	if tokens <= 0 || (fencing != bu.fencing && fencing != bu.previousFencing) {
		return 0
	}
	bu.refill(now)
	accepted := min(float64(tokens), max(0, bu.burst-bu.outstanding-bu.level))
	bu.level += accepted
	return int64(accepted)
}

// state returns the state that a hand-over carries.
func (bu *bucket) state(now time.Time) *wire.BucketState {
	bu.refill(now)
	wait := max(0, bu.updated.Sub(now)) + time.Microsecond - 1
	return &wire.BucketState{
		Level: bu.level, Outstanding: bu.outstanding, Fencing: bu.fencing, WaitUs: wait.Microseconds(),
	}
}

// mergeState merges the state that the former holder handed over; it must be called once only. The bucket refills from
// the time at which the former holder's bucket would have.
func (bu *bucket) mergeState(handed *wire.BucketState, now time.Time) {
	bu.refill(now)
	bu.previousFencing, bu.updated = handed.GetFencing(), now.Add(time.Duration(handed.GetWaitUs())*time.Microsecond)
	if outstanding := handed.GetOutstanding(); outstanding > 0 {
		bu.outstanding += outstanding
		bu.loans = append(bu.loans, loan{tokens: outstanding, expires: now.Add(loanHoldTime)})
	}
	bu.level = min(max(0, bu.burst-bu.outstanding), bu.level+handed.GetLevel())
}
