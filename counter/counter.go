// Package counter keeps counts that decay exponentially with time.
package counter

import (
	"math"
	"time"
)

// Count is a sum of amounts whose weights decay exponentially with time.
type Count struct {
	// timeConstant is the time in which the weight of an amount decays to 1/e.
	timeConstant time.Duration
	value        float64
	at           time.Time
}

// New returns an empty count. timeConstant is the time in which the weight of an amount decays to 1/e.
func New(timeConstant time.Duration, at time.Time) Count {
	return Count{timeConstant: timeConstant, at: at}
}

// ValueAt returns the count at the given time, which must not be before the time of the last call.
func (co *Count) ValueAt(at time.Time) float64 {
	co.value *= math.Exp(-at.Sub(co.at).Seconds() / co.timeConstant.Seconds())
	co.at = at
	return co.value
}

// At returns the time of the last call; zero for a count without a beginning.
func (co *Count) At() time.Time { return co.at }

// Add adds an amount at the given time, which must not be before the time of the last call.
func (co *Count) Add(amount float64, at time.Time) { co.value = co.ValueAt(at) + amount }
