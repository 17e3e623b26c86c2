package sequencer_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/profiler"
	"lovagebank/sequencer"
)

// TestAsk asks for several turns one after the other without time passing between them.
func TestAsk(t *testing.T) {
	pace := profiler.Pace{Prefill: 60 * time.Millisecond, Window: 250 * time.Millisecond, Budget: 200 * time.Millisecond}
	long := pace
	long.Prefill = 300 * time.Millisecond
	type ask struct {
		pace    profiler.Pace
		maxWait time.Duration
		wait    time.Duration
		granted bool
	}
	tests := map[string][]ask{
		"prompts that fit into the window follow each other": {
			{pace, time.Second, 0, true},
			{pace, time.Second, 60 * time.Millisecond, true},
			{pace, time.Second, 120 * time.Millisecond, true},
		},
		"a prompt beyond the budget waits for a later window": {
			{pace, time.Second, 0, true},
			{pace, time.Second, 60 * time.Millisecond, true},
			{pace, time.Second, 120 * time.Millisecond, true},
			// It ends at 290 ms, so that 200 ms of the window that starts at 40 ms are prefill.
			{pace, time.Second, 230 * time.Millisecond, true},
		},
		"a prompt that would wait for too long gets no turn and reserves none": {
			{pace, time.Second, 0, true},
			{pace, time.Millisecond, 60 * time.Millisecond, false},
			{pace, time.Second, 60 * time.Millisecond, true},
		},
		"a prompt longer than the budget waits for a window without others": {
			{pace, time.Second, 0, true},
			{long, time.Second, 60 * time.Millisecond, true},
			// It ends at 470 ms. 140 ms of the window that starts at 220 ms are prefill of the long prompt.
			{pace, time.Second, 410 * time.Millisecond, true},
		},
	}
	for name, asks := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sq := sequencer.New()
				for at, as := range asks {
					want := sequencer.Turn{Granted: as.granted, Wait: as.wait}
					if got := sq.Reserve(sequencer.Request{Pace: as.pace, MaxWait: as.maxWait}); got != want {
						t.Errorf("prompt %d: got %+v, want %+v", at, got, want)
					}
				}
			})
		})
	}
}

// TestExpiredTurnsAreDropped checks that turns count no more once a whole window has passed since their end.
func TestExpiredTurnsAreDropped(t *testing.T) {
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

// The constants of a simulated burst of prompts: many instances send prompts to one engine, which prefills them in chunks
// during the steps of its streams. A stream event covers several steps, so the pause before it includes all their chunks.
const (
	// burstStep is the time of a step without prefill, burstChunk the maximum number of tokens that a step prefills, and
	// burstPerToken the time per token.
	burstStep     = 8 * time.Millisecond
	burstChunk    = 2048
	burstPerToken = 39 * time.Microsecond
	// burstEvent is the number of steps per event, and burstGap the longest pause promised.
	burstEvent = 3
	burstGap   = 250 * time.Millisecond
	// burstTime is the simulated time, burstPrompt the length of a prompt in tokens, and burstInterval the mean time between two
	// prompts.
	burstTime     = 60 * time.Second
	burstPrompt   = 1460
	burstInterval = 100 * time.Millisecond
)

// longPauses simulates an engine that prompts reach at the given times. It returns the number of events with too long a pause
// and the number of all events.
func longPauses(arrivals []time.Duration) (late, events int) {
	now, pending, step := time.Duration(0), 0, 0
	lastEvent := now
	for now < burstTime {
		for len(arrivals) > 0 && arrivals[0] <= now {
			pending += burstPrompt
			arrivals = arrivals[1:]
		}
		chunk := min(pending, burstChunk)
		pending -= chunk
		now += burstStep + time.Duration(chunk)*burstPerToken
		if step++; step%burstEvent != 0 {
			continue
		}
		events++
		if now-lastEvent > burstGap {
			late++
		}
		lastEvent = now
	}
	return late, events
}

// TestTurnsPreventLongPauses compares the number of events with too long a pause with and without turns, for the same arrivals.
func TestTurnsPreventLongPauses(t *testing.T) {
	rd := rand.New(rand.NewPCG(11, 12))
	var arrivals []time.Duration
	for at := time.Duration(0); at < burstTime; at += time.Duration(rd.ExpFloat64() * float64(burstInterval)) {
		arrivals = append(arrivals, at)
	}
	synctest.Test(t, func(t *testing.T) {
		began, sq := time.Now(), sequencer.New()
		pace := profiler.Pace{
			Prefill: burstPrompt * burstPerToken, Window: burstGap, Budget: (burstGap - burstEvent*burstStep) * 4 / 5,
		}
		turns, waited := make([]time.Duration, 0, len(arrivals)), time.Duration(0)
		for _, at := range arrivals {
			time.Sleep(time.Until(began.Add(at)))
			tn := sq.Reserve(sequencer.Request{Pace: pace, MaxWait: time.Minute})
			if !tn.Granted {
				t.Fatal("a prompt with a long maximum wait got no turn")
			}
			turns, waited = append(turns, at+tn.Wait), waited+tn.Wait
		}
		without, events := longPauses(arrivals)
		with, _ := longPauses(turns)
		mean := waited / time.Duration(len(arrivals))
		t.Logf("%d of %d events pause for too long without turns, %d with turns; mean wait of a prompt %v", without, events, with, mean)
		if without < events/100 {
			t.Errorf("the simulation has too few long pauses without turns: %d of %d", without, events)
		}
		if with > 0 {
			t.Errorf("%d events pause for too long despite turns", with)
		}
		if mean > burstGap/2 {
			t.Errorf("mean wait of a prompt %v", mean)
		}
	})
}
