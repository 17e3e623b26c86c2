package gossiper

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	live    = wire.MemberState_MEMBER_STATE_LIVE
	leaving = wire.MemberState_MEMBER_STATE_LEAVING
	// knownWithin is the time in which a leaving instance or target must be known to all.
	knownWithin = 3 * time.Second
	joinTime    = 20 * time.Second
)

// inFleet runs a test on two failure domains of four instances that know each other.
func inFleet(t *testing.T, run func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet()
		fl.start(4)
		time.Sleep(joinTime)
		fl.expect(t, "a0-1", live)
		fl.expect(t, "b3-1", live)
		run(t, fl)
		fl.stopAll()
	})
}

func TestLeavingIsKnown(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		if err := fl.members["a1:1"].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(knownWithin)
		fl.expect(t, "a1-1", leaving)
		if fl.members["a1:1"].HasDuty("any", 10) {
			t.Error("a leaving instance takes duties")
		}
	})
}

func TestSilentMemberIsFound(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		fl.set(fl.silent, "a1:1", true)
		time.Sleep(10 * time.Second)
		for _, address := range []string{"a0:1", "a2:1", "b0:1", "b3:1"} {
			if got := fl.stateOf(address, "a1-1"); got != 0 {
				t.Errorf("%s counts on a silent member, state %v", address, got)
			}
		}
		fl.set(fl.silent, "a1:1", false)
		time.Sleep(joinTime)
		fl.expect(t, "a1-1", live)
	})
}

func TestRestartAtTheSameAddress(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		fl.stop("a1:1")
		fl.add("a1-2", "a", "a1:1")
		time.Sleep(joinTime)
		fl.expect(t, "a1-1", 0)
		fl.expect(t, "a1-2", live)
	})
}

// TestRestartWithTheSameID is an instance whose settings name it.
func TestRestartWithTheSameID(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		fl.stop("a1:1")
		time.Sleep(10 * time.Second)
		fl.expect(t, "a1-1", 0)
		fl.add("a1-1", "a", "a1:1")
		time.Sleep(joinTime)
		fl.expect(t, "a1-1", live)
	})
}

func TestCutDomainsMeetAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		fl.set(fl.cut, "b", true)
		time.Sleep(time.Minute)
		if got := fl.stateOf("a0:1", "b2-1"); got != 0 {
			t.Errorf("a0 counts on b2 across a cut, state %v", got)
		}
		if got := fl.stateOf("b0:1", "b2-1"); got != live {
			t.Errorf("b0 sees b2 as %v within the cut domain", got)
		}
		fl.set(fl.cut, "b", false)
		time.Sleep(time.Minute)
		fl.expect(t, "b2-1", live)
		fl.expect(t, "a2-1", live)
	})
}

func TestListedLeavingInstance(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		list := fl.list[InstanceService]
		meta := map[string]string{"failure-domain": "a", "state": "leaving"}
		list = append(list[:1:1], append([]storer.Registration{storer.NewRegistration("a1", "a1", 1, meta)}, list[2:]...)...)
		fl.setList(InstanceService, list...)
		time.Sleep(10 * time.Second)
		fl.expect(t, "a1-1", leaving)
	})
}

func TestPollersAreFew(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		chosen := map[string]int{}
		for _, gs := range fl.members {
			if gs.HasDuty("configuration", 2) {
				chosen[gs.options.Self.FailureDomain]++
			}
		}
		if chosen["a"] != 2 || chosen["b"] != 2 {
			t.Errorf("chosen %v", chosen)
		}
	})
}

func engine(id, state string) storer.Registration {
	return storer.NewRegistration(id, "127.0.0.9", 9000, map[string]string{
		"failure-domain": "a", "base": "base-1", "slots": "4", "batch": "8", "checks-fencing": "true", "state": state,
	})
}

// expectTarget checks how every instance sees a target; seen is false for one that is gone.
func (fl *fleet) expectTarget(t *testing.T, id string, seen, isLeaving bool) {
	t.Helper()
	for address, gs := range fl.members {
		var found *wire.Target
		for _, ta := range gs.Targets() {
			if ta.Id == id {
				found = ta
			}
		}
		if (found != nil) != seen || seen && (found.Leaving != isLeaving || found.Slots != 4 || !found.ChecksFencing) {
			t.Errorf("%s sees %s as %v", address, id, found)
		}
	}
}

func TestTargets(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		fl.setList(KindEngine, engine("e-1", "live"), engine("e-2", "live"))
		time.Sleep(joinTime)
		fl.expectTarget(t, "e-1", true, false)
		// A target's own word is known soon, and holds against the list, which lags.
		if err := fl.members["a0:1"].ObserveTarget(t.Context(), "e-1", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(knownWithin)
		fl.expectTarget(t, "e-1", true, true)
		time.Sleep(time.Minute)
		fl.expectTarget(t, "e-1", true, true)
		// It may take its word back.
		if err := fl.members["b0:1"].ObserveTarget(t.Context(), "e-1", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(knownWithin)
		fl.expectTarget(t, "e-1", true, false)
		// The list is read by someone every half second.
		fl.setList(KindEngine, engine("e-1", "live"), engine("e-2", "leaving"))
		time.Sleep(10 * time.Second)
		fl.expectTarget(t, "e-2", true, true)
		fl.setList(KindEngine, engine("e-1", "live"))
		time.Sleep(time.Minute)
		fl.expectTarget(t, "e-2", false, false)
	})
}

func TestRevisionAndHintsSpread(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		for _, me := range fl.members["a0:1"].Members() {
			if me.FailureDomain == "a" && me.ConfigurationRevision != 7 {
				t.Errorf("%s has revision %d", me.Id, me.ConfigurationRevision)
			}
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if len(fl.hints) != 8 {
			t.Errorf("told hints: %v", fl.hints)
		}
	})
}

// TestPausedMemberDoesNoHarm silences a member long enough to be counted dead, and lets it go on with what it knew.
func TestPausedMemberDoesNoHarm(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		fl.set(fl.silent, "b1:1", true)
		if err := fl.members["a1:1"].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		fl.set(fl.silent, "b1:1", false)
		time.Sleep(joinTime)
		fl.expect(t, "a1-1", leaving)
		fl.expect(t, "a0-1", live)
		fl.expect(t, "b1-1", live)
	})
}
