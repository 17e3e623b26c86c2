package estimator

import (
	"slices"
	"time"
)

const (
	// maxGaps is the number of times between events of a stream that give one sample.
	maxGaps = 8
	// undisturbedWindow is the time after a stated pace within which a time between events is attributed to that pace, and
	// disturbedWindow that after a pace above disturbedPace, as the disturbance may end at any time.
	undisturbedWindow = 400 * time.Millisecond
	disturbedWindow   = 150 * time.Millisecond
	disturbedPace     = 1.25
	// fullWeightGaps is the number of times between events from which a sample has its full weight.
	fullWeightGaps = 4
)

// Gaps collects the first times between events of a stream. Its sample is a low quantile of them, since prefills of other
// prompts, which depend on the load of the target and not on its speed, lengthen some of the times.
type Gaps struct {
	pace   float64
	paceAt time.Time
	lastAt time.Time
	count  int
	gaps   [maxGaps]time.Duration
}

// NewGaps returns a collection for a stream of a target that has stated its pace now.
func NewGaps(pace float64) *Gaps { return &Gaps{pace: pace, paceAt: time.Now()} }

// Pace returns the pace that the target has stated.
func (ga *Gaps) Pace() float64 { return ga.pace }

// First reports whether no event has arrived.
func (ga *Gaps) First() bool { return ga.lastAt.IsZero() }

// Arrived records an arrival of events. It is false once no further one is needed.
func (ga *Gaps) Arrived(now time.Time) bool {
	before := ga.lastAt
	ga.lastAt = now
	if before.IsZero() {
		return true
	}
	window := undisturbedWindow
	if ga.pace > disturbedPace {
		window = disturbedWindow
	}
	if ga.count == maxGaps || before.Sub(ga.paceAt) > window {
		return false
	}
	ga.gaps[ga.count] = now.Sub(before)
	ga.count++
	return ga.count < maxGaps
}

// Sample returns the ratio of the times between events to the expected one and the pace, and the weight of the sample, which is 0
// without times or expectation.
func (ga *Gaps) Sample(expected time.Duration) (ratio, weight float64) {
	if ga.count == 0 || expected <= 0 {
		return 0, 0
	}
	sorted := ga.gaps[:ga.count]
	slices.Sort(sorted)
	gap := sorted[(ga.count-1)/3]
	return float64(gap) / float64(expected) / ga.pace, min(float64(ga.count)/fullWeightGaps, 1)
}
