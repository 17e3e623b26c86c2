package keeper_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/keeper"
	"lovagebank/platform"
)

const leaseTime = 12 * time.Second

// store is an in-memory store with leases. It can be cut off from single instances and drop all leases.
type store struct {
	mu       sync.Mutex
	revision int64
	// era is the high part of all revisions and leases, as the platform's client forms them; knownEras holds the era that each
	// instance knows.
	era        int64
	knownEras  map[string]int64
	leases     map[platform.Lease]time.Time
	nextLease  int64
	items      map[string]platform.Item
	leaseOfKey map[string]platform.Lease
	cut        map[string]bool
	keepers    map[string]*keeper.Keeper
}

func newStore() *store {
	return &store{
		leases: make(map[platform.Lease]time.Time), items: make(map[string]platform.Item), leaseOfKey: make(map[string]platform.Lease),
		cut: make(map[string]bool), keepers: make(map[string]*keeper.Keeper), knownEras: make(map[string]int64),
	}
}

var errCut = fmt.Errorf("%w: cut", platform.ErrRefused)

// notify passes changes to all instances that are not cut off.
func (st *store) notify(items []platform.Item) {
	st.mu.Lock()
	keepers := make(map[string]*keeper.Keeper)
	for name, ke := range st.keepers {
		if !st.cut[name] {
			keepers[name] = ke
		}
	}
	st.mu.Unlock()
	for _, ke := range keepers {
		for _, it := range items {
			ke.Apply(it)
		}
	}
}

// expireLeases removes expired leases, or all leases, and the keys bound to them.
func (st *store) expireLeases(all bool) {
	st.mu.Lock()
	var deleted []platform.Item
	for id, until := range st.leases {
		if !all && time.Now().Before(until) {
			continue
		}
		delete(st.leases, id)
		for key, lease := range st.leaseOfKey {
			if lease == id {
				st.revision++
				deleted = append(deleted, platform.Item{Key: key, Revision: st.era | st.revision, Deleted: true})
				delete(st.items, key)
				delete(st.leaseOfKey, key)
			}
		}
	}
	st.mu.Unlock()
	st.notify(deleted)
}

func (st *store) isCut(name string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.cut[name]
}

func (st *store) setCut(name string, cut bool) {
	st.mu.Lock()
	st.cut[name] = cut
	var all []platform.Item
	for _, it := range st.items {
		all = append(all, it)
	}
	st.mu.Unlock()
	if !cut {
		for _, it := range all {
			st.keepers[name].Apply(it)
		}
	}
}

func (st *store) transact(tx platform.Transaction) (int64, error) {
	st.mu.Lock()
	for _, ex := range tx.Expected {
		if st.items[ex.Key].Revision != ex.Revision {
			st.mu.Unlock()
			return 0, platform.ErrConflict
		}
	}
	for _, wr := range tx.Writes {
		if _, ok := st.leases[wr.Lease]; !wr.Lease.IsZero() && !ok {
			st.mu.Unlock()
			return 0, platform.ErrNotFound
		}
	}
	st.revision++
	revision := st.era | st.revision
	var changed []platform.Item
	for _, wr := range tx.Writes {
		it := platform.Item{Key: wr.Key, Value: wr.Value, Revision: revision}
		st.items[wr.Key] = it
		st.leaseOfKey[wr.Key] = wr.Lease
		changed = append(changed, it)
	}
	for _, key := range tx.Deletes {
		delete(st.items, key)
		changed = append(changed, platform.Item{Key: key, Revision: revision, Deleted: true})
	}
	st.mu.Unlock()
	st.notify(changed)
	return revision, nil
}

// fleet runs several keepers that compete for one target on a store in virtual time.
type fleet struct {
	store       *store
	bootOffsets map[string]time.Duration
	stops       map[string]context.CancelFunc
	// renewing blocks renewals until it is closed; nil for no block.
	renewing chan struct{}
}

func (fl *fleet) add(t *testing.T, name string) {
	st := fl.store
	ke := keeper.New(keeper.Options{
		Name: name, Address: name + ":1", FailureDomain: "east", Start: name, HandoverDelay: 3 * time.Second,
		Grant: func(_ context.Context, ttl time.Duration) (platform.Lease, time.Duration, error) {
			if st.isCut(name) {
				return platform.Lease{}, 0, errCut
			}
			st.reportEra(name)
			st.mu.Lock()
			defer st.mu.Unlock()
			st.nextLease++
			lease := platform.NewLease(st.nextLease, platform.Era(st.era))
			st.leases[lease] = time.Now().Add(ttl)
			return lease, ttl, nil
		},
		Renew: func(_ context.Context, lease platform.Lease) (time.Duration, error) {
			if fl.renewing != nil {
				<-fl.renewing
			}
			if st.isCut(name) {
				return 0, errCut
			}
			st.reportEra(name)
			st.mu.Lock()
			defer st.mu.Unlock()
			if _, ok := st.leases[lease]; !ok || lease.Era() != platform.Era(st.era) {
				return 0, platform.ErrLeaseEnded
			}
			st.leases[lease] = time.Now().Add(leaseTime)
			return leaseTime, nil
		},
		End: func(_ context.Context, lease platform.Lease) error {
			st.mu.Lock()
			st.leases[lease] = time.Now()
			st.mu.Unlock()
			st.expireLeases(false)
			return nil
		},
		Transact: func(_ context.Context, tx platform.Transaction) (int64, error) {
			if st.isCut(name) {
				return 0, errCut
			}
			st.reportEra(name)
			return st.transact(tx)
		},
		Candidates:      func() []keeper.Candidate { return []keeper.Candidate{{ID: "t", FailureDomain: "east"}} },
		StoreFailed:     func(time.Duration) bool { return st.isCut(name) },
		Changed:         func() {},
		InstanceRemoved: func(string) {},
		BootTime:        func() time.Duration { return fl.bootTime(name) },
		Logger:          log.New(io.Discard),
	})
	st.mu.Lock()
	st.keepers[name] = ke
	st.mu.Unlock()
	// An instance reads the content of the store before it receives changes.
	st.setCut(name, false)
	ctx, stop := context.WithCancel(t.Context())
	fl.stops[name] = stop
	go ke.Run(ctx)
}

// bootTime returns the time since an instance's machine started.
func (fl *fleet) bootTime(name string) time.Duration {
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	return time.Since(epoch) + fl.bootOffsets[name]
}

// shiftBootTime changes the time since the start of an instance's machine.
func (fl *fleet) shiftBootTime(name string, by time.Duration) {
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	fl.bootOffsets[name] += by
}

// epoch is before all times of the synctest bubble, whose clock starts at the beginning of the year 2000.
var epoch = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)

// observation is the last instance seen that could send orders, its epoch and the time.
type observation struct {
	holder string
	epoch  int64
	at     time.Time
}

// watchFor lets time pass and checks, every 50 ms, that at most one instance may send orders, that epochs never decrease,
// and that the handover delay lies between two holders. It writes the last holder seen to last.
func (fl *fleet) watchFor(t *testing.T, last *observation, span time.Duration) {
	t.Helper()
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		fl.store.expireLeases(false)
		for name, ke := range fl.store.keepers {
			number, ok := ke.Authority("t")
			if !ok {
				continue
			}
			if last.holder != "" && last.holder != name && time.Since(last.at) < 3*time.Second {
				t.Fatalf("%s orders %v after %s", name, time.Since(last.at), last.holder)
			}
			if number < last.epoch {
				t.Fatalf("%s orders with epoch %d after %d", name, number, last.epoch)
			}
			*last = observation{holder: name, epoch: number, at: time.Now()}
		}
	}
}

func TestOneHolderAtATime(t *testing.T) {
	scenarios := map[string]func(*testing.T, *fleet, *observation){
		"the holder is cut off and reconnects": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			fl.store.setCut(holder, true)
			fl.watchFor(t, last, 30*time.Second)
			if last.holder == holder {
				t.Error("no instance took the target over")
			}
			fl.store.setCut(holder, false)
			fl.watchFor(t, last, 30*time.Second)
		},
		"a short cut-off changes neither holder nor epoch": func(t *testing.T, fl *fleet, last *observation) {
			before := *last
			fl.store.setCut(before.holder, true)
			fl.watchFor(t, last, 6*time.Second)
			fl.store.setCut(before.holder, false)
			fl.watchFor(t, last, 20*time.Second)
			if last.holder != before.holder || last.epoch != before.epoch {
				t.Errorf("holder %s epoch %d, want %s and %d", last.holder, last.epoch, before.holder, before.epoch)
			}
		},
		"the store drops all leases early": func(t *testing.T, fl *fleet, last *observation) {
			fl.store.expireLeases(true)
			fl.watchFor(t, last, 40*time.Second)
		},
		"the holder's machine is suspended past its lease": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			fl.store.setCut(holder, true)
			fl.shiftBootTime(holder, 20*time.Second)
			if _, ok := fl.store.keepers[holder].Authority("t"); ok {
				t.Error("the holder orders after a suspension longer than its lease")
			}
			fl.watchFor(t, last, 30*time.Second)
		},
		"all machines lose power": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			for name, stop := range fl.stops {
				stop()
				<-fl.store.keepers[name].Done()
				// The time since the machine's start restarts from zero.
				fl.shiftBootTime(name, -time.Since(epoch))
			}
			for _, name := range []string{"a", "b", "c"} {
				fl.add(t, name)
			}
			began := time.Now()
			for until := began.Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				if _, ok := fl.store.keepers[holder].Authority("t"); ok {
					break
				}
			}
			if time.Since(began) >= 2*time.Second {
				t.Error("the holder waits although no other instance can have sent orders")
			}
			fl.watchFor(t, last, 20*time.Second)
		},
		// castaneda-stock trouble-2 and incident 6a74: instances are stopped and started one after the other.
		"the holder is stopped and started again": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			fl.store.keepers[holder].Leave(t.Context())
			fl.stops[holder]()
			<-fl.store.keepers[holder].Done()
			fl.watchFor(t, last, 600*time.Millisecond)
			fl.add(t, holder)
			fl.watchFor(t, last, time.Second)
			if _, ok := fl.store.keepers[holder].Authority("t"); !ok {
				t.Error("the holder waits after its restart")
			}
			fl.watchFor(t, last, 10*time.Second)
		},
		"the holder leaves": func(t *testing.T, fl *fleet, last *observation) {
			holder := last.holder
			fl.store.keepers[holder].Leave(t.Context())
			if _, ok := fl.store.keepers[holder].Authority("t"); ok {
				t.Error("the holder orders after it has left")
			}
			fl.watchFor(t, last, 10*time.Second)
			if last.holder == holder {
				t.Error("no instance took the target over")
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := &fleet{store: newStore(), bootOffsets: make(map[string]time.Duration), stops: make(map[string]context.CancelFunc)}
				for _, instance := range []string{"a", "b", "c"} {
					fl.add(t, instance)
					// Each instance registers before the next one starts.
					synctest.Wait()
				}
				last := &observation{}
				fl.watchFor(t, last, 10*time.Second)
				if last.holder == "" {
					t.Fatal("no holder was found")
				}
				scenario(t, fl, last)
				for instance, stop := range fl.stops {
					stop()
					<-fl.store.keepers[instance].Done()
				}
			})
		})
	}
}

// A claim whose answer was lost appears in the store as held by the instance itself. The instance must adopt it under the
// epoch of the store's entry.
func TestAdoptsClaimWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{store: newStore(), bootOffsets: make(map[string]time.Duration), stops: make(map[string]context.CancelFunc)}
		lost := false
		st := fl.store
		ke := keeper.New(keeper.Options{
			Name: "a", Address: "a:1", FailureDomain: "east", HandoverDelay: 3 * time.Second,
			Grant: func(context.Context, time.Duration) (platform.Lease, time.Duration, error) {
				st.mu.Lock()
				defer st.mu.Unlock()
				lease := platform.NewLease(1, 0)
				st.leases[lease] = time.Now().Add(time.Hour)
				return lease, leaseTime, nil
			},
			Renew: func(context.Context, platform.Lease) (time.Duration, error) { return leaseTime, nil },
			End:   func(context.Context, platform.Lease) error { return nil },
			Transact: func(_ context.Context, tx platform.Transaction) (int64, error) {
				revision, err := st.transact(tx)
				claims := len(tx.Writes) > 0 && strings.Contains(tx.Writes[0].Key, "holders/")
				if err == nil && claims && !lost {
					lost = true
					return 0, errors.Join(platform.ErrUnknown, errCut)
				}
				return revision, err
			},
			Candidates:      func() []keeper.Candidate { return []keeper.Candidate{{ID: "t", FailureDomain: "east"}} },
			StoreFailed:     func(time.Duration) bool { return false },
			Changed:         func() {},
			InstanceRemoved: func(string) {},
			BootTime:        func() time.Duration { return time.Since(epoch) },
			Logger:          log.New(io.Discard),
		})
		st.keepers["a"] = ke
		ctx, stop := context.WithCancel(t.Context())
		go ke.Run(ctx)
		time.Sleep(10 * time.Second)
		if _, ok := ke.Authority("t"); !ok || !lost {
			t.Errorf("authority %v after a lost answer %v", ok, lost)
		}
		stop()
		<-ke.Done()
	})
}

// A renewal in progress while the instance leaves finds its lease ended. The instance must not register again: its entry would
// keep other instances from claiming its targets until the lease of a process that has exited expires.
func TestDoesNotRegisterAfterLeavingDuringRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{store: newStore(), bootOffsets: make(map[string]time.Duration), stops: make(map[string]context.CancelFunc)}
		fl.renewing = make(chan struct{})
		fl.add(t, "a")
		time.Sleep(4 * time.Second)
		ke := fl.store.keepers["a"]
		ke.Leave(t.Context())
		close(fl.renewing)
		time.Sleep(4 * time.Second)
		fl.store.mu.Lock()
		it, ok := fl.store.items["lovagebank/instances/a"]
		fl.store.mu.Unlock()
		if ok {
			t.Errorf("the instance registered again at revision %d after it left", it.Revision)
		}
		fl.stops["a"]()
		<-ke.Done()
	})
}
