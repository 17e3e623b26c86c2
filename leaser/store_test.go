package leaser

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

// fakeStore is a store with sessions, locks and indexes, in virtual time.
type fakeStore struct {
	index       uint64
	entries     map[string]storer.Entry
	sessions    map[string]time.Time
	unreachable bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{index: 1, entries: make(map[string]storer.Entry), sessions: make(map[string]time.Time)}
}

// lapse ends the sessions whose time to live has passed, even while the store is unreachable.
func (fs *fakeStore) lapse(now time.Time) {
	for session, expiry := range fs.sessions {
		if !now.Before(expiry) {
			fs.end(session)
		}
	}
}

func (fs *fakeStore) end(session string) {
	delete(fs.sessions, session)
	for key, en := range fs.entries {
		if en.Session() == session {
			fs.index++
			fs.entries[key] = storer.NewEntry(key, en.Value(), fs.index, "")
		}
	}
}

func (fs *fakeStore) create(now time.Time, ttl time.Duration) string {
	fs.index++
	session := fmt.Sprintf("session-%d", fs.index)
	fs.sessions[session] = now.Add(ttl)
	return session
}

func (fs *fakeStore) renew(now time.Time, session string, ttl time.Duration) error {
	if _, ok := fs.sessions[session]; !ok {
		return storer.ErrNotFound
	}
	fs.sessions[session] = now.Add(ttl)
	return nil
}

// transact supports the steps that the leaser uses.
func (fs *fakeStore) transact(steps []storer.Step) ([]storer.Entry, error) {
	var failed []int
	for i, st := range steps {
		if !fs.allows(st) {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return nil, storer.NewConflict(failed...)
	}
	fs.index++
	var results []storer.Entry
	for _, st := range steps {
		switch st.Verb() {
		case storer.VerbLock:
			fs.entries[st.Key()] = storer.NewEntry(st.Key(), st.Value(), fs.index, st.Session())
		case storer.VerbUnlock:
			fs.entries[st.Key()] = storer.NewEntry(st.Key(), st.Value(), fs.index, "")
		}
		if en, ok := fs.entries[st.Key()]; ok {
			results = append(results, en)
		}
	}
	return results, nil
}

func (fs *fakeStore) allows(st storer.Step) bool {
	en, exists := fs.entries[st.Key()]
	_, live := fs.sessions[st.Session()]
	switch st.Verb() {
	case storer.VerbCheckIndex:
		return exists && en.Index() == st.Index()
	case storer.VerbCheckNotExists:
		return !exists
	case storer.VerbLock:
		return live && (en.Session() == "" || en.Session() == st.Session())
	case storer.VerbUnlock:
		return en.Session() == st.Session()
	default:
		return exists
	}
}

func (fs *fakeStore) list() []storer.Entry {
	var entries []storer.Entry
	for _, en := range fs.entries {
		entries = append(entries, en)
	}
	return entries
}

func (fs *fakeStore) record(name string) *wire.HolderRecord {
	record := &wire.HolderRecord{}
	if err := proto.Unmarshal(fs.entries[Prefix+name].Value(), record); err != nil {
		panic(err)
	}
	return record
}
