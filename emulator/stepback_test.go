package emulator_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"lovagebank/emulator"
)

// writtenAgain is how long after the store's return the operator and the targets have written theirs again.
const writtenAgain = 1500 * time.Millisecond

// inForce is how long a configuration may take to come into force.
const inForce = 5 * time.Second

// until asks until a key is answered with a status, while a configuration comes into force.
func (us *user) until(key string, status int) {
	us.t.Helper()
	for end := time.Now().Add(inForce); ; time.Sleep(20 * time.Millisecond) {
		got := us.ask("/check/1", "", key)
		if got == status {
			return
		}
		if time.Now().After(end) {
			us.t.Fatalf("key %q is answered with %d, want %d", key, got, status)
		}
	}
}

// The store comes back from a copy that is older than the configuration in force: the one before does not return with it,
// nor does the key that was taken away, and the next one comes into force.
func TestConfigurationOutlivesTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	fl, us := newFleet(t)
	copied := fl.Store().Snapshot()
	if err := fl.Configure(2, "new-key"); err != nil {
		t.Fatal(err)
	}
	for range us.entries {
		us.until("new-key", http.StatusOK)
		us.until(emulator.Key, http.StatusUnauthorized)
	}
	time.Sleep(500 * time.Millisecond)
	fl.Store().RollBack(copied, writtenAgain)
	for range 100 {
		if status := us.ask("/check/1", "", emulator.Key); status != http.StatusUnauthorized {
			t.Fatalf("the key that was taken away is answered with %d", status)
		}
		if status := us.ask("/check/1", "", "new-key"); status != http.StatusOK {
			t.Fatalf("the new key is answered with %d", status)
		}
		time.Sleep(25 * time.Millisecond)
	}
	if err := fl.Configure(3, "third-key"); err != nil {
		t.Fatal(err)
	}
	for range us.entries {
		us.until("third-key", http.StatusOK)
		us.until("new-key", http.StatusUnauthorized)
	}
}

// Three steps back while callers go on: a target that has left is not used again, one that came since is, no order runs
// twice, and almost all are served.
func TestStepsBackUnderLoad(t *testing.T) {
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
			fl.Store().RollBack(copied, writtenAgain)
			time.Sleep(2 * time.Second)
		}
	})
	time.Sleep(900 * time.Millisecond)
	before := len(fl.Runs())
	served, asked := us.few(500)
	steps.Wait()
	us.check(fl)
	if float64(served) < 0.95*float64(asked) {
		t.Errorf("%d of %d served", served, asked)
	}
	for _, ru := range fl.Runs()[before:] {
		if ru.Target == "engine-1" {
			t.Errorf("request %s ran at a target that has left", ru.ID)
		}
	}
	if after, asked := us.few(60); float64(after) < 0.95*float64(asked) {
		t.Errorf("%d of %d served afterwards", after, asked)
	}
}
