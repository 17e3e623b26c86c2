package emulator_test

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lovagebank/emulator"
)

// user calls the entry instances of a fleet in turn, each request with an ID of its own, and keeps what came back.
type user struct {
	t       *testing.T
	entries []*emulator.Instance
	// organisation is whose requests the user's are; empty in a deployment without organisations.
	organisation string

	mu      sync.Mutex
	next    int
	answers map[string]int
	broken  []string
}

// ask sends one request and returns the status of its answer; 0 stands for a broken connection.
func (us *user) ask(path, adapter, key string) int {
	us.mu.Lock()
	number := us.next
	us.next++
	us.mu.Unlock()
	id := fmt.Sprintf("r%d", number)
	address := us.entries[number%len(us.entries)].Address()
	call := emulator.Call{Path: path, ID: id, Key: key, Adapter: adapter, Deadline: 5 * time.Second}
	status, text, err := call.Send(us.t.Context(), http.DefaultClient, address)
	if err != nil {
		us.t.Logf("request %s: %v", id, err)
	}
	us.mu.Lock()
	defer us.mu.Unlock()
	us.answers[id] = status
	if status == http.StatusOK && strings.HasPrefix(path, "/ask/") && strings.Count(text, "data: "+adapter+"\n\n") != 6 {
		us.broken = append(us.broken, id+" "+text)
	}
	return status
}

// many sends requests of all kinds for a while, and returns how many were served of how many.
func (us *user) many(count int) (served, asked int) {
	const adapters = 10
	return us.send(count, adapters)
}

// few uses no more adapters than one engine holds.
func (us *user) few(count int) (served, asked int) { return us.send(count, emulator.AdapterSlots) }

func (us *user) send(count, adapters int) (served, asked int) {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	for number := range count {
		paths := []string{"/ask/1", "/order/1", "/check/1"}
		adapter := ""
		if number%3 == 0 {
			adapter = fmt.Sprintf("a%d", number%adapters)
		}
		tasks.Go(func() {
			status := us.ask(paths[number%3], adapter, emulator.Key)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if status == http.StatusOK {
				served++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	tasks.Wait()
	return served, asked
}

func newFleet(t *testing.T) (*emulator.Fleet, *user) {
	t.Helper()
	return newFleetOf(t, emulator.Options{}, 3)
}

func newFleetOf(t *testing.T, op emulator.Options, instances int) (*emulator.Fleet, *user) {
	t.Helper()
	folder := t.TempDir()
	program := filepath.Join(folder, "lovagebank")
	if text, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	op.Program, op.Folder = program, folder
	fl, err := emulator.NewFleet(op)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fl.Close)
	us := &user{t: t, organisation: "sample", answers: make(map[string]int)}
	if op.Plain {
		us.organisation = ""
	}
	for number := range instances {
		en, err := fl.StartInstance(number)
		if err != nil {
			t.Fatal(err)
		}
		us.entries = append(us.entries, en)
	}
	us.warmUp()
	return fl, us
}

// warmUp waits until the targets have holders that load adapters.
func (us *user) warmUp() {
	us.t.Helper()
	for range 200 {
		if status := us.ask("/ask/1", "a1", emulator.Key); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	us.t.Fatal("no adapter could be loaded")
}

// check holds the targets' view against what must always hold.
func (us *user) check(fl *emulator.Fleet) {
	us.t.Helper()
	runs := make(map[string]int)
	for _, ru := range fl.Runs() {
		if strings.HasPrefix(ru.Path, "/order/") {
			runs[ru.ID]++
		}
		if ru.Organisation != us.organisation || ru.ReceivedKey {
			us.t.Errorf("request %s ran for %q, key seen %v", ru.ID, ru.Organisation, ru.ReceivedKey)
		}
	}
	us.mu.Lock()
	defer us.mu.Unlock()
	for id, count := range runs {
		if count > 1 {
			us.t.Errorf("request %s ran %d times", id, count)
		}
		if status := us.answers[id]; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			us.t.Errorf("request %s ran and was refused with %d", id, status)
		}
	}
	for _, text := range us.broken {
		us.t.Errorf("stream looks complete and is not: %s", text)
	}
	for number := range engines(fl) {
		if most := fl.Target(fmt.Sprintf("engine-%d", number)).MaxAdapters(); most > 4 {
			us.t.Errorf("engine %d was ordered to hold %d adapters", number, most)
		}
	}
}

// engines counts a fleet's engines.
func engines(fl *emulator.Fleet) int {
	count := 0
	for _, id := range fl.TargetIDs() {
		if strings.HasPrefix(id, "engine-") {
			count++
		}
	}
	return count
}

// Deployments that are smaller or plainer than the users' own start and serve.
func TestOrdinaryDeployments(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := map[string]struct {
		options   emulator.Options
		instances int
	}{
		"one machine, one zone, one target of each kind": {emulator.Options{Engines: 1, Applications: 1, Zones: 1}, 1},
		"no organisations, no keys, no load, no health":  {emulator.Options{Plain: true}, 2},
		"more instances than targets":                    {emulator.Options{Engines: 2, Applications: 1}, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl, us := newFleetOf(t, tt.options, tt.instances)
			if served, asked := us.few(90); float64(served) < 0.95*float64(asked) {
				t.Errorf("%d of %d served", served, asked)
			}
			us.check(fl)
		})
	}
}

// Each scenario reads like an operator's steps: what is done to the fleet while callers go on, and how many of them
// must be served at least.
func TestFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := map[string]struct {
		step   func(*testing.T, *emulator.Fleet, *user)
		served float64
	}{
		"calm": {func(*testing.T, *emulator.Fleet, *user) {}, 0.99},
		"a target crashes and its entry lapses later": {func(_ *testing.T, fl *emulator.Fleet, _ *user) {
			fl.Target("engine-1").Crash()
			time.Sleep(500 * time.Millisecond)
			fl.Store().Remove("servers/engine-1")
		}, 0.9},
		"the store is away": {func(_ *testing.T, fl *emulator.Fleet, _ *user) {
			fl.Store().SetDown(true)
			time.Sleep(1500 * time.Millisecond)
			fl.Store().SetDown(false)
		}, 0.95},
		"the store loses answers and its history": {func(_ *testing.T, fl *emulator.Fleet, _ *user) {
			fl.Store().LoseAnswers(3)
			fl.Store().Compact()
			time.Sleep(time.Second)
			fl.Store().LoseAnswers(0)
		}, 0.95},
		"an instance is stopped gracefully": {func(t *testing.T, _ *emulator.Fleet, us *user) {
			if err := us.entries[0].Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			if err := us.entries[0].Wait(); err != nil {
				t.Errorf("ended with %v", err)
			}
			if err := us.entries[0].Restart(); err != nil {
				t.Error(err)
			}
		}, 0.6},
		"an instance starts again while the store is away": {func(t *testing.T, fl *emulator.Fleet, us *user) {
			if err := us.entries[2].Signal(syscall.SIGKILL); err != nil {
				t.Error(err)
			}
			_ = us.entries[2].Wait()
			fl.Store().SetDown(true)
			if err := us.entries[2].Restart(); err != nil {
				t.Errorf("the instance learned nothing from its seeds: %v", err)
			}
			fl.Store().SetDown(false)
		}, 0.6},
		"an instance is killed and starts again": {func(t *testing.T, _ *emulator.Fleet, us *user) {
			if err := us.entries[1].Signal(syscall.SIGKILL); err != nil {
				t.Error(err)
			}
			_ = us.entries[1].Wait()
			if err := us.entries[1].Restart(); err != nil {
				t.Error(err)
			}
		}, 0.6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl, us := newFleet(t)
			var step sync.WaitGroup
			step.Go(func() {
				time.Sleep(300 * time.Millisecond)
				tt.step(t, fl, us)
			})
			served, asked := us.many(300)
			step.Wait()
			us.check(fl)
			if float64(served) < tt.served*float64(asked) {
				t.Errorf("%d of %d served", served, asked)
			}
			if after, asked := us.many(30); float64(after) < 0.95*float64(asked) {
				t.Errorf("%d of %d served afterwards", after, asked)
			}
			us.check(fl)
		})
	}
}

// A key that is taken away stops working everywhere, and a configuration never reverts.
func TestWithdrawnKey(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	fl, us := newFleet(t)
	if err := fl.Configure(2, "new-key"); err != nil {
		t.Fatal(err)
	}
	for tries := 0; ; tries++ {
		status := us.ask("/check/1", "", emulator.Key)
		if status == http.StatusUnauthorized {
			break
		}
		if tries > 300 {
			t.Fatal("the old key still works")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for range 9 {
		if status := us.ask("/check/1", "", emulator.Key); status != http.StatusUnauthorized {
			t.Errorf("status %d with the old key", status)
		}
		if status := us.ask("/check/1", "", "new-key"); status != http.StatusOK {
			t.Errorf("status %d with the new key", status)
		}
	}
}
