package publisher

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"lovagebank/configurer"
	"lovagebank/storer"
	"lovagebank/wire"
)

func TestAdoptIgnoresOlderRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pu := newFleet(newFakeStore(1, 0)).add("1", true)
		var versions []*version
		for revision := range uint64(2) {
			if _, err := pu.Propose(t.Context(), newChange(strings.Repeat("c", int(revision)+1), revision, 10+int(revision))); err != nil {
				t.Fatal(err)
			}
			versions = append(versions, pu.current.Load())
		}
		pu.adopt(versions[0])
		if pu.Revision() != 2 || rateOf(pu) != 11 {
			t.Errorf("revision %d, rate %v", pu.Revision(), rateOf(pu))
		}
	})
}

// TestProposeUploadsAgainWhenPartIsDeletedBeforeCommit deletes parts just before the transaction that refers to them.
// The proposer of an earlier change that replaced the same content may delete them at that time.
func TestProposeUploadsAgainWhenPartIsDeletedBeforeCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		pu := fl.add("1", true)
		transact, deleted := pu.options.Transact, false
		pu.options.Transact = func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error) {
			if steps[0].Key() == manifestKey && !deleted {
				deleted = true
				for _, en := range fl.store.list(partPrefix).Entries() {
					delete(fl.store.entries, en.Key())
				}
			}
			return transact(ctx, steps)
		}
		if _, err := pu.Propose(t.Context(), newChange("c-1", 0, 10)); err != nil {
			t.Fatal(err)
		}
		reader := fl.add("2", true)
		if _, revision, err := reader.Latest(t.Context()); revision != 1 || err != nil {
			t.Errorf("revision %d, %v", revision, err)
		}
	})
}

// TestReplacedPartsAreDeleted expects only one set of parts in the store after many changes.
func TestReplacedPartsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		pu := fl.add("1", true)
		for revision := range uint64(10) {
			// Every other change restores an earlier text.
			ch := newChange(strings.Repeat("c", int(revision)+1), revision, 10+int(revision%2))
			if _, err := pu.Propose(t.Context(), ch); err != nil {
				t.Fatal(err)
			}
		}
		if parts := len(fl.store.list(partPrefix).Entries()); parts != len(configurer.DocumentNames()) {
			t.Errorf("%d parts remain", parts)
		}
	})
}

func TestFetchRejectsPatchWithWrongHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		one, two := fl.add("1", true), fl.add("2", false)
		for revision := range uint64(2) {
			if _, err := one.Propose(t.Context(), newChange(strings.Repeat("c", int(revision)+1), revision, 10+int(revision))); err != nil {
				t.Fatal(err)
			}
			if revision == 0 {
				if err := two.fetch(t.Context(), "1"); err != nil {
					t.Fatal(err)
				}
			}
		}
		two.options.Fetch = func(_ context.Context, _ string, rq *wire.FetchRequest) (*wire.FetchResponse, error) {
			rs, err := one.ServeFetch(rq)
			rs.Manifest.Patches[0].Inserted = "9"
			return rs, err
		}
		if err := two.fetch(t.Context(), "1"); err == nil || rateOf(two) != 10 {
			t.Errorf("applied a wrong patch: %v, rate %v", err, rateOf(two))
		}
	})
}

// TestLateDeletionKeepsReusedParts delays the deletion of replaced parts until a later change has restored their
// content.
func TestLateDeletionKeepsReusedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		pu := fl.add("1", true)
		transact := pu.options.Transact
		var late [][]storer.Step
		pu.options.Transact = func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error) {
			if steps[0].Verb() == storer.VerbDeleteIfIndex {
				late = append(late, steps)
				return nil, storer.ErrUnknown
			}
			return transact(ctx, steps)
		}
		for revision := range uint64(3) {
			ch := newChange(strings.Repeat("c", int(revision)+1), revision, 10+int(revision%2))
			if _, err := pu.Propose(t.Context(), ch); err != nil {
				t.Fatal(err)
			}
		}
		for _, steps := range late {
			_, _ = fl.store.apply(steps)
		}
		if _, revision, err := fl.add("2", true).Latest(t.Context()); revision != 3 || err != nil {
			t.Errorf("revision %d, %v", revision, err)
		}
	})
}
