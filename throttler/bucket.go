package throttler

import "time"

const (
	// burstTime is the time whose share of the rate may be sent at once.
	burstTime = 250 * time.Millisecond
	// minHolderRate is the rate, in requests a second, at which a holder grants sends whatever the limit is. Without any send
	// nobody would learn that a limit of next to nothing has changed.
	minHolderRate = 0.2
	// maxGrantWait limits the wait that a refusal returns, as the limit may change meanwhile.
	maxGrantWait = time.Second
)

// holderRate returns the rate at which the holder of a target grants sends, in requests a second.
func holderRate(li Limit) float64 { return max(li.Rate, minHolderRate) }

// bucket is a token bucket of sends. A holder's begins empty, since a holder before this one may have granted sends just now.
type bucket struct {
	tokens float64
	// at is when tokens was last refilled.
	at time.Time
}

// refill adds the tokens since the last refill, at a rate of tokens a second.
func (bu *bucket) refill(rate float64, now time.Time) {
	bu.tokens += rate * now.Sub(bu.at).Seconds()
	bu.tokens = min(bu.tokens, max(rate*burstTime.Seconds(), 1))
	bu.at = now
}

// take takes a token and reports whether there was one. If not, wait is the time until there is.
func (bu *bucket) take(rate float64, now time.Time) (wait time.Duration, ok bool) {
	bu.refill(rate, now)
	if bu.tokens >= 1 {
		bu.tokens--
		return 0, true
	}
	seconds := min((1-bu.tokens)/rate, maxGrantWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), false
}
