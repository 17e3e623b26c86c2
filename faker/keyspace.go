package faker

import (
	"bytes"
	"maps"
	"slices"
	"strings"
)

// Entry is one key of the store, in the format of Consul's HTTP API. Value is encoded as base64 in JSON.
type Entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
	CreateIndex uint64
	ModifyIndex uint64
}

// keyspace holds the store's data. Every change increments the index. Methods require the caller to hold the store's
// lock. Entries are never modified in place, so a shallow copy of the map is a snapshot.
type keyspace struct {
	index      uint64
	entries    map[string]*Entry
	tombstones map[string]uint64
	// undo holds the previous entries of the keys that a transaction has changed; nil for keys that did not exist.
	undo map[string]*Entry
}

func newKeyspace() *keyspace {
	return &keyspace{index: 1, entries: map[string]*Entry{}, tombstones: map[string]uint64{}}
}

// snapshot returns a copy that is not affected by later changes.
func (ks *keyspace) snapshot() *keyspace {
	return &keyspace{index: ks.index, entries: maps.Clone(ks.entries), tombstones: maps.Clone(ks.tombstones)}
}

// begin starts a transaction. All changes until commit or rollback share one index.
func (ks *keyspace) begin() {
	ks.undo = map[string]*Entry{}
	ks.index++
}

// commit applies the recorded changes and reports whether there were any.
func (ks *keyspace) commit() bool {
	changed := len(ks.undo) > 0
	if !changed {
		ks.index--
	}
	for key := range ks.undo {
		if ks.entries[key] == nil {
			ks.tombstones[key] = ks.index
		}
	}
	ks.undo = nil
	return changed
}

// rollback reverts the recorded changes.
func (ks *keyspace) rollback() {
	for key, entry := range ks.undo {
		if entry == nil {
			delete(ks.entries, key)
		} else {
			ks.entries[key] = entry
		}
	}
	ks.undo = nil
	ks.index--
}

// record saves a key's entry for rollback, before its first change in the transaction.
func (ks *keyspace) record(key string) {
	if _, recorded := ks.undo[key]; !recorded {
		ks.undo[key] = ks.entries[key]
	}
}

// get returns a key's entry, or nil if the key does not exist.
func (ks *keyspace) get(key string) *Entry { return ks.entries[key] }

// list returns the entries whose keys start with a prefix, sorted by key.
func (ks *keyspace) list(prefix string) []*Entry {
	var found []*Entry
	for key, entry := range ks.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b *Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// indexOf returns the index of the last change to a key or, with recurse, to any key with that prefix. The result is at
// least 1.
func (ks *keyspace) indexOf(key string, recurse bool) uint64 {
	last := uint64(1)
	if !recurse {
		if entry := ks.entries[key]; entry != nil {
			return entry.ModifyIndex
		}
		return max(last, ks.tombstones[key])
	}
	for name, entry := range ks.entries {
		if strings.HasPrefix(name, key) {
			last = max(last, entry.ModifyIndex)
		}
	}
	for name, index := range ks.tombstones {
		if strings.HasPrefix(name, key) {
			last = max(last, index)
		}
	}
	return last
}

// set writes a value. As in Consul, a write of the same value and flags keeps the entry's index.
func (ks *keyspace) set(key string, value []byte, flags uint64) *Entry {
	old := ks.entries[key]
	next := &Entry{Key: key, Value: value, Flags: flags, CreateIndex: ks.index, ModifyIndex: ks.index}
	if old != nil {
		if old.Flags == flags && bytes.Equal(old.Value, value) {
			return old
		}
		next.CreateIndex, next.LockIndex, next.Session = old.CreateIndex, old.LockIndex, old.Session
	}
	return ks.put(next)
}

func (ks *keyspace) put(entry *Entry) *Entry {
	ks.record(entry.Key)
	ks.entries[entry.Key] = entry
	return entry
}

// matchesIndex reports whether a key's modify index equals the given one; 0 matches a key that does not exist.
func (ks *keyspace) matchesIndex(key string, index uint64) bool {
	entry := ks.entries[key]
	if entry == nil {
		return index == 0
	}
	return entry.ModifyIndex == index
}

func (ks *keyspace) remove(key string) {
	if ks.entries[key] != nil {
		ks.record(key)
		delete(ks.entries, key)
	}
}

// acquire writes a value and locks its key for a session. It returns false when another session holds the lock.
func (ks *keyspace) acquire(key, session string, value []byte, flags uint64) (*Entry, bool) {
	old := ks.entries[key]
	if old != nil && old.Session != "" && old.Session != session {
		return nil, false
	}
	next := &Entry{Key: key, Value: value, Flags: flags, Session: session, LockIndex: 1}
	next.CreateIndex, next.ModifyIndex = ks.index, ks.index
	if old != nil {
		next.CreateIndex, next.LockIndex = old.CreateIndex, old.LockIndex
		if old.Session == "" {
			next.LockIndex++
		}
	}
	return ks.put(next), true
}

// release writes a value and unlocks its key. It returns false when the session does not hold the lock.
func (ks *keyspace) release(key, session string, value []byte, flags uint64) (*Entry, bool) {
	old := ks.entries[key]
	if old == nil || old.Session != session {
		return nil, false
	}
	next := *old
	next.Session, next.Value, next.Flags, next.ModifyIndex = "", value, flags, ks.index
	return ks.put(&next), true
}

// expire unlocks or, with remove, deletes all keys that a session has locked. It returns these keys.
func (ks *keyspace) expire(session string, remove bool) []string {
	var keys []string
	for key, entry := range ks.entries {
		if entry.Session == session {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		if remove {
			ks.remove(key)
			continue
		}
		next := *ks.entries[key]
		next.Session, next.ModifyIndex = "", ks.index
		ks.put(&next)
	}
	return keys
}
