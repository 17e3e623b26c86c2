package watcher_test

import (
	"testing"
	"time"

	"lovagebank/platform"
)

// stepBack has the store come back from a copy in which the key that all scenarios use has an older value, or none.
func (wo *world) stepBack(value string) {
	st := wo.store
	st.mu.Lock()
	st.era++
	st.revision, st.history, st.from = st.era<<40|1, nil, st.era<<40|1
	delete(st.items, "op/a")
	if value != "" {
		st.items["op/a"] = platform.Item{Key: "op/a", Value: []byte(value), Revision: st.era<<40 | 1}
	}
	st.mu.Unlock()
	wo.watcher.StoreRolledBack()
}

// The store comes back from a copy that is seconds old. What it lacks is not taken for removed while its writers may write it
// again, and what they write is taken though the store's own numbers are lower.
func TestStoreStepsBack(t *testing.T) {
	scenarios := map[string]func(*testing.T, *world){
		"a key that the copy lacks and that is written again is never gone": func(t *testing.T, wo *world) {
			wo.stepBack("")
			time.Sleep(3 * time.Second)
			wo.expect(t, "op/a", "9")
			wo.store.put("op/a", "10")
			time.Sleep(6 * time.Second)
			wo.expect(t, "op/a", "10")
		},
		"a key that the copy lacks and that nobody writes again is gone in the end": func(t *testing.T, wo *world) {
			wo.stepBack("")
			time.Sleep(7 * time.Second)
			wo.expect(t, "op/a", "")
		},
		"what the copy holds is told, and what is written after it": func(t *testing.T, wo *world) {
			wo.stepBack("3")
			time.Sleep(300 * time.Millisecond)
			wo.expect(t, "op/a", "3")
			wo.store.put("op/a", "9")
			time.Sleep(300 * time.Millisecond)
			wo.expect(t, "op/a", "9")
		},
		"twice in a row": func(t *testing.T, wo *world) {
			wo.stepBack("3")
			time.Sleep(50 * time.Millisecond)
			wo.stepBack("2")
			wo.store.put("op/a", "11")
			time.Sleep(300 * time.Millisecond)
			wo.expect(t, "op/a", "11")
		},
		"the copy counts as current and listed all the while": func(t *testing.T, wo *world) {
			wo.stepBack("3")
			for range 100 {
				if !wo.watcher.Listed() || !wo.watcher.Current() {
					t.Fatal("those who follow this copy would leave it")
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, wo *world) {
				for _, value := range []string{"1", "2", "3", "9"} {
					wo.store.put("op/a", value)
				}
				time.Sleep(5 * time.Second)
				scenario(t, wo)
			})
		})
	}
}
