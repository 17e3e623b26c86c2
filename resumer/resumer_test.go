package resumer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/platform"
	"lovagebank/resumer"
)

// fakeStore is a store that all instances share.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]platform.Item
	revision int64
	era      int64
	// down makes all calls fail; loses makes writes take effect without an answer, some of them late.
	down     bool
	loses    bool
	failedAt time.Time
	writes   int
}

func newFakeStore() *fakeStore { return &fakeStore{items: make(map[string]platform.Item)} }

func (fs *fakeStore) fail() error {
	fs.failedAt = time.Now()
	return platform.ErrUnknown
}

func (fs *fakeStore) get(_ context.Context, key string) (platform.Item, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return platform.Item{}, fs.fail()
	}
	it, ok := fs.items[key]
	if !ok {
		return platform.Item{}, platform.ErrNotFound
	}
	return it, nil
}

func (fs *fakeStore) list(_ context.Context, prefix string) (platform.Page, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return platform.Page{}, fs.fail()
	}
	var pa platform.Page
	for _, key := range slices.Sorted(maps.Keys(fs.items)) {
		if strings.HasPrefix(key, prefix) {
			pa.Items = append(pa.Items, fs.items[key])
		}
	}
	return pa, nil
}

func (fs *fakeStore) transact(_ context.Context, tx platform.Transaction) (int64, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.writes++
	if fs.down {
		return 0, fs.fail()
	}
	if fs.loses && fs.writes%3 == 0 {
		delay := time.Duration(fs.writes%7) * 300 * time.Millisecond
		time.AfterFunc(delay, func() {
			fs.mu.Lock()
			defer fs.mu.Unlock()
			_, _ = fs.apply(tx)
		})
		return 0, fs.fail()
	}
	return fs.apply(tx)
}

func (fs *fakeStore) apply(tx platform.Transaction) (int64, error) {
	for _, wr := range tx.Writes {
		if len(wr.Key) > platform.MaxKeyBytes {
			return 0, platform.ErrRefused
		}
	}
	for _, ex := range tx.Expected {
		if fs.items[ex.Key].Revision != ex.Revision {
			return 0, platform.ErrConflict
		}
	}
	fs.revision++
	for _, wr := range tx.Writes {
		fs.items[wr.Key] = platform.Item{Key: wr.Key, Value: wr.Value, Revision: fs.revision}
	}
	for _, key := range tx.Deletes {
		delete(fs.items, key)
	}
	return fs.revision, nil
}

// currentTime is how long after it has received changes a member's copy counts as current.
const currentTime = 1900 * time.Millisecond

// member is an instance.
type member struct {
	resumer *resumer.Resumer
	stop    context.CancelFunc
	// copied holds the revisions of the keys that it has received, and copiedAt is when it last received changes.
	copied   map[string]int64
	copiedAt time.Time
	// listed is true once it has received all keys.
	listed bool
}

// prefix is that of the first route, and requestPath a path of a request that it serves.
const (
	host        = "h.example"
	prefix      = "/r/"
	requestPath = "/r/1"
)

// fleet is a number of instances before targets of several versions, at one service or several.
type fleet struct {
	store   *fakeStore
	members []*member
	// software is the number of targets of each service of the first route, by version, and timeout the route's timeout.
	software software
	timeout  time.Duration
	// without is true while the first route is removed, and more holds other routes, by prefix.
	without bool
	more    map[string]software
	random  *rand.Rand
}

// software is the number of targets of a route, by service and version.
type software map[string]map[string]int

func newFleet(seed uint64, members int, versions map[string]int) *fleet {
	fl := &fleet{
		store: newFakeStore(), software: software{"s": versions}, random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // a seed must reproduce its run
	}
	for range members {
		fl.members = append(fl.members, &member{})
	}
	for at := range fl.members {
		fl.start(at)
	}
	return fl
}

// start starts a new process of an instance, which remembers nothing.
func (fl *fleet) start(at int) {
	if fl.members[at].stop != nil {
		fl.members[at].stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	me := &member{stop: stop, copied: make(map[string]int64)}
	me.resumer = resumer.New(resumer.Options{
		Get: fl.store.get, List: fl.store.list, Transact: fl.store.transact,
		Era: func() int64 {
			fl.store.mu.Lock()
			defer fl.store.mu.Unlock()
			return fl.store.era
		},
		Routes: func() []resumer.Route {
			fl.store.mu.Lock()
			defer fl.store.mu.Unlock()
			return fl.routes()
		},
		UpToDate: func() bool {
			fl.store.mu.Lock()
			defer fl.store.mu.Unlock()
			return !fl.store.down && me.listed
		},
		Current: func() bool {
			fl.store.mu.Lock()
			defer fl.store.mu.Unlock()
			return time.Since(me.copiedAt) < currentTime
		},
		StoreFailed: func(within time.Duration) bool {
			fl.store.mu.Lock()
			defer fl.store.mu.Unlock()
			return time.Since(fl.store.failedAt) < within
		},
		Random: func() float64 { return 0.5 },
		Logger: log.New(io.Discard),
	})
	fl.members[at] = me
	fl.copy(me)
	fl.change(func() { me.listed = true })
	go me.resumer.Run(ctx)
}

// routes returns the routes; the lock of the store is held.
func (fl *fleet) routes() []resumer.Route {
	var routes []resumer.Route
	if !fl.without {
		routes = append(routes, fl.route(prefix, fl.software))
	}
	for path, more := range fl.more {
		routes = append(routes, fl.route(path, more))
	}
	return routes
}

func (fl *fleet) route(path string, sw software) resumer.Route {
	targets := make(map[resumer.Origin]int)
	for service, software := range sw {
		for version, count := range software {
			targets[resumer.Origin{Service: service, Software: version}] = count
		}
	}
	return resumer.Route{
		Prefix: resumer.NewPlace(host, path), Name: path, Timeout: fl.timeout, Targets: targets,
	}
}

// copy tells an instance of the keys that have changed.
func (fl *fleet) copy(me *member) {
	for _, it := range fl.changedItems(me) {
		me.resumer.Apply(it)
	}
}

// changedItems returns the keys that have changed since an instance last received them.
func (fl *fleet) changedItems(me *member) []platform.Item {
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	if fl.store.down {
		return nil
	}
	me.copiedAt = time.Now()
	var changed []platform.Item
	for key, it := range fl.store.items {
		if me.copied[key] != it.Revision {
			me.copied[key] = it.Revision
			changed = append(changed, it)
		}
	}
	for key := range me.copied {
		if _, ok := fl.store.items[key]; !ok {
			delete(me.copied, key)
			changed = append(changed, platform.Item{Key: key, Deleted: true})
		}
	}
	return changed
}

// change changes the store or the targets.
func (fl *fleet) change(what func()) {
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	what()
}

// wait lets time pass.
func (fl *fleet) wait(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, me := range fl.members {
			// Copies of the store's keys lag, by two seconds on average.
			if fl.random.IntN(20) == 0 {
				fl.copy(me)
			}
		}
	}
}

func (fl *fleet) close() {
	for _, me := range fl.members {
		me.stop()
		<-me.resumer.Done()
	}
}

// begin begins a stream at an instance and reports whether its first event may be passed on.
func (fl *fleet) begin(at int, id, software string) bool {
	return fl.beginAt(at, id, resumer.Origin{Service: "s", Software: software})
}

func (fl *fleet) beginAt(at int, id string, og resumer.Origin) bool {
	return fl.members[at].resumer.Begin(id, resumer.NewPlace(host, requestPath), og).Wait(context.Background()) == nil
}

// Guards against the incident ORDER: a stream that is taken up again is sent to a version of the software that did not
// begin it, or to none although its version is certain.
func TestFindsOriginsOfStreams(t *testing.T) {
	tests := map[string]struct {
		// play begins the stream "x", as far as it does, and lets things happen; the lookup is made at the first instance.
		play func(*fleet)
		id   string
		// service and software are the stream's origin; empty if it has to be unknown.
		service, software string
	}{
		"at the instance that began it": {func(fl *fleet) { fl.begin(0, "x", "v2") }, "x", "s", "v2"},
		"at another instance":           {func(fl *fleet) { fl.begin(1, "x", "v2") }, "x", "s", "v2"},
		"at the base version":           {func(fl *fleet) { fl.begin(1, "x", "v1") }, "x", "s", "v1"},
		"all instances were lost": {func(fl *fleet) {
			fl.begin(1, "x", "v2")
			fl.start(0)
			fl.start(1)
		}, "x", "s", "v2"},
		"all instances were lost, base version": {func(fl *fleet) {
			fl.begin(1, "x", "v1")
			fl.start(0)
			fl.start(1)
		}, "x", "s", "v1"},
		"the base version has just left": {func(fl *fleet) {
			fl.begin(1, "x", "v1")
			fl.change(func() { delete(fl.software["s"], "v1") })
			fl.start(0)
			fl.wait(10 * time.Second)
		}, "x", "s", "v1"},
		"the base version has left long ago": {func(fl *fleet) {
			fl.change(func() { delete(fl.software["s"], "v1") })
			fl.wait(40 * time.Second)
			fl.begin(1, "x", "v2")
		}, "x", "s", "v2"},
		"the store is away": {func(fl *fleet) {
			fl.begin(1, "x", "v2")
			fl.change(func() { fl.store.down = true })
		}, "x", "", ""},
		"the store is away, at the instance that began it": {func(fl *fleet) {
			fl.begin(0, "x", "v2")
			fl.change(func() { fl.store.down = true })
		}, "x", "s", "v2"},
		"the store is away, one version has served for long": {func(fl *fleet) {
			fl.change(func() { delete(fl.software["s"], "v2") })
			fl.wait(40 * time.Second)
			fl.begin(1, "x", "v1")
			fl.change(func() { fl.store.down = true })
		}, "x", "s", "v1"},
		"the store is away, one version, just started": {func(fl *fleet) {
			fl.change(func() { delete(fl.software["s"], "v2") })
			fl.wait(40 * time.Second)
			fl.begin(1, "x", "v1")
			fl.start(0)
			fl.change(func() { fl.store.down = true })
		}, "x", "", ""},
		"the store is back from an older copy": {func(fl *fleet) {
			var before map[string]platform.Item
			fl.change(func() { before = maps.Clone(fl.store.items) })
			fl.begin(1, "x", "v2")
			fl.change(func() { fl.store.items, fl.store.era = before, fl.store.era+1 })
		}, "x", "", ""},
		"long after the store was back from an older copy": {func(fl *fleet) {
			fl.change(func() { fl.store.era++ })
			fl.wait(40 * time.Second)
			fl.begin(1, "x", "v1")
		}, "x", "s", "v1"},
		"no request is named, two versions": {func(*fleet) {}, "", "", ""},
		"several services, at the base origin": {func(fl *fleet) {
			fl.change(func() { fl.software["other"] = map[string]int{"v1": 9} })
			fl.begin(1, "x", "v1")
		}, "x", "s", "v1"},
		"several services, elsewhere": {func(fl *fleet) {
			fl.change(func() { fl.software["other"] = map[string]int{"v1": 9} })
			fl.beginAt(1, "x", resumer.Origin{Service: "other", Software: "v1"})
		}, "x", "other", "v1"},
		"the route was moved to another service": {func(fl *fleet) {
			fl.begin(1, "x", "v1")
			fl.change(func() { fl.software = map[string]map[string]int{"other": {"v9": 3}} })
			fl.wait(5 * time.Second)
		}, "x", "s", "v1"},
		"the route was moved, and all instances were lost": {func(fl *fleet) {
			fl.begin(1, "x", "v1")
			fl.change(func() { fl.software = map[string]map[string]int{"other": {"v1": 3}} })
			fl.start(0)
			fl.start(1)
			fl.wait(20 * time.Second)
		}, "x", "s", "v1"},
		"long after the route was moved": {func(fl *fleet) {
			fl.change(func() { fl.software = map[string]map[string]int{"other": {"v9": 3}} })
			fl.wait(40 * time.Second)
			fl.beginAt(1, "x", resumer.Origin{Service: "other", Software: "v9"})
		}, "x", "other", "v9"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(1, 2, map[string]int{"v1": 3, "v2": 2})
				defer fl.close()
				fl.wait(5 * time.Second)
				tt.play(fl)
				og, _, err := fl.members[0].resumer.Lookup(t.Context(), tt.id, resumer.NewPlace(host, requestPath))
				if tt.software == "" {
					if !errors.Is(err, resumer.ErrUnknown) {
						t.Errorf("found %+v, want none", og)
					}
					return
				}
				if err != nil || og != (resumer.Origin{Service: tt.service, Software: tt.software}) {
					t.Errorf("found %+v, %v, want %s at %s", og, err, tt.software, tt.service)
				}
			})
		})
	}
}

// Guards against streams that last longer than what is known of them: the entry of one was deleted while it went on, and
// the base origin of another was replaced soon after its version had left.
func TestFindsOriginsOfLongStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(1, 2, map[string]int{"v1": 3, "v2": 2})
		defer fl.close()
		fl.change(func() { fl.timeout = 2 * time.Minute })
		fl.wait(5 * time.Second)
		for number := range 40 {
			fl.begin(1, fmt.Sprint("x", number), "v2")
		}
		expect := func(id, want string) {
			og, _, err := fl.members[0].resumer.Lookup(t.Context(), id, resumer.NewPlace(host, requestPath))
			if err != nil || og.Software != want {
				t.Errorf("stream %s: found %+v, %v, want %s", id, og, err, want)
			}
		}
		fl.wait(100 * time.Second)
		expect("x0", "v2")
		expect("x39", "v2")
		fl.begin(1, "y", "v1")
		fl.change(func() { delete(fl.software["s"], "v1") })
		fl.wait(100 * time.Second)
		expect("y", "v1")
	})
}

// A stream that cannot be found again is not begun: the store does not confirm its entry.
func TestDoesNotBeginWithoutEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(1, 1, map[string]int{"v1": 3, "v2": 2})
		defer fl.close()
		fl.wait(5 * time.Second)
		fl.change(func() { fl.store.down = true })
		if fl.begin(0, "x", "v2") {
			t.Error("a stream began without an entry")
		}
		if !fl.begin(0, "y", "v1") {
			t.Error("a stream at the base version did not begin")
		}
		if og, ok := fl.members[0].resumer.Preferred(resumer.NewPlace(host, requestPath)); !ok || og.Software != "v1" {
			t.Errorf("prefers %+v", og)
		}
	})
}

// Guards against a caller whose request ID is longer than a key of the store may be: the entries of other callers' streams were refused with its own.
func TestLongRequestIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(1, 1, map[string]int{"v1": 3, "v2": 2})
		defer fl.close()
		fl.wait(5 * time.Second)
		var tasks sync.WaitGroup
		for number := range 10 {
			tasks.Go(func() {
				id := fmt.Sprint("x", number)
				if number == 5 {
					id = strings.Repeat("x", platform.MaxKeyBytes)
				}
				if begun := fl.begin(0, id, "v2"); begun != (number != 5) {
					t.Errorf("stream %d: began %v", number, begun)
				}
			})
		}
		tasks.Wait()
	})
}

// Streams cost no call to the store while one version serves, entries are deleted once they are outdated, and a lost
// instance's are too.
func TestEntriesAreFewAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(1, 2, map[string]int{"v1": 3})
		defer fl.close()
		fl.wait(5 * time.Second)
		before := 0
		fl.change(func() { before = fl.store.writes })
		for number := range 100 {
			fl.begin(0, fmt.Sprint("a", number), "v1")
		}
		fl.change(func() {
			if fl.store.writes != before {
				t.Errorf("%d writes for streams at the only version", fl.store.writes-before)
			}
		})
		fl.change(func() { fl.software["s"]["v2"] = 1 })
		for number := range 40 {
			fl.begin(number%2, fmt.Sprint("b", number), "v2")
		}
		fl.start(1)
		fl.wait(6 * time.Minute)
		fl.change(func() {
			for key := range fl.store.items {
				if strings.HasPrefix(key, platform.StreamPrefix) {
					t.Errorf("entry %s is left", key)
				}
			}
		})
	})
}

// Plays random series of releases, losses of instances and faults of the store; in the later ones, the route is moved to
// other services and split, too. Versions come back, and copies of keys lag: with seeds 235 and 266, an instance had not
// received the newest base origin as the one before came back. Whatever happens, the origin of a stream whose first event
// was passed on is found or unknown, never another one.
func TestNeverFindsAnotherOrigin(t *testing.T) {
	const firstWithMoves = 1000
	seeds := []uint64{235, 266}
	for seed := range uint64(60) {
		seeds = append(seeds, seed, firstWithMoves+seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(seed, 3, map[string]int{"v0": 3})
				defer fl.close()
				truth := make(map[string]resumer.Origin)
				asked, found, newest := 0, 0, 0
				for number := range 600 {
					newest = fl.disturb(newest)
					if seed >= firstWithMoves {
						fl.moveRoute()
					}
					fl.wait(time.Duration(100+fl.random.IntN(200)) * time.Millisecond)
					id := fmt.Sprint("r", number)
					origins := fl.origins()
					og := origins[fl.random.IntN(len(origins))]
					if fl.beginAt(fl.random.IntN(3), id, og) {
						truth[id] = og
					}
					earlier := fmt.Sprint("r", max(number-fl.random.IntN(25), 0))
					want, began := truth[earlier]
					if !began {
						continue
					}
					asked++
					og, _, err := fl.members[fl.random.IntN(3)].resumer.Lookup(t.Context(), earlier, resumer.NewPlace(host, requestPath))
					if err != nil {
						continue
					}
					found++
					if og != want {
						t.Fatalf("stream %s began at %+v, found %+v", earlier, want, og)
					}
				}
				if found*2 < asked {
					t.Errorf("found %d of %d", found, asked)
				}
			})
		})
	}
}

// origins returns where streams may begin, sorted.
func (fl *fleet) origins() []resumer.Origin {
	var origins []resumer.Origin
	for _, service := range slices.Sorted(maps.Keys(fl.software)) {
		for _, version := range slices.Sorted(maps.Keys(fl.software[service])) {
			origins = append(origins, resumer.Origin{Service: service, Software: version})
		}
	}
	return origins
}

// moveRoute moves the route to another service at times, adds one to it, or takes one away.
func (fl *fleet) moveRoute() {
	other := fmt.Sprint("s", fl.random.IntN(3))
	switch draw := fl.random.IntN(100); {
	case draw < 2:
		fl.change(func() { fl.software = map[string]map[string]int{other: {"v0": 2}} })
	case draw < 4:
		fl.change(func() { fl.software[other] = map[string]int{"v0": 1, "v1": 1} })
	case draw < 6 && len(fl.software) > 1:
		services := slices.Sorted(maps.Keys(fl.software))
		fl.change(func() { delete(fl.software, services[fl.random.IntN(len(services))]) })
	}
}

// disturb lets one thing happen at random, and returns the number of the newest version.
func (fl *fleet) disturb(newest int) int {
	services := slices.Sorted(maps.Keys(fl.software))
	software := fl.software[services[0]]
	switch draw := fl.random.IntN(100); {
	case draw < 4:
		newest++
		fl.change(func() { software[fmt.Sprint("v", newest)] = 1 + fl.random.IntN(3) })
	case draw < 7:
		// A version that has left comes back.
		fl.change(func() { software[fmt.Sprint("v", fl.random.IntN(newest+1))] = 1 })
	case draw < 14 && len(software) > 1:
		versions := slices.Sorted(maps.Keys(software))
		fl.change(func() { delete(software, versions[fl.random.IntN(len(versions))]) })
	case draw < 17:
		for at := range fl.members {
			fl.start(at)
		}
	case draw < 20:
		fl.start(fl.random.IntN(len(fl.members)))
	case draw < 24:
		fl.change(func() { fl.store.down = !fl.store.down })
	case draw < 40:
		fl.change(func() { fl.store.down = false })
	case draw < 44:
		fl.change(func() { fl.store.loses = !fl.store.loses })
	}
	return newest
}
