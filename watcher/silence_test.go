package watcher_test

import (
	"context"
	"testing"
	"time"

	"lovagebank/platform"
)

// The pattern of salas-lima-grown trouble-3, 18 to 31 s: the store is away without a word, and calls that were waiting then
// get no answer when it is back. They end at their time limit, seconds after its return. A target that leaves after that is
// gone at once: those calls tell of an outage that is over.
func TestCallsThatHangBeyondAnOutage(t *testing.T) {
	scenarios := map[string]func(*testing.T, *world){
		"a call that hangs does not count as a failure of the store": func(t *testing.T, wo *world) {
			began := time.Now()
			wo.store.put("op/a", "1")
			time.Sleep(5 * time.Second)
			wo.trouble.RecordFailure(began)
			wo.store.remove()
			time.Sleep(200 * time.Millisecond)
			wo.expect(t, "op/a", "")
		},
		"a failure with no answer since counts": func(t *testing.T, wo *world) {
			wo.loseStore()
			wo.trouble.RecordFailure(time.Now())
			wo.store.remove()
			wo.store.set(false, false)
			time.Sleep(1900 * time.Millisecond)
			wo.expect(t, "op/a", "1")
		},
		"a copy that a reader has led since has not been regained when it is read here": func(t *testing.T, wo *world) {
			wo.loseStore()
			wo.hang.Store(true)
			time.Sleep(2 * time.Second)
			wo.watcher.MarkReachable()
			time.Sleep(5 * time.Second)
			wo.store.set(false, false)
			wo.hang.Store(false)
			wo.watcher.RestartWatch()
			wo.store.remove()
			time.Sleep(200 * time.Millisecond)
			wo.expect(t, "op/a", "")
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) { run(t, scenario) })
	}
}

// A watcher whose call hangs is not lost while the store answers others, and another's regain has it ask again at once.
func TestHangingCallIsRenewed(t *testing.T) {
	run(t, func(t *testing.T, wo *world) {
		wo.store.put("op/a", "1")
		time.Sleep(3 * time.Second)
		wo.hang.Store(true)
		time.Sleep(3 * time.Second)
		wo.store.put("op/a", "2")
		time.Sleep(time.Second)
		wo.expect(t, "op/a", "1")
		wo.hang.Store(false)
		wo.watcher.RestartWatch()
		time.Sleep(200 * time.Millisecond)
		wo.expect(t, "op/a", "2")
		if !wo.watcher.Current() {
			t.Error("the store counts as lost though it answers")
		}
	})
}

// hung waits for the end of a call that gets no answer.
func hung(ctx context.Context) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}
