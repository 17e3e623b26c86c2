package acceptor

import "time"

// pace is how evenly a stream's events came and were passed on.
type pace struct {
	arrivedAt time.Time
	// longest is the longest pause between two arrivals, and longestAt when it ended.
	longest   time.Duration
	longestAt time.Time
	// slowest is the longest time that passing an arrival on to the caller took.
	slowest time.Duration
}

// arrived notes that events have arrived, and returns the pause before them; it is false for the first.
func (pa *pace) arrived(now time.Time) (time.Duration, bool) {
	pause, first := now.Sub(pa.arrivedAt), pa.arrivedAt.IsZero()
	if !first && pause > pa.longest {
		pa.longest, pa.longestAt = pause, now
	}
	pa.arrivedAt = now
	return pause, !first
}

// passedOn notes that what arrived last has been passed on.
func (pa *pace) passedOn(now time.Time) { pa.slowest = max(pa.slowest, now.Sub(pa.arrivedAt)) }
