package emulator

import (
	"bytes"
	"maps"
	"strings"
	"time"
)

// Copy holds the state of the store at one time.
type Copy struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	next     int64
}

// Copy returns a copy of the current state.
func (st *Store) Copy() *Copy {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &Copy{revision: st.revision, items: maps.Clone(st.items), leases: maps.Clone(st.leases), next: st.next}
}

// StepBack rolls the store back to a copy: later writes and leases are lost, and later revisions are assigned again. After the
// given delay, the store repeats the lost writes of the operator and the targets. The instances must repeat their own writes.
func (st *Store) StepBack(co *Copy, delay time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	lost := st.since(co)
	st.era++
	st.revision, st.items, st.leases, st.next = co.revision, maps.Clone(co.items), maps.Clone(co.leases), co.next
	st.history, st.from = nil, co.revision
	time.AfterFunc(delay, func() { st.writeAgain(lost) })
}

// since returns the keys that the operator and the targets have changed since a copy. The caller holds the lock.
func (st *Store) since(co *Copy) []item {
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

// foreign reports whether a key is written by the operator or by the targets.
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
