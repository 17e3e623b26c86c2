package watcher_test

import (
	"testing"
	"time"

	"lovagebank/platform"
)

// rollBack rolls the store back to a state in which op/a has an older value, or none.
func (fx *fixture) rollBack(value string) {
	st := fx.store
	st.mu.Lock()
	st.era++
	st.revision, st.history, st.compactedTo = st.era<<40|1, nil, st.era<<40|1
	delete(st.items, "op/a")
	if value != "" {
		st.items["op/a"] = platform.Item{Key: "op/a", Value: []byte(value), Revision: st.era<<40 | 1}
	}
	st.mu.Unlock()
	fx.watcher.StoreRolledBack()
}

// The store comes back from a copy that is seconds old. Keys that the copy lacks must not be removed while their writers may
// write them again, and new writes must be applied although the store's own revision numbers are lower.
func TestStoreRollback(t *testing.T) {
	scenarios := map[string]func(*testing.T, *fixture){
		"a key missing from the copy and written again is never removed": func(t *testing.T, fx *fixture) {
			fx.rollBack("")
			time.Sleep(3 * time.Second)
			fx.expect(t, "op/a", "9")
			fx.store.put("op/a", "10")
			time.Sleep(6 * time.Second)
			fx.expect(t, "op/a", "10")
		},
		"a key missing from the copy and never written again is removed in the end": func(t *testing.T, fx *fixture) {
			fx.rollBack("")
			time.Sleep(7 * time.Second)
			fx.expect(t, "op/a", "")
		},
		"values of the copy and later writes are reported": func(t *testing.T, fx *fixture) {
			fx.rollBack("3")
			time.Sleep(300 * time.Millisecond)
			fx.expect(t, "op/a", "3")
			fx.store.put("op/a", "9")
			time.Sleep(300 * time.Millisecond)
			fx.expect(t, "op/a", "9")
		},
		"two rollbacks in a row": func(t *testing.T, fx *fixture) {
			fx.rollBack("3")
			time.Sleep(50 * time.Millisecond)
			fx.rollBack("2")
			fx.store.put("op/a", "11")
			time.Sleep(300 * time.Millisecond)
			fx.expect(t, "op/a", "11")
		},
		"the watcher stays current and listed": func(t *testing.T, fx *fixture) {
			fx.rollBack("3")
			for range 100 {
				if !fx.watcher.Listed() || !fx.watcher.Current() {
					t.Fatal("the copy is not current and listed, so its followers would leave it")
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, fx *fixture) {
				for _, value := range []string{"1", "2", "3", "9"} {
					fx.store.put("op/a", value)
				}
				time.Sleep(5 * time.Second)
				scenario(t, fx)
			})
		})
	}
}
