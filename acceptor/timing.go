package acceptor

import "time"

// streamTiming records the pauses between a stream's events and the time taken to relay them.
type streamTiming struct {
	lastArrival time.Time
	// longestPause is the longest pause between two arrivals, and longestPauseEnd the time when it ended.
	longestPause    time.Duration
	longestPauseEnd time.Time
	// slowestRelay is the longest time from an arrival until it was relayed to the caller.
	slowestRelay time.Duration
}

// arrived records an arrival of events and returns the pause before it, or false for the first arrival.
func (st *streamTiming) arrived(now time.Time) (time.Duration, bool) {
	pause, first := now.Sub(st.lastArrival), st.lastArrival.IsZero()
	if !first && pause > st.longestPause {
		st.longestPause, st.longestPauseEnd = pause, now
	}
	st.lastArrival = now
	return pause, !first
}

// relayed records that the last arrival has been relayed.
func (st *streamTiming) relayed(now time.Time) {
	st.slowestRelay = max(st.slowestRelay, now.Sub(st.lastArrival))
}
