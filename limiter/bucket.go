package limiter

import (
	"time"

	"lovagebank/wire"
)

// loan is an amount that left a bucket and may still be unspent.
type loan struct {
	number  uint64
	tokens  float64
	expires time.Time
}

// bucket is a token bucket at its one holder. What is in it and what is lent and perhaps unspent never exceed the
// burst together, so that no window of any length sees more than rate * time + burst.
type bucket struct {
	name        string
	rate        float64
	burst       float64
	level       float64
	updated     time.Time
	loans       []loan
	outstanding float64
	fencing     uint64
	// previous is the fencing number that the state was handed over from, or zero.
	previous uint64
	// until is the holder's own deadline, as last seen.
	until time.Time
	// started is set when the bucket was put to use.
	started bool
}

// newBucket makes an empty bucket that starts to fill when loans of a former holder can't be spent any more.
func newBucket(name string, fencing uint64, now time.Time) *bucket {
	return &bucket{name: name, fencing: fencing, updated: now.Add(loanHold)}
}

// setPlan changes rate and burst. The tokens in the bucket never grow by it.
func (bu *bucket) setPlan(rate, burst float64, now time.Time) {
	bu.refill(now)
	bu.rate, bu.burst = rate, burst
	bu.level = min(bu.level, max(0, burst-bu.outstanding))
}

// refill brings the level up to now, loan by loan, since each expired loan makes room.
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
	if passed := to.Sub(bu.updated); passed > 0 {
		bu.level = min(max(0, bu.burst-bu.outstanding), bu.level+bu.rate*passed.Seconds())
		bu.updated = to
	}
}

// tokens returns the whole tokens in the bucket.
func (bu *bucket) tokens(now time.Time) int64 {
	bu.refill(now)
	return int64(bu.level)
}

// fill returns how full the bucket is, from 0 to 1; what is lent counts as in it.
func (bu *bucket) fill(now time.Time) float64 {
	bu.refill(now)
	if bu.burst <= 0 {
		return 0
	}
	return min(1, (bu.level+bu.outstanding)/bu.burst)
}

// surplus returns the whole tokens above the reserve that a floor keeps for its own domain.
func (bu *bucket) surplus(now time.Time, reserve float64) int64 {
	bu.refill(now)
	return max(0, int64(bu.level-reserve*bu.burst))
}

// take takes tokens that are used at once, or under the number of a loan may be spent elsewhere within loanValidity.
func (bu *bucket) take(tokens int64, number uint64, now time.Time) {
	bu.level -= float64(tokens)
	if number == 0 {
		return
	}
	bu.outstanding += float64(tokens)
	bu.loans = append(bu.loans, loan{number, float64(tokens), now.Add(loanHold)})
}

// takeLoan takes unspent tokens of a loan back, and returns how many. A loan that expired meanwhile has made room for
// other tokens already, and its own are lost.
func (bu *bucket) takeLoan(tokens int64, number, fencing uint64, now time.Time) int64 {
	accepted := bu.closeLoan(tokens, number, fencing, now)
	bu.level = min(max(0, bu.burst-bu.outstanding), bu.level+float64(accepted))
	return accepted
}

// closeLoan stops counting tokens of a loan as unspent, and returns how many were counted.
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

// giveBack takes tokens back that were charged under a fencing number, and returns how many had room.
func (bu *bucket) giveBack(tokens int64, fencing uint64, now time.Time) int64 {
	if tokens <= 0 || (fencing != bu.fencing && fencing != bu.previous) {
		return 0
	}
	bu.refill(now)
	accepted := min(float64(tokens), max(0, bu.burst-bu.outstanding-bu.level))
	bu.level += accepted
	return int64(accepted)
}

// state returns what a hand-over carries.
func (bu *bucket) state(now time.Time) *wire.BucketState {
	bu.refill(now)
	wait := max(0, bu.updated.Sub(now)) + time.Microsecond - 1
	return &wire.BucketState{
		Level: bu.level, Outstanding: bu.outstanding, Fencing: bu.fencing, WaitUs: wait.Microseconds(),
	}
}

// absorb takes what the former holder handed over, once, and fills from when that one would have.
func (bu *bucket) absorb(handed *wire.BucketState, now time.Time) {
	bu.refill(now)
	bu.previous, bu.updated = handed.GetFencing(), now.Add(time.Duration(handed.GetWaitUs())*time.Microsecond)
	if lent := handed.GetOutstanding(); lent > 0 {
		bu.outstanding += lent
		bu.loans = append(bu.loans, loan{tokens: lent, expires: now.Add(loanHold)})
	}
	bu.level = min(max(0, bu.burst-bu.outstanding), bu.level+handed.GetLevel())
}
