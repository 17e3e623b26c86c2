package watcher_test

import (
	"testing"
	"time"

	"lovagebank/platform"
	"lovagebank/watcher"
)

// whole returns the copy of a peer that has op/a in its first state and is complete up to a revision.
func whole(complete int64, deferred ...watcher.DeferredRemoval) watcher.Changes {
	return watcher.Changes{
		Items: []platform.Item{{Key: "op/a", Value: []byte("1"), Revision: 1}}, Whole: true, Revision: complete, Deferred: deferred,
	}
}

// Guards against the incident DRAIN of review/4, one case for each way in which a copy and its removals came apart. Each
// scenario begins with op/a in the store, at revision 1.
func TestDeferredRemovalsAreNotForgotten(t *testing.T) {
	defer1 := watcher.DeferredRemoval{Item: platform.Item{Key: "op/a", Revision: 2, Deleted: true}, Left: 2 * time.Second}
	scenarios := map[string]func(*testing.T, *fixture){
		"a peer's copy that still has the key": func(t *testing.T, fx *fixture) {
			fx.failures.RecordFailure(time.Now())
			fx.store.remove()
			time.Sleep(100 * time.Millisecond)
			fx.watcher.ApplyChanges(whole(2))
			fx.expect(t, "op/a", "1")
			time.Sleep(3 * time.Second)
			fx.expect(t, "op/a", "")
		},
		"a peer's copy passes a removal that it defers": func(t *testing.T, fx *fixture) {
			fx.watcher.ApplyChanges(whole(2, defer1))
			fx.expect(t, "op/a", "1")
			time.Sleep(2100 * time.Millisecond)
			fx.expect(t, "op/a", "")
		},
		"a peer's changes pass a removal that it defers": func(t *testing.T, fx *fixture) {
			fx.watcher.ApplyChanges(watcher.Changes{Revision: 2, Deferred: []watcher.DeferredRemoval{defer1}})
			time.Sleep(2100 * time.Millisecond)
			fx.expect(t, "op/a", "")
		},
		"a follower of the copy hears of the removal": func(t *testing.T, fx *fixture) {
			before := fx.watcher.ChangesSince(0)
			fx.failures.RecordFailure(time.Now())
			fx.store.remove()
			<-fx.watcher.Changed(before.Cursor)
			ch := fx.watcher.ChangesSince(before.Cursor)
			if len(ch.Deferred) != 1 || ch.Deferred[0].Left <= 0 || len(ch.Items) != 0 {
				t.Errorf("got %+v", ch)
			}
		},
		"further failures do not defer it for longer": func(t *testing.T, fx *fixture) {
			fx.failures.RecordFailure(time.Now())
			fx.store.remove()
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				fx.failures.RecordFailure(time.Now())
			}
			fx.expect(t, "op/a", "")
		},
		"the key comes back": func(t *testing.T, fx *fixture) {
			fx.failures.RecordFailure(time.Now())
			fx.store.remove()
			time.Sleep(time.Second)
			fx.store.put("op/a", "2")
			time.Sleep(5 * time.Second)
			fx.expect(t, "op/a", "2")
		},
		"an older state arrives late": func(t *testing.T, fx *fixture) {
			fx.store.remove()
			time.Sleep(100 * time.Millisecond)
			fx.watcher.ApplyChanges(watcher.Changes{Items: whole(1).Items, Revision: 1})
			fx.watcher.ApplyChanges(whole(2))
			fx.expect(t, "op/a", "")
		},
		"a peer's older copy lacks the key's newest state": func(t *testing.T, fx *fixture) {
			fx.watcher.ApplyChanges(watcher.Changes{
				Items: []platform.Item{{Key: "op/a", Value: []byte("9"), Revision: 9}}, Revision: 1,
			})
			fx.watcher.ApplyChanges(watcher.Changes{Whole: true, Revision: 5})
			fx.expect(t, "op/a", "9")
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, fx *fixture) {
				fx.store.put("op/a", "1")
				time.Sleep(3 * time.Second)
				scenario(t, fx)
			})
		})
	}
}
