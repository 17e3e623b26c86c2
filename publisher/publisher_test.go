package publisher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/configurer"
	"lovagebank/storer"
	"lovagebank/wire"
)

// inForceWithin is the time in which a change must reach every instance that runs and can reach another.
const inForceWithin = 2 * time.Second

func rateOf(pu *Publisher) float64 {
	sn := pu.Current()
	if sn == nil {
		return 0
	}
	pl, _ := sn.PlanOf("castaneda")
	return pl.Rate()
}

func TestChangeReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		one, two, three := fl.add("1", true), fl.add("2", false), fl.add("3", false)
		defer fl.run(t, one, two, three)()
		if revision, err := three.Propose(t.Context(), change("c-1", 0, 10)); err != nil || revision != 1 {
			t.Fatalf("revision %d, %v", revision, err)
		}
		time.Sleep(inForceWithin)
		if rateOf(one) != 10 || rateOf(two) != 10 || rateOf(three) != 10 {
			t.Errorf("rates %v %v %v", rateOf(one), rateOf(two), rateOf(three))
		}
	})
}

func TestStartsFromPeersWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		one, late, alone := fl.add("1", true), fl.add("late", true), fl.add("alone", true)
		fl.cut["alone"] = true
		if _, err := one.Propose(t.Context(), change("c-1", 0, 10)); err != nil {
			t.Fatal(err)
		}
		fl.store.setAway(true)
		defer fl.run(t, one, late, alone)()
		time.Sleep(5 * time.Second)
		if late.Ready() != nil || rateOf(late) != 10 {
			t.Errorf("late: %v, rate %v", late.Ready(), rateOf(late))
		}
		if !errors.Is(alone.Ready(), ErrNotReady) || alone.Current() != nil {
			t.Errorf("alone guesses: %v", alone.Ready())
		}
		if _, err := late.Propose(t.Context(), change("c-2", 1, 20)); !errors.Is(err, ErrNotAccepted) {
			t.Errorf("proposal without a store: %v", err)
		}
	})
}

// TestStartsFromSlowStore expects an instance without peers to wait for a slow store in the end.
func TestStartsFromSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		if _, err := fl.add("1", true).Propose(t.Context(), change("c-1", 0, 10)); err != nil {
			t.Fatal(err)
		}
		fl.cut["1"] = true
		fl.store.slow = time.Second
		late := fl.add("late", false)
		defer fl.run(t, late)()
		time.Sleep(15 * time.Second)
		if late.Ready() != nil || rateOf(late) != 10 {
			t.Errorf("late: %v, rate %v", late.Ready(), rateOf(late))
		}
	})
}

func TestRacingEditsNameTheWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		results := make(chan error, 2)
		for _, name := range []string{"1", "2"} {
			pu := fl.add(name, true)
			go func() {
				_, err := pu.Propose(context.Background(), change("c-"+name, 0, 10))
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first
		}
		var cf *Conflict
		if first != nil || !errors.As(second, &cf) {
			t.Fatalf("%v and %v", first, second)
		}
		if cf.Revision() != 1 || cf.Winner() != "author-of-"+cf.ChangeID() {
			t.Errorf("conflict %v", cf)
		}
	})
}

func TestResendIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pu := newFleet(newFakeStore(1, 0)).add("1", true)
		if _, err := pu.Propose(t.Context(), change("c-1", 0, 10)); err != nil {
			t.Fatal(err)
		}
		if _, err := pu.Propose(t.Context(), change("c-1", 0, 11)); !errors.Is(err, ErrChangeReused) {
			t.Errorf("another change under the same id: %v", err)
		}
		for revision := uint64(1); revision < 2*mostMarks; revision++ {
			if _, err := pu.Propose(t.Context(), change(fmt.Sprintf("d-%d", revision), revision, int(revision)+100)); err != nil {
				t.Fatal(err)
			}
		}
		if revision, err := pu.Propose(t.Context(), change("c-1", 0, 10)); err != nil || revision != 1 {
			t.Errorf("resend long after: revision %d, %v", revision, err)
		}
	})
}

func TestBadTextIsRefusedWithItsLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pu := newFleet(newFakeStore(1, 0)).add("1", true)
		ch := change("c-1", 0, 10)
		ch.Texts[1].Text = strings.Replace(ch.Texts[1].Text, "burst", "bursts", 1)
		_, err := pu.Propose(t.Context(), ch)
		var faults configurer.Faults
		if !errors.As(err, &faults) || faults[0].Line() != 3 || faults[0].Document() != configurer.DocumentUses {
			t.Errorf("got %v", err)
		}
		if _, revision, err := pu.Latest(t.Context()); revision != 0 || err != nil {
			t.Errorf("revision %d, %v", revision, err)
		}
	})
}

// TestNeverReverts puts the store back to older states, and lets peers tell older ones.
func TestNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		one, two := fl.add("1", true), fl.add("2", false)
		var backup map[string]storer.Entry
		for revision := range uint64(3) {
			if _, err := one.Propose(t.Context(), change(fmt.Sprintf("c-%d", revision), revision, 10+int(revision))); err != nil {
				t.Fatal(err)
			}
			if revision == 0 {
				backup = make(map[string]storer.Entry)
				for key, en := range fl.store.entries {
					backup[key] = en
				}
			}
		}
		fl.store.entries = backup
		behind := fl.add("3", false)
		behind.ObserveRevision("1", 3)
		if _, err := behind.Propose(t.Context(), change("c-x", 1, 99)); !errors.Is(err, ErrStoreBehind) {
			t.Errorf("proposal to a store that is behind: %v", err)
		}
		defer fl.run(t, one, two, behind)()
		time.Sleep(inForceWithin)
		if rateOf(one) != 12 || rateOf(two) != 12 || rateOf(behind) != 12 {
			t.Errorf("rates %v %v %v", rateOf(one), rateOf(two), rateOf(behind))
		}
		if _, revision, err := behind.Latest(t.Context()); revision != 3 || err != nil {
			t.Errorf("store: revision %d, %v", revision, err)
		}
		if err := one.fetch(t.Context(), "3"); err != nil || one.Revision() != 3 {
			t.Errorf("revision %d, %v", one.Revision(), err)
		}
	})
}

// TestServeSendsPatches expects that one changed line in a long list costs a peer little.
func TestServeSendsPatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newFakeStore(1, 0))
		one, two := fl.add("1", true), fl.add("2", false)
		long := func(rate int) Change {
			ch := change(fmt.Sprintf("c-%d", rate), uint64(rate-1), rate)
			var adapters strings.Builder
			for at := range 2000 {
				fmt.Fprintf(&adapters, "[adapter ä-%d]\nbase = b\ncurrent = v1\n", at)
			}
			ch.Texts[1].Text += strings.ReplaceAll(adapters.String(), "ä", "a")
			return ch
		}
		if _, err := one.Propose(t.Context(), long(1)); err != nil {
			t.Fatal(err)
		}
		if err := two.fetch(t.Context(), "1"); err != nil {
			t.Fatal(err)
		}
		if _, err := one.Propose(t.Context(), long(2)); err != nil {
			t.Fatal(err)
		}
		rs, err := one.ServeFetch(&wire.FetchRequest{HaveRevision: 1})
		if err != nil || len(rs.Documents) != 0 || len(rs.Manifest.Patches) != 1 {
			t.Fatalf("answer %v, %v", rs, err)
		}
		if err := two.fetch(t.Context(), "1"); err != nil || rateOf(two) != 2 {
			t.Errorf("rate %v, %v", rateOf(two), err)
		}
	})
}

func TestMakePatch(t *testing.T) {
	tests := map[string]struct{ before, after string }{
		"same":             {"abc", "abc"},
		"inside":           {"abcdef", "abXYef"},
		"all":              {"abc", "xyz"},
		"from nothing":     {"", "abc"},
		"to nothing":       {"abc", ""},
		"repeated":         {"aaa", "aaaa"},
		"within character": {"rate ä", "rate ö"},
		"shared end byte":  {"ä", "Ĥ"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pt := makePatch(configurer.DocumentUses, 1, tc.before, tc.after)
			if strings.ToValidUTF8(pt.Inserted, "") != pt.Inserted {
				t.Errorf("inserted %q is not whole", pt.Inserted)
			}
			if got, err := applyPatch(tc.before, pt); err != nil || got != tc.after {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
