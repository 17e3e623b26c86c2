// Package sequencer has prompts follow each other at one engine so that its streams do not pause for longer than
// promised. The engine's holder keeps it, as only one place can know of all prompts that instances send there. It does no
// input or output.
package sequencer

import (
	"slices"
	"sync"
	"time"

	"lovagebank/profiler"
)

// strictFor is how long the shortest pause that was promised to a stream binds the engine.
const strictFor = 5 * time.Second

// Sequencer keeps the turns of one engine. It is safe for concurrent use.
type Sequencer struct {
	mu sync.Mutex
	// readings are the times at which the engine reads, by what is known, in order and without overlap.
	readings []reading
	// window and busy bind until strictUntil.
	window      time.Duration
	busy        time.Duration
	strictUntil time.Time
}

// reading is the time in which an engine reads one prompt.
type reading struct {
	from  time.Time
	until time.Time
}

// Request asks for a prompt's turn.
type Request struct {
	Pace profiler.Pace
	// MaxWait is how long the prompt may wait for its turn.
	MaxWait time.Duration
}

// Turn is the answer to a prompt that asks for its turn.
type Turn struct {
	// Granted prompts have their turn after Wait. Others would have to wait that long, beyond their patience.
	Granted bool
	Wait    time.Duration
}

// New makes a sequencer without turns.
func New() *Sequencer { return &Sequencer{} }

// Reserve gives a prompt its turn, unless the wait until then is longer than its patience.
func (sq *Sequencer) Reserve(rq Request) Turn {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	now := time.Now()
	sq.bind(rq.Pace, now)
	sq.forget(now)
	from := sq.earliest(rq.Pace.Prefill, now)
	wait := from.Sub(now)
	if wait > rq.MaxWait {
		return Turn{Wait: wait}
	}
	sq.readings = append(sq.readings, reading{from: from, until: from.Add(rq.Pace.Prefill)})
	return Turn{Granted: true, Wait: wait}
}

// bind has the strictest promise of late hold.
func (sq *Sequencer) bind(pa profiler.Pace, now time.Time) {
	if pa.Window > sq.window && now.Before(sq.strictUntil) {
		return
	}
	sq.window, sq.busy = pa.Window, pa.Budget
	sq.strictUntil = now.Add(strictFor)
}

// forget drops readings that no window reaches any more.
func (sq *Sequencer) forget(now time.Time) {
	sq.readings = slices.DeleteFunc(sq.readings, func(re reading) bool {
		return !re.until.After(now.Add(-sq.window))
	})
}

// earliest is when a prompt may go to the engine: after those before it, and so that within no window the engine reads
// for longer than it may. A prompt that is longer than that by itself waits until nothing else is read in its window.
func (sq *Sequencer) earliest(length time.Duration, now time.Time) time.Time {
	from := now
	if count := len(sq.readings); count > 0 && sq.readings[count-1].until.After(from) {
		from = sq.readings[count-1].until
	}
	left := max(sq.busy-length, 0)
	for _, re := range slices.Backward(sq.readings) {
		if before := re.until.Sub(re.from); before <= left {
			left -= before
			continue
		}
		// What lies before this moment has to be out of the window when the prompt has been read.
		outside := re.until.Add(-left)
		if earliest := outside.Add(sq.window - length); earliest.After(from) {
			return earliest
		}
		return from
	}
	return from
}
