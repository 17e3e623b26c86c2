package keeper_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/platform"
)

// oneEra is the first revision of an era less that of the one before.
const oneEra = int64(1) << 40

// backup is a copy of the store.
type backup struct {
	revision, next int64
	leases         map[platform.Lease]time.Time
	items          map[string]platform.Item
	lease          map[string]platform.Lease
}

func (st *store) backUp() backup {
	st.mu.Lock()
	defer st.mu.Unlock()
	return backup{
		revision: st.revision, next: st.next, leases: maps.Clone(st.leases), items: maps.Clone(st.items), lease: maps.Clone(st.lease),
	}
}

// stepBack has the store come back from a copy. Those that reach it read what it holds, and after a while what it lacks.
func (st *store) stepBack(bu backup) {
	st.mu.Lock()
	before := maps.Clone(st.items)
	st.era += oneEra
	st.revision, st.next = bu.revision, bu.next
	st.leases, st.items, st.lease = maps.Clone(bu.leases), make(map[string]platform.Item), maps.Clone(bu.lease)
	var there []platform.Item
	for key, it := range bu.items {
		it.Revision = st.era | platform.OwnRevision(it.Revision)
		st.items[key] = it
		there = append(there, it)
	}
	st.mu.Unlock()
	st.tell(there)
	time.AfterFunc(5*time.Second, func() { st.tellMissing(before) })
}

// tellMissing tells of keys that were there before and are not any more.
func (st *store) tellMissing(before map[string]platform.Item) {
	st.mu.Lock()
	var gone []platform.Item
	for key := range before {
		if _, ok := st.items[key]; !ok {
			gone = append(gone, platform.Item{Key: key, Revision: st.era | st.revision, Deleted: true})
		}
	}
	st.mu.Unlock()
	st.tell(gone)
}

// tellEra has an instance know the era from an answer of the store.
func (st *store) tellEra(name string) {
	st.mu.Lock()
	era := st.era
	news := st.known[name] != era
	st.known[name] = era
	ke := st.keepers[name]
	st.mu.Unlock()
	if news && ke != nil {
		ke.StoreRolledBack(platform.Era(era))
	}
}

// recovers checks that some instance may order soon.
func (fl *fleet) recovers(t *testing.T, last *orders, within time.Duration) {
	t.Helper()
	fl.watchFor(t, last, within)
	if since := time.Since(last.at); since > 100*time.Millisecond {
		t.Errorf("nobody has been able to order for %v", since)
	}
}

// takeOver has another instance hold the target.
func (fl *fleet) takeOver(t *testing.T, last *orders) {
	t.Helper()
	before := last.holder
	fl.store.setCut(before, true)
	fl.watchFor(t, last, 30*time.Second)
	if last.holder == before {
		t.Fatal("nobody took the target over")
	}
}

// The store comes back from a copy that is seconds old: leases are gone, revisions are given out again, and it may not know
// who holds a target. No two instances order within a turn, and epochs never fall.
func TestStoreStepsBack(t *testing.T) {
	scenarios := map[string]func(*testing.T, *fleet, *orders){
		"the claim is in the copy": func(t *testing.T, fl *fleet, last *orders) {
			holder := last.holder
			fl.store.stepBack(fl.store.backUp())
			fl.recovers(t, last, 6*time.Second)
			fl.watchFor(t, last, 40*time.Second)
			if last.holder != holder {
				t.Errorf("%s holds the target that %s held all the time", last.holder, holder)
			}
		},
		"the holder hears of it late": func(t *testing.T, fl *fleet, last *orders) {
			holder := last.holder
			fl.store.setCut(holder, true)
			fl.store.stepBack(fl.store.backUp())
			fl.watchFor(t, last, 8*time.Second)
			fl.store.setCut(holder, false)
			fl.watchFor(t, last, 40*time.Second)
		},
		"the copy names the holder before, which is back": func(t *testing.T, fl *fleet, last *orders) {
			before, copied := last.holder, fl.store.backUp()
			fl.takeOver(t, last)
			now := last.holder
			fl.store.setCut(now, true)
			fl.store.stepBack(copied)
			fl.store.setCut(before, false)
			fl.watchFor(t, last, 20*time.Second)
			fl.store.setCut(now, false)
			fl.recovers(t, last, 40*time.Second)
		},
		"the copy names the holder before, whose machine was suspended": func(t *testing.T, fl *fleet, last *orders) {
			before, copied := last.holder, fl.store.backUp()
			fl.shift(before, 20*time.Second)
			fl.takeOver(t, last)
			fl.store.stepBack(copied)
			fl.store.setCut(before, false)
			fl.recovers(t, last, 40*time.Second)
		},
		"the copy knows of no claim": func(t *testing.T, fl *fleet, last *orders) {
			copied := fl.store.backUp()
			delete(copied.items, "lovagebank/holders/t")
			now := last.holder
			fl.store.setCut(now, true)
			fl.store.stepBack(copied)
			fl.watchFor(t, last, 30*time.Second)
			fl.store.setCut(now, false)
			fl.recovers(t, last, 40*time.Second)
		},
		"twice within a lease": func(t *testing.T, fl *fleet, last *orders) {
			copied := fl.store.backUp()
			fl.store.stepBack(copied)
			fl.watchFor(t, last, 4*time.Second)
			fl.store.stepBack(copied)
			fl.recovers(t, last, 40*time.Second)
		},
		"an instance starts in the new era and is told of its age by a peer": func(t *testing.T, fl *fleet, last *orders) {
			copied := fl.store.backUp()
			delete(copied.items, "lovagebank/holders/t")
			fl.store.setCut(last.holder, true)
			fl.store.stepBack(copied)
			fl.store.known["d"] = fl.store.era
			fl.add(t, "d")
			fl.store.keepers["d"].RecordEarlierRollback(time.Second)
			fl.watchFor(t, last, 40*time.Second)
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := &fleet{store: newStore(), frozen: make(map[string]time.Duration), stops: make(map[string]context.CancelFunc)}
				for _, instance := range []string{"a", "b", "c"} {
					fl.add(t, instance)
					synctest.Wait()
				}
				last := &orders{}
				fl.watchFor(t, last, 10*time.Second)
				scenario(t, fl, last)
				for instance, stop := range fl.stops {
					stop()
					<-fl.store.keepers[instance].Done()
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}
