package watcher_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/platform"
	"lovagebank/watcher"
)

// store is an in-memory store with a history that can be dropped.
type store struct {
	mu          sync.Mutex
	items       map[string]platform.Item
	history     []platform.Item
	compactedTo int64
	revision    int64
	era         int64
	down        bool
	delayed     bool
}

func newStore() *store { return &store{items: make(map[string]platform.Item)} }

func (st *store) put(key, value string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	it := platform.Item{Key: key, Value: []byte(value), Revision: st.revision}
	st.items[key] = it
	st.history = append(st.history, it)
}

// remove removes op/a, the key that all scenarios use.
func (st *store) remove() {
	const key = "op/a"
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	delete(st.items, key)
	st.history = append(st.history, platform.Item{Key: key, Revision: st.revision, Deleted: true})
}

func (st *store) compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history, st.compactedTo = nil, st.revision
}

func (st *store) set(down, delayed bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down, st.delayed = down, delayed
}

var errDown = errors.New("down")

func (st *store) list(_ context.Context, prefix string, _ bool) (platform.Page, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return platform.Page{}, errDown
	}
	pa := platform.Page{Revision: st.revision}
	for _, it := range st.items {
		if strings.HasPrefix(it.Key, prefix) {
			pa.Items = append(pa.Items, it)
		}
	}
	return pa, nil
}

func (st *store) events(prefix string, after int64) (platform.Page, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.down:
		return platform.Page{}, errDown
	case after < st.compactedTo:
		return platform.Page{}, platform.ErrCompacted
	}
	pa := platform.Page{Revision: st.revision}
	for _, it := range st.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			pa.Items = append(pa.Items, it)
		}
	}
	return pa, nil
}

func (st *store) isDelayed() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.delayed
}

// watch polls every 10 ms; a delayed store answers only at the end of the wait.
func (st *store) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error) {
	until := time.Now().Add(wait)
	delayed := st.isDelayed()
	for {
		if !delayed || !time.Now().Before(until) {
			pa, err := st.events(prefix, after)
			if err != nil || len(pa.Items) > 0 || !time.Now().Before(until) {
				return pa, err
			}
		}
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// fixture is a watcher of a test store, together with the items that the watcher reported.
type fixture struct {
	store   *store
	watcher *watcher.Watcher

	mu       sync.Mutex
	reported map[string]string
	failures watcher.FailureTracker
	// hang makes calls that wait for changes hang.
	hang atomic.Bool
}

func run(t *testing.T, scenario func(*testing.T, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{store: newStore(), reported: make(map[string]string)}
		fx.watcher = watcher.New(watcher.Options{
			Prefix: "op/", List: fx.list, Watch: fx.watch,
			Pace:             watcher.Pace{Wait: 2 * time.Second, Pause: 20 * time.Millisecond},
			Failures:         &fx.failures,
			KeepAfterFailure: 2500 * time.Millisecond,
			Changed:          fx.changed,
			Logger:           log.New(io.Discard),
		})
		ctx, stop := context.WithCancel(t.Context())
		go fx.watcher.Run(ctx)
		scenario(t, fx)
		stop()
		<-fx.watcher.Done()
		synctest.Wait()
	})
}

func (fx *fixture) recordResult(began time.Time, err error) {
	if errors.Is(err, errDown) {
		fx.failures.RecordFailure(began)
		return
	}
	fx.failures.RecordAnswer(began)
}

func (fx *fixture) list(ctx context.Context, prefix string, stale bool) (platform.Page, error) {
	began := time.Now()
	pa, err := fx.store.list(ctx, prefix, stale)
	fx.recordResult(began, err)
	return pa, err
}

func (fx *fixture) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error) {
	if fx.hang.Load() {
		return blockUntilDone(ctx)
	}
	began := time.Now()
	pa, err := fx.store.watch(ctx, prefix, after, wait)
	if ctx.Err() == nil {
		fx.recordResult(began, err)
	}
	return pa, err
}

func (fx *fixture) changed(it platform.Item) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if it.Deleted {
		delete(fx.reported, it.Key)
		return
	}
	fx.reported[it.Key] = string(it.Value)
}

func (fx *fixture) expect(t *testing.T, key, value string) {
	t.Helper()
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if got := fx.reported[key]; got != value {
		t.Errorf("%s has the value %q, want %q", key, got, value)
	}
}

// takeStoreDown puts op/a and then takes the store down for 3 s.
func (fx *fixture) takeStoreDown() {
	fx.store.put("op/a", "1")
	time.Sleep(100 * time.Millisecond)
	fx.store.set(true, false)
	time.Sleep(3 * time.Second)
}

func TestFollowsStore(t *testing.T) {
	scenarios := map[string]func(*testing.T, *fixture){
		"existing, added and removed keys": func(t *testing.T, fx *fixture) {
			fx.store.put("op/a", "1")
			fx.store.put("other", "1")
			time.Sleep(2500 * time.Millisecond)
			fx.expect(t, "op/a", "1")
			fx.expect(t, "other", "")
			fx.store.put("op/b", "1")
			time.Sleep(100 * time.Millisecond)
			fx.expect(t, "op/b", "1")
			fx.store.remove()
			time.Sleep(100 * time.Millisecond)
			fx.expect(t, "op/a", "")
		},
		"changes in a history dropped during a silent watch are found when its wait ends": func(t *testing.T, fx *fixture) {
			fx.store.put("op/a", "1")
			time.Sleep(2500 * time.Millisecond)
			fx.store.set(false, true)
			time.Sleep(2 * time.Second)
			fx.store.put("op/a", "2")
			fx.store.compact()
			fx.store.set(false, false)
			time.Sleep(2200 * time.Millisecond)
			fx.expect(t, "op/a", "2")
		},
		"a key that lapses during an outage and comes back is never removed": func(t *testing.T, fx *fixture) {
			fx.takeStoreDown()
			fx.store.remove()
			fx.store.set(false, false)
			time.Sleep(1500 * time.Millisecond)
			fx.expect(t, "op/a", "1")
			fx.store.put("op/a", "2")
			time.Sleep(3 * time.Second)
			fx.expect(t, "op/a", "2")
		},
		"a key that lapses during an outage and stays away is removed soon": func(t *testing.T, fx *fixture) {
			fx.takeStoreDown()
			fx.store.remove()
			fx.store.set(false, false)
			time.Sleep(4 * time.Second)
			fx.expect(t, "op/a", "")
		},
		// A target left 3.5 s after the store served this instance again, and its removal was deferred as if it belonged
		// to the outage (scenario castaneda-stock trouble-1, seed 855390671469).
		"a key removed well after the store's return is removed without delay": func(t *testing.T, fx *fixture) {
			fx.takeStoreDown()
			fx.store.set(false, false)
			time.Sleep(4500 * time.Millisecond)
			fx.store.remove()
			time.Sleep(200 * time.Millisecond)
			fx.expect(t, "op/a", "")
		},
		// The next call after a failure does not wait for changes. Otherwise the recovery would be seen only with a change.
		"the return of a store without changes is detected by the next call": func(t *testing.T, fx *fixture) {
			fx.takeStoreDown()
			fx.store.set(false, false)
			time.Sleep(1600 * time.Millisecond)
			if !fx.watcher.Current() {
				t.Error("the store counts as unreachable 1.6 s after its return")
			}
		},
		"a peer's copy is applied while the store is unreachable, removals without delay": func(t *testing.T, fx *fixture) {
			fx.store.put("op/a", "1")
			fx.store.put("op/b", "1")
			time.Sleep(100 * time.Millisecond)
			fx.store.set(true, false)
			time.Sleep(3 * time.Second)
			fx.watcher.ApplyChanges(watcher.Changes{
				Items: []platform.Item{{Key: "op/b", Value: []byte("2"), Revision: 9}}, Whole: true, Revision: 9,
			})
			fx.expect(t, "op/a", "")
			fx.expect(t, "op/b", "2")
		},
		"a follower gets the changes after its cursor, including removals": func(t *testing.T, fx *fixture) {
			fx.store.put("op/a", "1")
			fx.store.put("op/b", "1")
			time.Sleep(100 * time.Millisecond)
			before := fx.watcher.ChangesSince(0)
			if !before.Whole || len(before.Items) != 2 {
				t.Fatalf("got %+v", before)
			}
			changed := fx.watcher.Changed(before.Cursor)
			fx.store.remove()
			<-changed
			after := fx.watcher.ChangesSince(before.Cursor)
			if after.Whole || len(after.Items) != 1 || !after.Items[0].Deleted || after.Items[0].Key != "op/a" {
				t.Errorf("got %+v", after)
			}
		},
		"a deferred removal reaches followers that have seen later changes": func(t *testing.T, fx *fixture) {
			fx.store.put("op/a", "1")
			time.Sleep(100 * time.Millisecond)
			fx.failures.RecordFailure(time.Now())
			fx.store.remove()
			fx.store.put("op/b", "1")
			time.Sleep(time.Second)
			waiting := fx.watcher.ChangesSince(0)
			time.Sleep(4 * time.Second)
			after := fx.watcher.ChangesSince(waiting.Cursor)
			if len(waiting.Items) != 2 || len(after.Items) != 1 || !after.Items[0].Deleted {
				t.Errorf("got %+v, then %+v", waiting, after)
			}
		},
		"repeated removals of one key are one change": func(t *testing.T, fx *fixture) {
			fx.store.put("op/b", "1")
			time.Sleep(100 * time.Millisecond)
			cursor := fx.watcher.ChangesSince(0).Cursor
			for range 2000 {
				fx.store.put("op/a", "1")
				time.Sleep(30 * time.Millisecond)
				fx.store.remove()
				time.Sleep(30 * time.Millisecond)
			}
			if ch := fx.watcher.ChangesSince(cursor); ch.Whole || len(ch.Items) != 1 {
				t.Errorf("repeated removals of one key: got %+v", ch)
			}
		},
		"a peer with an older copy changes nothing": func(t *testing.T, fx *fixture) {
			for number := range 5 {
				fx.store.put("op/a", strconv.Itoa(number))
			}
			time.Sleep(100 * time.Millisecond)
			fx.watcher.ApplyChanges(watcher.Changes{
				Items: []platform.Item{{Key: "op/a", Value: []byte("old"), Revision: 2}}, Whole: true, Revision: 2,
			})
			fx.expect(t, "op/a", "4")
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) { run(t, scenario) })
	}
}

// Listed is called once the copy is complete, after Changed has been called for each of its keys.
func TestListedIsCalledAfterAllKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put("op/a", "1")
		st.put("op/b", "2")
		listed, reported := make(chan int, 1), 0
		wa := watcher.New(watcher.Options{
			Prefix: "op/", List: st.list, Watch: st.watch, Pace: watcher.Pace{Wait: time.Second},
			Failures: &watcher.FailureTracker{},
			Changed:  func(platform.Item) { reported++ },
			Listed:   func() { listed <- reported },
			Logger:   log.New(io.Discard),
		})
		ctx, stop := context.WithCancel(t.Context())
		go wa.Run(ctx)
		if keys := <-listed; keys != 2 {
			t.Errorf("Listed called after %d keys, want 2", keys)
		}
		stop()
		<-wa.Done()
		synctest.Wait()
	})
}

// Calls to a store that is down are costly, so only one watcher probes it and the others wait for the result. All watchers
// must be up to date soon after the store's return (scenario castaneda-stock-grown trouble-3, 18 to 22 s).
func TestOneWatcherProbesUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put("op/a", "1")
		var calls [2]atomic.Int64
		var watchers [2]*watcher.Watcher
		for at := range watchers {
			watchers[at] = watcher.New(watcher.Options{
				Prefix: "op/", List: st.list, Pace: watcher.Pace{Wait: time.Second},
				Watch: func(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error) {
					calls[at].Add(1)
					return st.watch(ctx, prefix, after, wait)
				},
				Await: func(ctx context.Context) {
					if at > 0 {
						watchers[0].AwaitRecovery(ctx, 2*time.Second)
					}
				},
				Failures: &watcher.FailureTracker{},
				Changed:  func(platform.Item) {},
				Logger:   log.New(io.Discard),
			})
		}
		ctx, stop := context.WithCancel(t.Context())
		for _, wa := range watchers {
			go wa.Run(ctx)
		}
		time.Sleep(5 * time.Second)
		st.set(true, false)
		calls[0].Store(0)
		calls[1].Store(0)
		time.Sleep(10 * time.Second)
		first, second := calls[0].Load(), calls[1].Load()
		if most := int64(10/2 + 1); second > most || first < most {
			t.Errorf("%d and %d calls while the store was down, want at most %d from the second watcher", first, second, most)
		}
		st.set(false, false)
		st.put("op/a", "2")
		time.Sleep(2 * time.Second)
		for at, wa := range watchers {
			if it := wa.Items()[0]; string(it.Value) != "2" {
				t.Errorf("watcher %d holds %q after the store's return", at, it.Value)
			}
		}
		stop()
		for _, wa := range watchers {
			<-wa.Done()
		}
		synctest.Wait()
	})
}
