// Package sequencer has prompts follow each other at one engine so that its streams do not pause for longer than
// promised. The engine's holder keeps it, as only one place can know of all prompts that instances send there. It does no
// input or output.
package sequencer

import (
	"sync"
	"time"

	"lovagebank/profiler"
)

// strictFor is how long the shortest pause that was promised to a stream binds the engine.
const strictFor = 5 * time.Second

// Sequencer keeps the turns of one engine. It is safe for concurrent use.
type Sequencer struct {
	mu sync.Mutex
	// turns are the times at which the engine reads, by what is known, in order and without overlap.
	turns []turn
	// window and busy bind until strictUntil.
	window      time.Duration
	busy        time.Duration
	strictUntil time.Time
}

// turn is the time in which an engine reads one prompt.
type turn struct {
	from  time.Time
	until time.Time
}

// Request asks for a prompt's turn.
type Request struct {
	Pace profiler.Pace
	// Patience is how long the prompt may wait for its turn.
	Patience time.Duration
}

// New makes a sequencer without turns.
func New() *Sequencer { return &Sequencer{} }

// Ask gives a prompt its turn and returns the wait until then. Where the wait is longer than the prompt's patience it gives
// none, and granted is false.
func (sq *Sequencer) Ask(rq Request) (wait time.Duration, granted bool) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	now := time.Now()
	sq.bind(rq.Pace, now)
	sq.forget(now)
	from := sq.earliest(rq.Pace.Reading, now)
	wait = from.Sub(now)
	if wait > rq.Patience {
		return wait, false
	}
	sq.turns = append(sq.turns, turn{from: from, until: from.Add(rq.Pace.Reading)})
	return wait, true
}

// bind has the strictest promise of late hold.
func (sq *Sequencer) bind(pa profiler.Pace, now time.Time) {
	if pa.Window > sq.window && now.Before(sq.strictUntil) {
		return
	}
	sq.window, sq.busy = pa.Window, pa.Busy
	sq.strictUntil = now.Add(strictFor)
}

// forget drops turns that no window reaches any more.
func (sq *Sequencer) forget(now time.Time) {
	kept := sq.turns[:0]
	for _, tn := range sq.turns {
		if tn.until.After(now.Add(-sq.window)) {
			kept = append(kept, tn)
		}
	}
	sq.turns = kept
}

// earliest is when a prompt may go to the engine: after those before it, and so that within no window the engine reads
// for longer than it may. A prompt that is longer than that by itself waits until nothing else is read in its window.
func (sq *Sequencer) earliest(reading time.Duration, now time.Time) time.Time {
	from := now
	if count := len(sq.turns); count > 0 && sq.turns[count-1].until.After(from) {
		from = sq.turns[count-1].until
	}
	left := max(sq.busy-reading, 0)
	for at := len(sq.turns) - 1; at >= 0; at-- {
		tn := sq.turns[at]
		length := tn.until.Sub(tn.from)
		if length <= left {
			left -= length
			continue
		}
		// What lies before this moment has to be out of the window when the reading ends.
		outside := tn.until.Add(-left)
		if earliest := outside.Add(sq.window - reading); earliest.After(from) {
			return earliest
		}
		return from
	}
	return from
}
