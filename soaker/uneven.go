package soaker

import (
	"math/rand/v2"
	"strings"
	"time"

	"lovagebank/emulator"
)

const (
	// unevenTime is how long the engines are of unequal speed.
	unevenTime = 8 * time.Second
	// unevenSeed makes the random sequence of the uneven times independent of the other faults of the same seed.
	unevenSeed = 6 << 32
	// minUnevenSpeed and maxUnevenSpeed bound the lasting speeds.
	minUnevenSpeed = 0.55
	maxUnevenSpeed = 1.2
)

// PlanUneven returns the times of a seed in which the engines are of unequal speed and state their pace: one while
// other faults strike, and one when they have ended.
func PlanUneven(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, unevenSeed)) //nolint:gosec // a seed must reproduce its plan
	return []Fault{
		{
			Start: time.Duration(random.Int64N(int64(length))).Round(time.Millisecond), Duration: unevenTime,
			Kind: KindUneven, Subject: random.IntN(1 << 16),
		},
		{Start: length + calmCutDelay, Duration: unevenTime, Kind: KindUneven, Subject: random.IntN(1 << 16)},
	}
}

// makeUneven gives the engines unequal speeds for a time, and has one of them state a pace that is no number. The
// general promises have to hold meanwhile.
func (so *Soaker) makeUneven(fa Fault) {
	random := rand.New(rand.NewPCG(uint64(fa.Subject), unevenSeed)) //nolint:gosec // a seed must reproduce its plan
	var engines []*emulator.Target
	for _, id := range so.fleet.TargetIDs() {
		if ta := so.fleet.Target(id); strings.HasPrefix(id, "engine") && ta != nil {
			engines = append(engines, ta)
			ta.SetUneven(minUnevenSpeed + (maxUnevenSpeed-minUnevenSpeed)*random.Float64())
		}
	}
	malformed := engines[fa.Subject%len(engines)]
	malformed.StateMalformedPace(true)
	time.Sleep(fa.Duration)
	malformed.StateMalformedPace(false)
	for _, ta := range engines {
		ta.EndUneven()
	}
}
