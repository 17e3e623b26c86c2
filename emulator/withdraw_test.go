package emulator_test

import (
	"net/http"
	"testing"
	"time"

	"lovagebank/emulator"
)

// firstApplication is the target that leaves, or turns requests away.
const firstApplication = "application-0"

// runsOfFirst counts the requests that the first application has run.
func runsOfFirst(fl *emulator.Fleet) int {
	count := 0
	for _, ru := range fl.Runs() {
		if ru.Target == firstApplication {
			count++
		}
	}
	return count
}

// A target says in its answers that it is leaving while the store is away: all instances hear of it by the one that got
// an answer.
func TestLeavingIsToldToAllInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	fl, us := newFleetOf(t, emulator.Options{Applications: 2}, 3)
	fl.Store().SetDown(true)
	leaver := fl.Target(firstApplication)
	leaver.AnnounceLeaving()
	for before := runsOfFirst(fl); runsOfFirst(fl) == before; {
		us.ask("/order/1", "", emulator.Key)
	}
	// Peers hear with their next exchanges.
	const rounds, requests = 50, 30
	reached := requests
	for range rounds {
		before := runsOfFirst(fl)
		for range requests {
			if status := us.ask("/order/1", "", emulator.Key); status != http.StatusOK {
				t.Errorf("status %d with another target there", status)
			}
		}
		if reached = runsOfFirst(fl) - before; reached == 0 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if reached > 0 {
		t.Errorf("%d of %d requests still reach the leaving target", reached, requests)
	}
	fl.Store().SetDown(false)
	us.check(fl)
}

// A target that asks to be left alone gets at most one request of each instance.
func TestTurnedAwayOncePerInstance(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	const instances = 3
	fl, us := newFleetOf(t, emulator.Options{Applications: 2}, instances)
	away := fl.Target(firstApplication)
	away.RejectRequests(time.Minute)
	for range 60 {
		if status := us.ask("/order/1", "", emulator.Key); status != http.StatusOK {
			t.Errorf("status %d with another target there", status)
		}
	}
	if turned := away.RejectedRequests(); turned > instances {
		t.Errorf("%d requests were turned away", turned)
	}
	us.check(fl)
}
