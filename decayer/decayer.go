// Package decayer counts with exponential forgetting.
package decayer

import (
	"math"
	"time"
)

// Count is a sum whose parts lose their weight with time.
type Count struct {
	// memory is the time in which a part's weight falls to 1/e.
	memory time.Duration
	value  float64
	at     time.Time
}

// New makes an empty count with a memory.
func New(memory time.Duration, at time.Time) Count { return Count{memory: memory, at: at} }

// ValueAt is the count at a time, which must not be before that of the last call.
func (co *Count) ValueAt(at time.Time) float64 {
	co.value *= math.Exp(-at.Sub(co.at).Seconds() / co.memory.Seconds())
	co.at = at
	return co.value
}

// Add adds an amount at a time.
func (co *Count) Add(amount float64, at time.Time) { co.value = co.ValueAt(at) + amount }
