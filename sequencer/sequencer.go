// Package sequencer schedules the turns of prompts at one engine so that the engine's streams do not pause for longer than
// promised. A prompt's turn is the time at which it may go to the engine to be prefilled. The engine's holder runs the
// sequencer, as a single place has to know all prompts that instances send to the engine. It performs no I/O.
package sequencer

import (
	"slices"
	"sync"
	"time"

	"lovagebank/profiler"
)

// limitLifetime is how long the shortest pause promised to a stream limits the engine.
const limitLifetime = 5 * time.Second

// Sequencer schedules the turns of one engine. It is safe for concurrent use.
type Sequencer struct {
	mu sync.Mutex
	// prefills are the expected prefills of the engine, in order and without overlap.
	prefills []prefill
	// The engine may prefill for at most budget within any window, until limitUntil.
	window     time.Duration
	budget     time.Duration
	limitUntil time.Time
}

// prefill is the time in which an engine prefills one prompt.
type prefill struct {
	from  time.Time
	until time.Time
}

// Request is a request for a prompt's turn.
type Request struct {
	Pace profiler.Pace
	// MaxWait is the maximum wait of the prompt for its turn.
	MaxWait time.Duration
}

// Turn is the answer to a Request.
type Turn struct {
	// Granted reports whether the prompt has its turn, after Wait. Otherwise Wait is how long the prompt would have to wait,
	// which is longer than its maximum wait.
	Granted bool
	Wait    time.Duration
}

// New returns a sequencer without turns.
func New() *Sequencer { return &Sequencer{} }

// Reserve grants a prompt its turn, unless the wait for it is longer than the prompt's maximum wait.
func (sq *Sequencer) Reserve(rq Request) Turn {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	now := time.Now()
	sq.applyLimit(rq.Pace, now)
	sq.dropExpired(now)
	from := sq.earliestStart(rq.Pace.Prefill, now)
	wait := from.Sub(now)
	if wait > rq.MaxWait {
		return Turn{Wait: wait}
	}
	sq.prefills = append(sq.prefills, prefill{from: from, until: from.Add(rq.Pace.Prefill)})
	return Turn{Granted: true, Wait: wait}
}

// applyLimit applies the limit of a prompt, unless a stricter one is still in force.
func (sq *Sequencer) applyLimit(pa profiler.Pace, now time.Time) {
	if pa.Window > sq.window && now.Before(sq.limitUntil) {
		return
	}
	sq.window, sq.budget = pa.Window, pa.Budget
	sq.limitUntil = now.Add(limitLifetime)
}

// dropExpired drops the prefills that are before any window that still matters.
func (sq *Sequencer) dropExpired(now time.Time) {
	sq.prefills = slices.DeleteFunc(sq.prefills, func(pf prefill) bool {
		return !pf.until.After(now.Add(-sq.window))
	})
}

// earliestStart returns when a prompt may go to the engine: after the prompts before it, and so that the engine prefills for at
// most the budget within any window. A prompt that exceeds the budget alone waits until no other prefill is in its window.
func (sq *Sequencer) earliestStart(length time.Duration, now time.Time) time.Time {
	from := now
	if count := len(sq.prefills); count > 0 && sq.prefills[count-1].until.After(from) {
		from = sq.prefills[count-1].until
	}
	remaining := max(sq.budget-length, 0)
	for _, pf := range slices.Backward(sq.prefills) {
		if duration := pf.until.Sub(pf.from); duration <= remaining {
			remaining -= duration
			continue
		}
		// Prefills before this time have to be out of the window when the prompt has been prefilled.
		windowStart := pf.until.Add(-remaining)
		if earliest := windowStart.Add(sq.window - length); earliest.After(from) {
			return earliest
		}
		return from
	}
	return from
}
