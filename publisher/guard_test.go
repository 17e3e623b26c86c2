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

func TestAdoptRefusesOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pu := newFleet(newFakeStore(1, 0)).add("1", true)
		var versions []*version
		for revision := range uint64(2) {
			if _, err := pu.Propose(t.Context(), change(strings.Repeat("c", int(revision)+1), revision, 10+int(revision))); err != nil {
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

// TestPartDeletedBeforeTheManifest deletes a part, as the proposer of a change that replaced the same content earlier
// may do, just before the transaction that refers to it.
func TestPartDeletedBeforeTheManifest(t *testing.T) {
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
		if _, err := pu.Propose(t.Context(), change("c-1", 0, 10)); err != nil {
			t.Fatal(err)
		}
		reader := fl.add("2", true)
		if _, revision, err := reader.Latest(t.Context()); revision != 1 || err != nil {
			t.Errorf("revision %d, %v", revision, err)
		}
	})
}

// TestReplacedPartsAreDeleted expects one set of parts to stay after many changes.
func TestReplacedPartsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		pu := fl.add("1", true)
		for revision := range uint64(10) {
			// Every other change brings an earlier text back.
			ch := change(strings.Repeat("c", int(revision)+1), revision, 10+int(revision%2))
			if _, err := pu.Propose(t.Context(), ch); err != nil {
				t.Fatal(err)
			}
		}
		if parts := len(fl.store.list(partPrefix).Entries()); parts != len(configurer.DocumentNames()) {
			t.Errorf("%d parts stay", parts)
		}
	})
}

func TestWrongPatchIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		one, two := fl.add("1", true), fl.add("2", false)
		for revision := range uint64(2) {
			if _, err := one.Propose(t.Context(), change(strings.Repeat("c", int(revision)+1), revision, 10+int(revision))); err != nil {
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
			t.Errorf("took a wrong patch: %v, rate %v", err, rateOf(two))
		}
	})
}

// TestLateDeletionSparesReusedParts lets a deletion of replaced parts arrive after a change brought their content back.
func TestLateDeletionSparesReusedParts(t *testing.T) {
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
			ch := change(strings.Repeat("c", int(revision)+1), revision, 10+int(revision%2))
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
