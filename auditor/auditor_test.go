package auditor

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

// fakeStore holds values by key; an index is the number of the write.
type fakeStore struct {
	entries map[string]storer.Entry
	writes  uint64
}

func (fs *fakeStore) get(_ context.Context, key string) (storer.Entry, error) {
	en, ok := fs.entries[key]
	if !ok {
		return en, storer.ErrNotFound
	}
	return en, nil
}

func (fs *fakeStore) transact(_ context.Context, steps []storer.Step) ([]storer.Entry, error) {
	for at, st := range steps {
		if fs.entries[st.Key()].Index() != st.Index() {
			return nil, storer.NewConflict(at)
		}
	}
	for _, st := range steps {
		fs.writes++
		if st.Verb() == storer.VerbDeleteIfIndex {
			delete(fs.entries, st.Key())
			continue
		}
		fs.entries[st.Key()] = storer.NewEntry(st.Key(), st.Value(), fs.writes, "")
	}
	return nil, nil
}

// newTrail makes a trail of changes, one for each step revisions.
func newTrail(t *testing.T, changes, step uint64) (*Auditor, *fakeStore) {
	t.Helper()
	fs := &fakeStore{entries: make(map[string]storer.Entry)}
	au := New(Options{Get: fs.get, Transact: fs.transact})
	for revision := step; revision <= changes*step; revision += step {
		en := &wire.AuditEntry{
			RevisionBefore: revision - 1, RevisionAfter: revision, AtMs: int64(revision) * 1000,
			Author: "maria", ChangeId: fmt.Sprintf("c-%d", revision), Kind: "plan", Summary: "plan dealer changed",
		}
		if revision%2 == 0 {
			en.Organisations = []string{"castaneda"}
		}
		st, err := au.AppendStep(context.Background(), en)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fs.transact(context.Background(), []storer.Step{st}); err != nil {
			t.Fatal(err)
		}
		if err := au.Sweep(context.Background(), revision); err != nil {
			t.Fatal(err)
		}
	}
	return au, fs
}

func TestList(t *testing.T) {
	au, _ := newTrail(t, 150, 1)
	tests := map[string]struct {
		filter   Filter
		first    uint64
		count    int
		complete bool
	}{
		"newest":       {Filter{Limit: 10}, 141, 10, false},
		"all":          {Filter{Limit: 1000}, 1, 150, true},
		"after":        {Filter{After: 126}, 127, 24, true},
		"organisation": {Filter{Organisation: "castaneda", Limit: 3}, 146, 3, false},
		"time":         {Filter{Since: time.UnixMilli(5000), Until: time.UnixMilli(7000)}, 5, 2, true},
		"change":       {Filter{ChangeID: "c-70"}, 70, 1, true},
		"kind":         {Filter{Kind: "key"}, 0, 0, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pa, err := au.List(context.Background(), 150, tc.filter)
			if err != nil || len(pa.Entries()) != tc.count || pa.Complete() != tc.complete {
				t.Fatalf("%d entries, complete %v, %v", len(pa.Entries()), pa.Complete(), err)
			}
			if tc.count > 0 && pa.Entries()[0].RevisionAfter != tc.first {
				t.Errorf("first is revision %d", pa.Entries()[0].RevisionAfter)
			}
		})
	}
}

func TestRetention(t *testing.T) {
	_, fs := newTrail(t, RetainedSegments+5, EntriesPerSegment)
	if len(fs.entries) > RetainedSegments+1 {
		t.Errorf("%d segments stay", len(fs.entries))
	}
	if _, ok := fs.entries[segmentKey(0)]; ok {
		t.Error("the oldest segment stays")
	}
}

func TestEntryIsBounded(t *testing.T) {
	en := &wire.AuditEntry{Summary: strings.Repeat("ä", 5000), Organisations: make([]string, 100)}
	Truncate(en)
	if len(en.Summary) > MaxSummaryBytes || len(en.Organisations) != 0 || !en.AllOrganisations {
		t.Errorf("%d bytes, %d organisations", len(en.Summary), len(en.Organisations))
	}
}
