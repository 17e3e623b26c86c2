package emulator

import (
	"bytes"
	"maps"
	"strings"
	"time"
)

// Snapshot holds the state of the store at one time.
type Snapshot struct {
	revision  int64
	items     map[string]item
	leases    map[int64]lease
	lastLease int64
}

// Snapshot returns a copy of the current state.
func (st *Store) Snapshot() *Snapshot {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &Snapshot{revision: st.revision, items: maps.Clone(st.items), leases: maps.Clone(st.leases), lastLease: st.lastLease}
}

// RollBack rolls the store back to a copy: later writes and leases are lost, and later revisions are assigned again. After the
// given delay, the store repeats the lost writes of the operator and the targets. The instances must repeat their own writes.
func (st *Store) RollBack(co *Snapshot, delay time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	lost := st.changesSince(co)
	st.era++
	st.revision, st.items, st.leases, st.lastLease = co.revision, maps.Clone(co.items), maps.Clone(co.leases), co.lastLease
	st.history, st.historyStart = nil, co.revision
	time.AfterFunc(delay, func() { st.repeatWrites(lost) })
}

// changesSince returns the keys that the operator and the targets have changed since a copy. The caller holds the lock.
func (st *Store) changesSince(co *Snapshot) []item {
	var changed []item
	for key, it := range st.items {
		if before, ok := co.items[key]; isExternalKey(key) && (!ok || !bytes.Equal(before.Value, it.Value)) {
			changed = append(changed, it)
		}
	}
	for key := range co.items {
		if _, ok := st.items[key]; isExternalKey(key) && !ok {
			changed = append(changed, item{Key: key, Deleted: true})
		}
	}
	return changed
}

// isExternalKey reports whether a key is written by the operator or by the targets.
func isExternalKey(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (st *Store) repeatWrites(lost []item) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, it := range lost {
		st.revision++
		it.Revision = st.revision
		st.write(it)
	}
}
