package leaser

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/storer"
	"lovagebank/wire"
)

// fleet runs whole leasers over one fake store, in a bubble of virtual time or in a benchmark.
type fleet struct {
	mu      sync.Mutex
	store   *fakeStore
	calls   int
	leasers map[string]*Leaser
	cancels map[string]context.CancelFunc
}

func newFleet() *fleet {
	return &fleet{store: newFakeStore(), leasers: make(map[string]*Leaser), cancels: make(map[string]context.CancelFunc)}
}

// enter locks the store for a call, and fails the call while the store is away.
func (fl *fleet) enter() error {
	fl.mu.Lock()
	fl.calls++
	fl.store.lapse(time.Now())
	if fl.store.away {
		return storer.ErrUnavailable
	}
	return nil
}

func (fl *fleet) setAway(away bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.store.away = away
}

// sent returns the number of store calls so far.
func (fl *fleet) sent() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.calls
}

func (fl *fleet) leaser(name string) *Leaser {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.leasers[name]
}

// kill ends an instance without a hand-over.
func (fl *fleet) kill(name string) {
	fl.cancels[name]()
	fl.leaser(name).Close()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.leasers, name)
}

func (fl *fleet) options(name string) Options {
	return Options{
		Self: name, Logger: log.New(io.Discard),
		CreateSession: func(_ context.Context, _ string, ttl time.Duration) (string, error) {
			defer fl.mu.Unlock()
			if err := fl.enter(); err != nil {
				return "", err
			}
			return fl.store.create(time.Now(), ttl), nil
		},
		RenewSession: func(_ context.Context, session string) error {
			defer fl.mu.Unlock()
			if err := fl.enter(); err != nil {
				return err
			}
			return fl.store.renew(time.Now(), session, DefaultLease)
		},
		DestroySession: func(_ context.Context, session string) error {
			defer fl.mu.Unlock()
			if err := fl.enter(); err != nil {
				return err
			}
			fl.store.end(session)
			return nil
		},
		List: func(context.Context, string) (storer.Listing, error) {
			defer fl.mu.Unlock()
			if err := fl.enter(); err != nil {
				return storer.Listing{}, err
			}
			return storer.NewListing(fl.store.list(), fl.store.index), nil
		},
		Transact: func(_ context.Context, steps []storer.Step) ([]storer.Entry, error) {
			defer fl.mu.Unlock()
			if err := fl.enter(); err != nil {
				return nil, err
			}
			return fl.store.transact(steps)
		},
		RequestPromise: func(ctx context.Context, request *wire.PromiseRequest) (*wire.PromiseResponse, error) {
			return fl.leaser(request.GetSuccessor()).Promise(ctx, request), nil
		},
		Notify: func(ctx context.Context, instance string, resources []string) {
			fl.leaser(instance).Refresh(ctx, resources)
		},
		StopOwner: func(resource string) []byte { return []byte(resource) },
	}
}

func (fl *fleet) start(ctx context.Context, instances, resources int) []string {
	var names []string
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		names = append(names, name)
		fl.leasers[name] = New(fl.options(name))
	}
	var wanted []Resource
	for i := range resources {
		name := TargetName(fmt.Sprintf("e%d", i))
		wanted = append(wanted, NewResource(name, Rendezvous(name, names)))
	}
	for _, name := range names {
		runCtx, cancel := context.WithCancel(ctx)
		fl.cancels[name] = cancel
		go fl.leasers[name].Run(runCtx)
		fl.leasers[name].SetResources(ctx, wanted)
	}
	return names
}

// holders counts the resources that each instance may act for.
func (fl *fleet) holders() (byInstance map[string]int, total int) {
	byInstance = make(map[string]int)
	for name, le := range fl.leasers {
		for resource := range le.view.held() {
			if _, _, ok := le.Holds(resource); ok {
				byInstance[name]++
				total++
			}
		}
	}
	return byInstance, total
}

func TestFleetHandsOverReplacesAndRidesOutAnOutage(t *testing.T) {
	const resources = 100
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fl := newFleet()
		names := fl.start(ctx, 4, resources)
		expect := func(when string) {
			t.Helper()
			synctest.Wait()
			if by, total := fl.holders(); total != resources {
				t.Fatalf("%s: %d of %d resources are held: %v", when, total, resources, by)
			}
		}
		time.Sleep(3 * time.Second)
		expect("at the start")
		if err := fl.leasers[names[0]].HandOver(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		expect("after the hand-over")
		fl.setAway(true)
		time.Sleep(10 * time.Minute)
		expect("after ten minutes without the store")
		fl.setAway(false)
		time.Sleep(30 * time.Second)
		expect("after the outage")
		fl.kill(names[1])
		time.Sleep(2*DefaultLease + slowPoll + slowPoll/2)
		expect("after a crash that nobody told of")
		for _, stop := range fl.cancels {
			stop()
		}
		synctest.Wait()
	})
}

func TestStoreCallsDoNotGrowWithRecords(t *testing.T) {
	idle := func(resources int) (calls int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			fl := newFleet()
			fl.start(ctx, 3, resources)
			time.Sleep(time.Minute)
			before := fl.sent()
			time.Sleep(10 * time.Minute)
			calls = fl.sent() - before
			cancel()
			synctest.Wait()
		})
		return calls
	}
	few, many := idle(3), idle(60)
	// Three instances renew every 5 s, and each reads the records that it succeeds to about once a minute and batch.
	const renewals = 3 * 120
	if few < renewals || many > 2*renewals {
		t.Errorf("%d calls in ten minutes with 3 records, %d with 60", few, many)
	}
}

// machineWith returns a machine that holds a number of records.
func machineWith(now time.Time, records int) *machine {
	mc := newMachine("i0", Timing{})
	var wanted []Resource
	for i := range records {
		wanted = append(wanted, NewResource(TargetName(fmt.Sprintf("e%d", i)), []string{"i0", "i1", "i2"}))
	}
	mc.want(now, wanted)
	mc.answerSession(now, sessionAnswer{creating: true, session: "s", sentAt: now, outcome: done})
	mc.answerRead(now, readAnswer{all: true})
	for _, ef := range mc.takeEffects() {
		if wr, ok := ef.(writeRecords); ok {
			var answers []writeAnswer
			for _, one := range wr.writes {
				answers = append(answers, writeAnswer{one.name, one.record.GetNonce(), done, 7})
			}
			mc.answerWrites(now, answers)
		}
	}
	return mc
}

// BenchmarkStep measures one look at the clock, of which there are four a second, with 1,000 records held.
func BenchmarkStep(b *testing.B) {
	now := time.Now()
	mc := machineWith(now, 1000)
	b.ReportAllocs()
	for b.Loop() {
		mc.step(now)
	}
}

// BenchmarkMemory measures the memory that 1,000 held records take, in bytes each.
func BenchmarkMemory(b *testing.B) {
	const records = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		mc := machineWith(time.Now(), records)
		mc.takeEffects()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(mc)
	}
}
