package emulator

import (
	"bytes"
	"maps"
	"strings"
	"time"
)

// Snapshot is what the store held at a time.
type Snapshot struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	next     int64
}

// Snapshot takes a copy.
func (st *Store) Snapshot() *Snapshot {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &Snapshot{revision: st.revision, items: maps.Clone(st.items), leases: maps.Clone(st.leases), next: st.next}
}

// RollBack has the store come back from a copy: what was written since is gone, leases too, and revisions are given out again.
// What the operator and the targets wrote since is written again after a while; the instances have to see to their own.
func (st *Store) RollBack(co *Snapshot, again time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	lost := st.since(co)
	st.era++
	st.revision, st.items, st.leases, st.next = co.revision, maps.Clone(co.items), maps.Clone(co.leases), co.next
	st.history, st.from = nil, co.revision
	time.AfterFunc(again, func() { st.writeAgain(lost) })
}

// since returns what the operator and the targets changed since a copy; the lock is held.
func (st *Store) since(co *Snapshot) []item {
	var changed []item
	for key, it := range st.items {
		if before, ok := co.items[key]; foreign(key) && (!ok || !bytes.Equal(before.Value, it.Value)) {
			changed = append(changed, it)
		}
	}
	for key := range co.items {
		if _, ok := st.items[key]; foreign(key) && !ok {
			changed = append(changed, item{Key: key, Deleted: true})
		}
	}
	return changed
}

// foreign tells whether the operator or the targets write a key.
func foreign(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (st *Store) writeAgain(lost []item) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, it := range lost {
		st.revision++
		it.Revision = st.revision
		st.write(it)
	}
}
