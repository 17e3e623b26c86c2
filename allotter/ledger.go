package allotter

import "time"

const (
	// slotTime and slots are the resolution and the length of a ledger. Its 6.4 s cover a network partition between
	// failure domains.
	slotTime = 50 * time.Millisecond
	slots    = 128
	// maxDebtFactor is the maximum debt as a multiple of burst plus slack. It is several times what partitioned instances
	// admit without reporting it.
	maxDebtFactor = 10
)

// ledger is a token bucket that accepts late entries. Admissions of peers are entered at the time when they happened
// and the level is recomputed: tokens refilled into a full bucket are lost, so a bucket that was full then has lost
// less than it seemed to. The zero ledger is empty.
type ledger struct {
	// base is the level before the oldest slot. changes holds the net change of each slot, the current one last.
	base    float64
	changes [slots]float64
	// end is the end of the current slot.
	end time.Time
	// resetAt is the time of the last reset.
	resetAt time.Time
	burst   float64
	// maxDebt is the maximum debt in tokens. Reports of peers that lead beyond it are implausible.
	maxDebt float64
	level   float64
}

// reset drops all entries and sets the level.
func (le *ledger) reset(level float64, now time.Time) {
	level = le.clamp(level)
	*le = ledger{base: level, level: level, burst: le.burst, maxDebt: le.maxDebt, resetAt: now, end: now.Add(slotTime)}
}

// resize sets the burst and the maximum debt that follows from it.
func (le *ledger) resize(burst, slack float64) {
	le.burst, le.maxDebt = burst, maxDebtFactor*(burst+slack)
	le.level = le.clamp(le.level)
}

// clamp limits a level to the range from the maximum debt to the burst.
func (le *ledger) clamp(level float64) float64 { return max(min(level, le.burst), -le.maxDebt) }

// advance moves the slots forward until now falls into the current one.
func (le *ledger) advance(now time.Time) {
	for steps := 0; !now.Before(le.end); steps++ {
		if steps == slots {
			// All slots have been shifted out and are empty.
			le.end = now.Add(slotTime)
			return
		}
		le.base = le.clamp(le.base + le.changes[0])
		copy(le.changes[:], le.changes[1:])
		le.changes[slots-1] = 0
		le.end = le.end.Add(slotTime)
	}
}

// add adds an amount at the current time.
func (le *ledger) add(amount float64, now time.Time) {
	le.advance(now)
	le.changes[slots-1] += amount
	le.level = le.clamp(le.level + amount)
}

// spread distributes an amount evenly over a past period. The caller has to call recompute afterwards.
func (le *ledger) spread(amount float64, from, to time.Time) {
	span := to.Sub(from)
	if span <= 0 {
		le.changes[slots-1] += amount
		return
	}
	begin := le.end.Add(-slots * slotTime)
	if before := begin.Sub(from); before > 0 {
		le.base += amount * min(before.Seconds()/span.Seconds(), 1)
	}
	first := max(from.Sub(begin)/slotTime, 0)
	for at := first; at < slots && begin.Add(at*slotTime).Before(to); at++ {
		low, high := begin.Add(at*slotTime), begin.Add((at+1)*slotTime)
		if low.Before(from) {
			low = from
		}
		if high.After(to) {
			high = to
		}
		le.changes[at] += amount * high.Sub(low).Seconds() / span.Seconds()
	}
}

// recompute recomputes the level from the slots.
func (le *ledger) recompute() {
	le.base = le.clamp(le.base)
	le.level = le.base
	for _, change := range le.changes {
		le.level = le.clamp(le.level + change)
	}
}
