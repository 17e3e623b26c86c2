package watcher_test

import (
	"context"
	"testing"
	"time"

	"lovagebank/platform"
)

// When the store drops out silently, calls that wait at that time get no answer even after it is back. They end at their
// timeout, seconds after its return, and their failure belongs to an outage that is over. A target that leaves after that
// must be removed without delay (scenario salas-lima-grown trouble-3, 18 to 31 s).
func TestHangingCallsAfterOutage(t *testing.T) {
	scenarios := map[string]func(*testing.T, *fixture){
		"the timeout of a hanging call is no failure of the store": func(t *testing.T, fx *fixture) {
			began := time.Now()
			fx.store.put("op/a", "1")
			time.Sleep(5 * time.Second)
			fx.failures.RecordFailure(began)
			fx.store.remove()
			time.Sleep(200 * time.Millisecond)
			fx.expect(t, "op/a", "")
		},
		"a failure without a later answer defers removals": func(t *testing.T, fx *fixture) {
			fx.takeStoreDown()
			fx.failures.RecordFailure(time.Now())
			fx.store.remove()
			fx.store.set(false, false)
			time.Sleep(1900 * time.Millisecond)
			fx.expect(t, "op/a", "1")
		},
		"an answer after a reader kept the copy up to date is no recovery": func(t *testing.T, fx *fixture) {
			fx.takeStoreDown()
			fx.hang.Store(true)
			time.Sleep(2 * time.Second)
			fx.watcher.MarkReachable()
			time.Sleep(5 * time.Second)
			fx.store.set(false, false)
			fx.hang.Store(false)
			fx.watcher.RestartWatch()
			fx.store.remove()
			time.Sleep(200 * time.Millisecond)
			fx.expect(t, "op/a", "")
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) { run(t, scenario) })
	}
}

// A hanging call does not make the store unreachable while it answers others, and the watcher retries at once when another
// watcher sees the store recover.
func TestHangingCallIsRestarted(t *testing.T) {
	run(t, func(t *testing.T, fx *fixture) {
		fx.store.put("op/a", "1")
		time.Sleep(3 * time.Second)
		fx.hang.Store(true)
		time.Sleep(3 * time.Second)
		fx.store.put("op/a", "2")
		time.Sleep(time.Second)
		fx.expect(t, "op/a", "1")
		fx.hang.Store(false)
		fx.watcher.RestartWatch()
		time.Sleep(200 * time.Millisecond)
		fx.expect(t, "op/a", "2")
		if !fx.watcher.Current() {
			t.Error("the store counts as unreachable though it answers")
		}
	})
}

// blockUntilDone is a call that gets no answer: it returns when its context ends.
func blockUntilDone(ctx context.Context) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}
