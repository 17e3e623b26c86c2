package keeper_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/platform"
)

// eraStep is the difference between the first revisions of two successive eras.
const eraStep = int64(1) << 40

// backup is a copy of the store.
type backup struct {
	revision, nextLease int64
	leases              map[platform.Lease]time.Time
	items               map[string]platform.Item
	leaseOfKey          map[string]platform.Lease
}

func (st *store) backUp() backup {
	st.mu.Lock()
	defer st.mu.Unlock()
	return backup{
		revision: st.revision, nextLease: st.nextLease, leases: maps.Clone(st.leases), items: maps.Clone(st.items), leaseOfKey: maps.Clone(st.leaseOfKey),
	}
}

// rollBack restores the store from a copy. Instances that reach it receive its items at once and the missing keys 5 s later.
func (st *store) rollBack(bu backup) {
	st.mu.Lock()
	before := maps.Clone(st.items)
	st.era += eraStep
	st.revision, st.nextLease = bu.revision, bu.nextLease
	st.leases, st.items, st.leaseOfKey = maps.Clone(bu.leases), make(map[string]platform.Item), maps.Clone(bu.leaseOfKey)
	var restored []platform.Item
	for key, it := range bu.items {
		it.Revision = st.era | platform.RevisionNumber(it.Revision)
		st.items[key] = it
		restored = append(restored, it)
	}
	st.mu.Unlock()
	st.notify(restored)
	time.AfterFunc(5*time.Second, func() { st.notifyMissing(before) })
}

// notifyMissing reports as deleted the keys that existed before the rollback and no longer do.
func (st *store) notifyMissing(before map[string]platform.Item) {
	st.mu.Lock()
	var deleted []platform.Item
	for key := range before {
		if _, ok := st.items[key]; !ok {
			deleted = append(deleted, platform.Item{Key: key, Revision: st.era | st.revision, Deleted: true})
		}
	}
	st.mu.Unlock()
	st.notify(deleted)
}

// reportEra reports the era to an instance, as an answer of the store does.
func (st *store) reportEra(name string) {
	st.mu.Lock()
	era := st.era
	changed := st.knownEras[name] != era
	st.knownEras[name] = era
	ke := st.keepers[name]
	st.mu.Unlock()
	if changed && ke != nil {
		ke.StoreRolledBack(platform.Era(era))
	}
}

// requireRecovery checks that some instance may send orders at the end of the given time.
func (fl *fleet) requireRecovery(t *testing.T, last *observation, within time.Duration) {
	t.Helper()
	fl.watchFor(t, last, within)
	if since := time.Since(last.at); since > 100*time.Millisecond {
		t.Errorf("no instance has been able to send orders for %v", since)
	}
}

// takeOver cuts the holder off until another instance holds the target.
func (fl *fleet) takeOver(t *testing.T, last *observation) {
	t.Helper()
	before := last.holder
	fl.store.setCut(before, true)
	fl.watchFor(t, last, 30*time.Second)
	if last.holder == before {
		t.Fatal("no instance took the target over")
	}
}

// The store is rolled back to a copy that is seconds old: leases are lost, revisions are assigned again, and the entry of a
// target's holder may be missing. Two instances must not send orders within one handover delay, and epochs must not decrease.
func TestOneHolderAtATimeAcrossStoreRollbacks(t *testing.T) {
	scenarios := map[string]func(*testing.T, *fleet, *observation){
		"the claim is in the copy": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			fl.store.rollBack(fl.store.backUp())
			fl.requireRecovery(t, last, 6*time.Second)
			fl.watchFor(t, last, 40*time.Second)
			if last.holder != holder {
				t.Errorf("%s holds the target that %s held all the time", last.holder, holder)
			}
		},
		"the holder learns of the rollback late": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			fl.store.setCut(holder, true)
			fl.store.rollBack(fl.store.backUp())
			fl.watchFor(t, last, 8*time.Second)
			fl.store.setCut(holder, false)
			fl.watchFor(t, last, 40*time.Second)
		},
		"the copy names the previous holder, which is connected again": func(t *testing.T, fl *fleet, last *observation) {
			before, copied := last.holder, fl.store.backUp()
			fl.takeOver(t, last)
			now := last.holder
			fl.store.setCut(now, true)
			fl.store.rollBack(copied)
			fl.store.setCut(before, false)
			fl.watchFor(t, last, 20*time.Second)
			fl.store.setCut(now, false)
			fl.requireRecovery(t, last, 40*time.Second)
		},
		"the copy names the previous holder, whose machine was suspended": func(t *testing.T, fl *fleet, last *observation) {
			before, copied := last.holder, fl.store.backUp()
			fl.shiftBootTime(before, 20*time.Second)
			fl.takeOver(t, last)
			fl.store.rollBack(copied)
			fl.store.setCut(before, false)
			fl.requireRecovery(t, last, 40*time.Second)
		},
		"the copy contains no claim": func(t *testing.T, fl *fleet, last *observation) {
			copied := fl.store.backUp()
			delete(copied.items, "lovagebank/holders/t")
			now := last.holder
			fl.store.setCut(now, true)
			fl.store.rollBack(copied)
			fl.watchFor(t, last, 30*time.Second)
			fl.store.setCut(now, false)
			fl.requireRecovery(t, last, 40*time.Second)
		},
		"two rollbacks within a lease": func(t *testing.T, fl *fleet, last *observation) {
			copied := fl.store.backUp()
			fl.store.rollBack(copied)
			fl.watchFor(t, last, 4*time.Second)
			fl.store.rollBack(copied)
			fl.requireRecovery(t, last, 40*time.Second)
		},
		"an instance starts in the new era and learns the age of the rollback from a peer": func(t *testing.T, fl *fleet, last *observation) {
			copied := fl.store.backUp()
			delete(copied.items, "lovagebank/holders/t")
			fl.store.setCut(last.holder, true)
			fl.store.rollBack(copied)
			fl.store.knownEras["d"] = fl.store.era
			fl.add(t, "d")
			fl.store.keepers["d"].RecordEarlierRollback(time.Second)
			fl.watchFor(t, last, 40*time.Second)
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := &fleet{store: newStore(), bootOffsets: make(map[string]time.Duration), stops: make(map[string]context.CancelFunc)}
				for _, instance := range []string{"a", "b", "c"} {
					fl.add(t, instance)
					synctest.Wait()
				}
				last := &observation{}
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
