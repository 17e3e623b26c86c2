package emulator_test

import (
	"net/http"
	"testing"
	"time"

	"lovagebank/emulator"
)

// firstApplication is the target that leaves or rejects requests.
const firstApplication = "application-0"

// runsOfFirst returns the number of requests that the first application has run.
func runsOfFirst(fl *emulator.Fleet) int {
	count := 0
	for _, ru := range fl.Runs() {
		if ru.Target == firstApplication {
			count++
		}
	}
	return count
}

// A target announces in its responses that it is leaving while the store is unavailable. The instance that received such a
// response reports it to all other instances.
func TestLeavingIsToldToAllInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	fl, us := newFleetOf(t, emulator.Options{Applications: 2}, 3)
	fl.Store().SetDown(true)
	leaver := fl.Target(firstApplication)
	leaver.Leave()
	for before := runsOfFirst(fl); runsOfFirst(fl) == before; {
		us.ask("/order/1", "", emulator.Key)
	}
	// Peers receive the state with their next exchanges.
	const rounds, requests = 50, 30
	reached := requests
	for range rounds {
		before := runsOfFirst(fl)
		for range requests {
			if status := us.ask("/order/1", "", emulator.Key); status != http.StatusOK {
				t.Errorf("status %d while another target is available", status)
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

// A target that rejects requests with Retry-After receives at most one request from each instance.
func TestTurnedAwayOncePerInstance(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	const instances = 3
	fl, us := newFleetOf(t, emulator.Options{Applications: 2}, instances)
	away := fl.Target(firstApplication)
	away.TurnAway(time.Minute)
	for range 60 {
		if status := us.ask("/order/1", "", emulator.Key); status != http.StatusOK {
			t.Errorf("status %d while another target is available", status)
		}
	}
	if turned := away.TurnedAway(); turned > instances {
		t.Errorf("%d requests were rejected", turned)
	}
	us.check(fl)
}
