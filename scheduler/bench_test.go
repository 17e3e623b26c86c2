package scheduler

import (
	"fmt"
	"testing"
	"time"

	"lovagebank/invoker"
	"lovagebank/requester"
	"lovagebank/wire"
)

// BenchmarkDecide measures the arrival, start and end of a request at a target with a full batch and a long queue.
func BenchmarkDecide(b *testing.B) {
	const organisations, adapters, backlog = 5, 8, 200
	options := Options{Target: &wire.Target{Id: "t", Slots: adapters, Batch: 16}, MaxQueuePerOrganisation: defaultMaxQueue}
	options.setDefaults()
	now := time.Unix(1000, 0)
	st := newState(options, now)
	var reps []invoker.AdapterReport
	for index := range adapters {
		reps = append(reps, invoker.AdapterReport{Name: fmt.Sprint("ad", index, "@1"), State: invoker.StateLoaded})
	}
	st.setLease(1, now.Add(time.Hour), true)
	st.handle(message{kind: messageReported, load: invoker.NewLoadReport("1", adapters, 16, 0, 0, reps, now)}, now)
	var running []*item
	next := 0
	step := func() {
		now = now.Add(time.Millisecond)
		st.setLease(1, now.Add(time.Hour), true)
		st.decide(now)
		for _, ac := range st.takeActions() {
			if ac.kind == actionReply && ac.decision.refusal == nil {
				running = append(running, ac.item)
			}
		}
	}
	arrive := func() {
		next++
		st.handle(message{kind: messageArrived, item: newItem(requester.New(requester.Fields{
			Organisation: fmt.Sprint("o", next%organisations), Adapter: fmt.Sprint("ad", next%adapters), Version: "1",
			MaxTokens: 100, Urgency: requester.UrgencyInteractive, Deadline: now.Add(time.Hour),
		}), now)}, now)
		step()
	}
	for range backlog {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		arrive()
		if len(running) > 0 {
			it := running[0]
			running = running[1:]
			st.handle(message{kind: messageFinished, item: it, usage: requester.NewUsage(1, 50, "", "", 0, 0)}, now)
			step()
		}
	}
}
