package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// leaver names a target of a fleet, whose targets all started at the same time.
func leaver(number int) balancer.Leaver { return balancer.Leaver{Target: id(number)} }

func chosen(t *testing.T, ba *balancer.Balancer) string {
	t.Helper()
	ch, ok := ba.Choose(need(7))
	if !ok {
		return ""
	}
	return ch.Target().ID()
}

func expectChosen(t *testing.T, ba *balancer.Balancer, want, when string) {
	t.Helper()
	if got := chosen(t, ba); got != want {
		t.Errorf("%s: got target %q, want %q", when, got, want)
	}
}

// Pattern: a target says in its answers that it is leaving, seconds before its entry does.
func TestLeavingTarget(t *testing.T) {
	ba := fleet(2)
	hear(ba, 0, 0, 7)
	hear(ba, 1, 9, 7)
	if !ba.MarkLeaving(leaver(0)) || ba.MarkLeaving(leaver(0)) {
		t.Error("the word is not new exactly once")
	}
	expectChosen(t, ba, id(1), "after the answer")
	hear(ba, 0, 0, 7)
	expectChosen(t, ba, id(1), "after its holder's word")
	if leavers := ba.Leavers(); len(leavers) != 1 || leavers[0] != leaver(0) {
		t.Errorf("leavers %v", leavers)
	}
	ba.MarkLeaving(leaver(1))
	expectChosen(t, ba, "", "with all targets leaving")
}

func TestLeavingEndsWithTheStart(t *testing.T) {
	ba := fleet(1)
	hear(ba, 0, 0, 7)
	ba.MarkLeaving(leaver(0))
	restarted := time.UnixMilli(5)
	ba.SetTarget(balancer.NewTarget(balancer.TargetOptions{
		ID: id(0), Service: service, Address: "x:1", Slots: slots, Started: restarted,
	}))
	hear(ba, 0, 0, 7)
	expectChosen(t, ba, id(0), "after its next start")
	if ba.MarkLeaving(leaver(0)) {
		t.Error("word of an earlier start is taken for the next one")
	}
	expectChosen(t, ba, id(0), "after late word of the start before")
}

func TestDrainingTargetsAreNotToldAsLeavers(t *testing.T) {
	ba := fleet(1)
	ba.MarkLeaving(leaver(0))
	ba.SetTarget(balancer.NewTarget(balancer.TargetOptions{
		ID: id(0), Service: service, Address: "x:1", Slots: slots, Draining: true,
	}))
	if leavers := ba.Leavers(); len(leavers) != 0 {
		t.Errorf("leavers %v", leavers)
	}
}

// Pattern: targets that turn requests away ask to be left alone; until then they get nothing, even if all others fail.
func TestBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ba := fleet(2)
		hear(ba, 0, 0, 7)
		hear(ba, 1, 9, 7)
		ba.BackOff(id(0), 2*time.Second)
		ba.BackOff(id(0), time.Second)
		expectChosen(t, ba, id(1), "while the first backs off")
		ba.BackOff(id(1), 3*time.Second)
		expectChosen(t, ba, "", "while both back off")
		time.Sleep(1500 * time.Millisecond)
		if left := ba.BackOffRemaining(service); left != 500*time.Millisecond {
			t.Errorf("%s left", left)
		}
		ba.Answered(id(0), false)
		ba.ConnectionFailed(id(1), true)
		expectChosen(t, ba, "", "after an answer of a request sent before")
		time.Sleep(500 * time.Millisecond)
		hear(ba, 0, 0, 7)
		expectChosen(t, ba, id(0), "after the time asked for")
		time.Sleep(time.Second)
		if left := ba.BackOffRemaining(service); left != 0 {
			t.Errorf("%s left after all", left)
		}
	})
}
