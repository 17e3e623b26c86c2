package watcher_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lovagebank/platform"
)

// copied is a copy of the test's store.
type copied struct {
	revision int64
	items    map[string]platform.Item
}

func (st *store) copy() copied {
	st.mu.Lock()
	defer st.mu.Unlock()
	return copied{revision: st.revision & (1<<40 - 1), items: maps.Clone(st.items)}
}

// restore has the store come back from a copy, in a new era.
func (st *store) restore(co copied) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.revision = st.era<<40 | co.revision
	st.history, st.from = nil, st.revision
	st.items = make(map[string]platform.Item)
	for key, it := range co.items {
		it.Revision = st.era<<40 | it.Revision&(1<<40-1)
		st.items[key] = it
	}
}

// removeKey removes a key, if it is there.
func (st *store) removeKey(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	delete(st.items, key)
	st.history = append(st.history, platform.Item{Key: key, Revision: st.revision, Deleted: true})
}

// strike does one thing to the store or to the way to it.
func (wo *world) strike(rd *rand.Rand, co *copied) {
	key := fmt.Sprint("op/", rd.IntN(8))
	switch rd.IntN(12) {
	case 0:
		wo.store.set(true, false)
	case 1, 2:
		wo.store.set(false, false)
	case 3:
		wo.store.compact()
	case 4:
		wo.hang.Store(!wo.hang.Load())
	case 5:
		*co = wo.store.copy()
	case 6:
		wo.store.restore(*co)
		wo.watcher.StoreRolledBack()
	case 7, 8:
		wo.store.removeKey(key)
	default:
		wo.store.put(key, fmt.Sprint(rd.IntN(1000)))
	}
}

// TestAnySeriesOfTrouble has a store go away, drop its history, come back from copies and leave calls hanging, in any order
// and overlapping. Once all is calm the copy is what the store holds.
func TestAnySeriesOfTrouble(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run(t, func(t *testing.T, wo *world) {
				rd := rand.New(rand.NewPCG(seed, 2))
				co := wo.store.copy()
				for range 60 {
					wo.strike(rd, &co)
					time.Sleep(time.Duration(rd.IntN(1500)) * time.Millisecond)
				}
				wo.store.set(false, false)
				wo.hang.Store(false)
				wo.watcher.RestartWatch()
				time.Sleep(20 * time.Second)
				want := make(map[string]string)
				wo.store.mu.Lock()
				for key, it := range wo.store.items {
					if strings.HasPrefix(key, "op/") {
						want[key] = string(it.Value)
					}
				}
				wo.store.mu.Unlock()
				wo.mu.Lock()
				defer wo.mu.Unlock()
				if !maps.Equal(wo.known, want) {
					t.Errorf("known is %v, the store holds %v", wo.known, want)
				}
			})
		})
	}
}
