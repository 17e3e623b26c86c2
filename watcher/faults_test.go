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

// snapshot is a copy of the store's keys at a revision.
type snapshot struct {
	revision int64
	items    map[string]platform.Item
}

func (st *store) copy() snapshot {
	st.mu.Lock()
	defer st.mu.Unlock()
	return snapshot{revision: st.revision & (1<<40 - 1), items: maps.Clone(st.items)}
}

// restore rolls the store back to a snapshot and begins a new era.
func (st *store) restore(sn snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.revision = st.era<<40 | sn.revision
	st.history, st.compactedTo = nil, st.revision
	st.items = make(map[string]platform.Item)
	for key, it := range sn.items {
		it.Revision = st.era<<40 | it.Revision&(1<<40-1)
		st.items[key] = it
	}
}

// removeKey removes a key if it exists.
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

// injectFault makes one random change to the store's data or to its availability.
func (fx *fixture) injectFault(rd *rand.Rand, sn *snapshot) {
	key := fmt.Sprint("op/", rd.IntN(8))
	switch rd.IntN(12) {
	case 0:
		fx.store.set(true, false)
	case 1, 2:
		fx.store.set(false, false)
	case 3:
		fx.store.compact()
	case 4:
		fx.hang.Store(!fx.hang.Load())
	case 5:
		*sn = fx.store.copy()
	case 6:
		fx.store.restore(*sn)
		fx.watcher.StoreRolledBack()
	case 7, 8:
		fx.store.removeKey(key)
	default:
		fx.store.put(key, fmt.Sprint(rd.IntN(1000)))
	}
}

// In random order and overlapping, the store goes down, drops its history, is rolled back and leaves calls hanging. Once the
// faults have ended, the copy must equal the store's keys.
func TestConvergesAfterRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run(t, func(t *testing.T, fx *fixture) {
				rd := rand.New(rand.NewPCG(seed, 2))
				sn := fx.store.copy()
				for range 60 {
					fx.injectFault(rd, &sn)
					time.Sleep(time.Duration(rd.IntN(1500)) * time.Millisecond)
				}
				fx.store.set(false, false)
				fx.hang.Store(false)
				fx.watcher.RestartWatch()
				time.Sleep(20 * time.Second)
				want := make(map[string]string)
				fx.store.mu.Lock()
				for key, it := range fx.store.items {
					if strings.HasPrefix(key, "op/") {
						want[key] = string(it.Value)
					}
				}
				fx.store.mu.Unlock()
				fx.mu.Lock()
				defer fx.mu.Unlock()
				if !maps.Equal(fx.reported, want) {
					t.Errorf("the watcher reported %v, the store holds %v", fx.reported, want)
				}
			})
		})
	}
}
