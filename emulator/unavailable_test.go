package emulator_test

import (
	"net/http"
	"testing"
	"time"

	"lovagebank/emulator"
)

// firstApplication is the target that leaves or rejects requests.
const firstApplication = "application-0"

// firstApplicationRuns returns the number of requests that the first application has run.
func firstApplicationRuns(fl *emulator.Fleet) int {
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
func TestLeavingTargetIsReportedToAllInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	fl, us := newFleetWith(t, emulator.Options{Applications: 2}, 3)
	fl.Store().SetDown(true)
	leaving := fl.Target(firstApplication)
	leaving.AnnounceLeaving()
	for before := firstApplicationRuns(fl); firstApplicationRuns(fl) == before; {
		us.ask("/order/1", "", emulator.Key)
	}
	// Peers receive the state with their next exchanges.
	const rounds, requests = 50, 30
	reached := requests
	for range rounds {
		before := firstApplicationRuns(fl)
		for range requests {
			if status := us.ask("/order/1", "", emulator.Key); status != http.StatusOK {
				t.Errorf("status %d while another target is available", status)
			}
		}
		if reached = firstApplicationRuns(fl) - before; reached == 0 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if reached > 0 {
		t.Errorf("%d of %d requests still reach the leaving target", reached, requests)
	}
	fl.Store().SetDown(false)
	us.checkInvariants(fl)
}

// A target that rejects requests with Retry-After receives at most one request from each instance.
func TestRejectingTargetGetsOneRequestPerInstance(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	const instances = 3
	fl, us := newFleetWith(t, emulator.Options{Applications: 2}, instances)
	rejecting := fl.Target(firstApplication)
	rejecting.RejectRequests(time.Minute)
	for range 60 {
		if status := us.ask("/order/1", "", emulator.Key); status != http.StatusOK {
			t.Errorf("status %d while another target is available", status)
		}
	}
	if rejected := rejecting.RejectedRequests(); rejected > instances {
		t.Errorf("%d requests were rejected", rejected)
	}
	us.checkInvariants(fl)
}
