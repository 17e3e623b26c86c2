package emulator_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"lovagebank/emulator"
)

// rewriteDelay is the time from a store rollback until the writes of the operator and the targets are repeated.
const rewriteDelay = 1500 * time.Millisecond

// maxConfigWait is the maximum time until a configuration takes effect.
const maxConfigWait = 5 * time.Second

// awaitStatus sends requests with a key until the response has the given status, while a configuration takes effect.
func (us *user) awaitStatus(key string, status int) {
	us.t.Helper()
	for end := time.Now().Add(maxConfigWait); ; time.Sleep(20 * time.Millisecond) {
		got := us.ask("/check/1", "", key)
		if got == status {
			return
		}
		if time.Now().After(end) {
			us.t.Fatalf("key %q: status %d, want %d", key, got, status)
		}
	}
}

// The store rolls back to a copy that is older than the current configuration. The previous configuration and its withdrawn
// key do not come back, and the next configuration takes effect.
func TestConfigurationSurvivesStoreRollback(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	fl, us := newFleet(t)
	copied := fl.Store().Snapshot()
	if err := fl.Configure(2, "new-key"); err != nil {
		t.Fatal(err)
	}
	for range us.entries {
		us.awaitStatus("new-key", http.StatusOK)
		us.awaitStatus(emulator.Key, http.StatusUnauthorized)
	}
	time.Sleep(500 * time.Millisecond)
	fl.Store().RollBack(copied, rewriteDelay)
	for range 100 {
		if status := us.ask("/check/1", "", emulator.Key); status != http.StatusUnauthorized {
			t.Fatalf("status %d with the withdrawn key", status)
		}
		if status := us.ask("/check/1", "", "new-key"); status != http.StatusOK {
			t.Fatalf("status %d with the new key", status)
		}
		time.Sleep(25 * time.Millisecond)
	}
	if err := fl.Configure(3, "third-key"); err != nil {
		t.Fatal(err)
	}
	for range us.entries {
		us.awaitStatus("third-key", http.StatusOK)
		us.awaitStatus("new-key", http.StatusUnauthorized)
	}
}

// The store rolls back three times while callers continue to send requests. A target that was removed after the copy was
// taken is not used again, no unsafe request runs twice, and at least 95 % of the requests are served.
func TestStoreRollbacksUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	fl, us := newFleet(t)
	var steps sync.WaitGroup
	steps.Go(func() {
		copied := fl.Store().Snapshot()
		fl.Store().Remove("servers/engine-1")
		time.Sleep(time.Second)
		for range 3 {
			fl.Store().RollBack(copied, rewriteDelay)
			time.Sleep(2 * time.Second)
		}
	})
	time.Sleep(900 * time.Millisecond)
	before := len(fl.Runs())
	served, sent := us.sendFewAdapters(500)
	steps.Wait()
	us.checkInvariants(fl)
	if float64(served) < 0.95*float64(sent) {
		t.Errorf("%d of %d served", served, sent)
	}
	for _, ru := range fl.Runs()[before:] {
		if ru.Target == "engine-1" {
			t.Errorf("request %s ran at a removed target", ru.ID)
		}
	}
	if after, sent := us.sendFewAdapters(60); float64(after) < 0.95*float64(sent) {
		t.Errorf("%d of %d served afterwards", after, sent)
	}
}
