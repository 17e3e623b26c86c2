package sequencer_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/profiler"
	"lovagebank/sequencer"
)

// TestAsk asks for turns one after the other at the same time.
func TestAsk(t *testing.T) {
	pace := profiler.Pace{Prefill: 60 * time.Millisecond, Window: 250 * time.Millisecond, Budget: 200 * time.Millisecond}
	long := pace
	long.Prefill = 300 * time.Millisecond
	type ask struct {
		pace     profiler.Pace
		patience time.Duration
		wait     time.Duration
		granted  bool
	}
	tests := map[string][]ask{
		"prompts that fit into the window follow each other": {
			{pace, time.Second, 0, true},
			{pace, time.Second, 60 * time.Millisecond, true},
			{pace, time.Second, 120 * time.Millisecond, true},
		},
		"the fourth lets the engine generate first": {
			{pace, time.Second, 0, true},
			{pace, time.Second, 60 * time.Millisecond, true},
			{pace, time.Second, 120 * time.Millisecond, true},
			// It ends at 290 ms, so that of the window from 40 ms on 200 ms are read.
			{pace, time.Second, 230 * time.Millisecond, true},
		},
		"a prompt that would wait for too long gets no turn and takes none": {
			{pace, time.Second, 0, true},
			{pace, time.Millisecond, 60 * time.Millisecond, false},
			{pace, time.Second, 60 * time.Millisecond, true},
		},
		"a prompt longer than all waits for a window without others": {
			{pace, time.Second, 0, true},
			{long, time.Second, 60 * time.Millisecond, true},
			// It ends at 470 ms; of the window from 220 ms on 140 ms are read for the long one.
			{pace, time.Second, 410 * time.Millisecond, true},
		},
	}
	for name, asks := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sq := sequencer.New()
				for at, as := range asks {
					want := sequencer.Turn{Granted: as.granted, Wait: as.wait}
					if got := sq.Reserve(sequencer.Request{Pace: as.pace, MaxWait: as.patience}); got != want {
						t.Errorf("prompt %d: got %+v, want %+v", at, got, want)
					}
				}
			})
		})
	}
}

// TestForgetsTurns has turns that are over count no more.
func TestForgetsTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sq := sequencer.New()
		pace := profiler.Pace{Prefill: 200 * time.Millisecond, Window: 250 * time.Millisecond, Budget: 200 * time.Millisecond}
		sq.Reserve(sequencer.Request{Pace: pace, MaxWait: time.Second})
		time.Sleep(451 * time.Millisecond)
		if tn := sq.Reserve(sequencer.Request{Pace: pace, MaxWait: time.Second}); tn.Wait != 0 || !tn.Granted {
			t.Errorf("got %+v after a whole window", tn)
		}
	})
}

// The pattern "prompts that come in bunches": many instances send prompts to one engine, which reads them in pieces between
// the steps of its streams; an event holds several steps, so its pause is as long as these pieces.
const (
	// bunchStep is the time of a step without a prompt, bunchPiece the most tokens that a step reads, and bunchPerToken the
	// time for each.
	bunchStep     = 8 * time.Millisecond
	bunchPiece    = 2048
	bunchPerToken = 39 * time.Microsecond
	// bunchEvent is the number of steps that make an event, and bunchGap the longest pause promised.
	bunchEvent = 3
	bunchGap   = 250 * time.Millisecond
	// bunchTime is how long the pattern lasts, bunchPrompt the length of a prompt and bunchEvery the mean time between two.
	bunchTime   = 60 * time.Second
	bunchPrompt = 1460
	bunchEvery  = 100 * time.Millisecond
)

// longPauses plays prompts that reach an engine at some times and returns how many events paused for too long, of how many,
// and the mean time until a prompt was read.
func longPauses(arrivals []time.Duration) (late, events int) {
	now, unread, step := time.Duration(0), 0, 0
	begun := now
	for now < bunchTime {
		for len(arrivals) > 0 && arrivals[0] <= now {
			unread += bunchPrompt
			arrivals = arrivals[1:]
		}
		piece := min(unread, bunchPiece)
		unread -= piece
		now += bunchStep + time.Duration(piece)*bunchPerToken
		if step++; step%bunchEvent != 0 {
			continue
		}
		events++
		if now-begun > bunchGap {
			late++
		}
		begun = now
	}
	return late, events
}

// TestBunchedPrompts compares the events that pause for too long with and without turns on the same arrivals.
func TestBunchedPrompts(t *testing.T) {
	rd := rand.New(rand.NewPCG(11, 12))
	var arrivals []time.Duration
	for at := time.Duration(0); at < bunchTime; at += time.Duration(rd.ExpFloat64() * float64(bunchEvery)) {
		arrivals = append(arrivals, at)
	}
	synctest.Test(t, func(t *testing.T) {
		began, sq := time.Now(), sequencer.New()
		pace := profiler.Pace{
			Prefill: bunchPrompt * bunchPerToken, Window: bunchGap, Budget: (bunchGap - bunchEvent*bunchStep) * 4 / 5,
		}
		turns, waited := make([]time.Duration, 0, len(arrivals)), time.Duration(0)
		for _, at := range arrivals {
			time.Sleep(time.Until(began.Add(at)))
			tn := sq.Reserve(sequencer.Request{Pace: pace, MaxWait: time.Minute})
			if !tn.Granted {
				t.Fatal("a prompt with patience got no turn")
			}
			turns, waited = append(turns, at+tn.Wait), waited+tn.Wait
		}
		without, events := longPauses(arrivals)
		with, _ := longPauses(turns)
		mean := waited / time.Duration(len(arrivals))
		t.Logf("%d of %d events pause for too long without turns, %d with; a prompt waits %v in the mean", without, events, with, mean)
		if without < events/100 {
			t.Errorf("the pattern shows no long pauses: %d of %d", without, events)
		}
		if with > 0 {
			t.Errorf("%d events pause for too long in spite of turns", with)
		}
		if mean > bunchGap/2 {
			t.Errorf("prompts wait %v in the mean", mean)
		}
	})
}
