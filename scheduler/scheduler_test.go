package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/invoker"
	"lovagebank/requester"
	"lovagebank/wire"
)

// engine is a target in fake time: a request runs for a second, a load takes a quarter of one.
type engine struct {
	mu       sync.Mutex
	boot     string
	adapters map[string]bool
	running  map[string]int
	started  []string
	failLoad error
	held     bool
	fencing  uint64
	lost     bool
	// evictedInUse counts the unloads of adapters that a request ran on.
	evictedInUse int
}

const (
	engineRunTime  = time.Second
	engineLoadTime = 250 * time.Millisecond
)

func newEngine() *engine {
	return &engine{boot: "1", adapters: map[string]bool{}, running: map[string]int{}, held: true, fencing: 1}
}

func (en *engine) invoke(
	ctx context.Context, rq *requester.Request, _ uint64, _ requester.Sink,
) (requester.Usage, error) {
	en.mu.Lock()
	boot := en.boot
	en.running[rq.Model()]++
	en.started = append(en.started, rq.ID())
	en.mu.Unlock()
	defer func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.running[rq.Model()]--
	}()
	select {
	case <-time.After(engineRunTime):
	case <-ctx.Done():
		return requester.Usage{}, requester.RefuseUnknown(requester.CodeCancelled, "cancelled", 0)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.boot != boot || en.lost {
		return requester.Usage{}, requester.RefuseTargetLost("lost")
	}
	return requester.NewUsage(1, rq.MaxTokens(), rq.Adapter(), rq.Version(), 0, 0), nil
}

func (en *engine) load(ctx context.Context, model string, _ uint64) error {
	select {
	case <-time.After(engineLoadTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.failLoad != nil {
		return en.failLoad
	}
	en.adapters[model] = true
	return nil
}

func (en *engine) unload(_ context.Context, model string, _ uint64) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.running[model] > 0 {
		en.evictedInUse++
	}
	delete(en.adapters, model)
	return nil
}

func (en *engine) poll(context.Context) (invoker.Load, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	var reps []invoker.AdapterReport
	for name := range en.adapters {
		reps = append(reps, invoker.AdapterReport{Name: name, Running: en.running[name], State: invoker.StateLoaded})
	}
	return invoker.NewLoad(en.boot, 2, 2, 0, 0, reps, time.Now()), nil
}

func (en *engine) holds() (uint64, time.Time, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.fencing, time.Now().Add(time.Minute), en.held
}

// set changes the engine under its lock.
func (en *engine) set(change func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	change()
}

// answer is how a submitted request ended.
type answer struct {
	us  requester.Usage
	err error
}

// bench is a running scheduler before an engine.
type bench struct {
	en     *engine
	sc     *Scheduler
	cancel context.CancelFunc
}

func startBench(t *testing.T) *bench {
	t.Helper()
	en := newEngine()
	sc := New(Options{
		Target: &wire.Target{Id: "t", Slots: 2, Batch: 2}, Holds: en.holds, Invoke: en.invoke, Load: en.load,
		Unload: en.unload, Poll: en.poll, EvictionDelay: time.Second,
	})
	ctx, cancel := context.WithCancel(t.Context())
	go sc.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-sc.Done()
	})
	return &bench{en, sc, cancel}
}

func (be *bench) submit(ctx context.Context, fields requester.Fields) <-chan answer {
	fields.Version = "1"
	if fields.MaxTokens == 0 {
		fields.MaxTokens = 10
	}
	if fields.Deadline.IsZero() {
		fields.Deadline = time.Now().Add(time.Minute)
	}
	if fields.Urgency == 0 {
		fields.Urgency = requester.UrgencyInteractive
	}
	ended := make(chan answer, 1)
	go func() {
		us, err := be.sc.Submit(ctx, requester.New(fields), requester.Sink{})
		ended <- answer{us, err}
	}()
	synctest.Wait()
	return ended
}

func code(err error) requester.Code {
	if rf := requester.AsRefusal(err); rf != nil {
		return rf.Code()
	}
	return ""
}

func TestSubmit(t *testing.T) {
	tests := map[string]func(*testing.T, *bench){
		"a load wait is reported": func(t *testing.T, be *bench) {
			an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			if an.err != nil || an.us.LoadWait() != engineLoadTime {
				t.Errorf("wait %v, error %v", an.us.LoadWait(), an.err)
			}
			if an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"}); an.us.LoadWait() != 0 {
				t.Errorf("second wait %v", an.us.LoadWait())
			}
		},
		"a failed load refuses as not run": func(t *testing.T, be *bench) {
			be.en.set(func() { be.en.failLoad = errors.New("failed") })
			an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			if rf := requester.AsRefusal(an.err); rf.Code() != requester.CodeLoadFailed ||
				rf.Outcome() != requester.OutcomeNotRun {
				t.Errorf("error %v", an.err)
			}
		},
		"a cancelled request leaves the queue": func(t *testing.T, be *bench) {
			ctx, cancel := context.WithCancel(t.Context())
			ended := be.submit(ctx, requester.Fields{Adapter: "a"})
			cancel()
			if an := <-ended; requester.AsRefusal(an.err).Outcome() != requester.OutcomeNotRun {
				t.Errorf("error %v", an.err)
			}
		},
		"a lost lease refuses what is queued and lets what runs end": func(t *testing.T, be *bench) {
			runs := be.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(engineLoadTime + time.Millisecond)
			be.submit(t.Context(), requester.Fields{Adapter: "a"})
			queued := be.submit(t.Context(), requester.Fields{Adapter: "a"})
			be.en.set(func() { be.en.held = false })
			if an := <-queued; code(an.err) != requester.CodeWrongHolder {
				t.Errorf("queued: %v", an.err)
			}
			if an := <-runs; an.err != nil {
				t.Errorf("running: %v", an.err)
			}
		},
		"draining waits for what runs": func(t *testing.T, be *bench) {
			runs := be.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(engineLoadTime + time.Millisecond)
			if err := be.sc.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			select {
			case an := <-runs:
				if an.err != nil {
					t.Errorf("running: %v", an.err)
				}
			default:
				t.Error("drained while a request runs")
			}
			if an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"}); code(an.err) != requester.CodeWrongHolder {
				t.Errorf("new request: %v", an.err)
			}
		},
		"a restart loses what runs, and adapters are loaded again": func(t *testing.T, be *bench) {
			runs := be.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(engineLoadTime + time.Millisecond)
			be.en.set(func() { be.en.boot = "2"; clear(be.en.adapters) })
			if an := <-runs; !requester.AsRefusal(an.err).TargetLost() {
				t.Errorf("running: %v", an.err)
			}
			if an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"}); an.err != nil || an.us.LoadWait() == 0 {
				t.Errorf("after the restart: %v, wait %v", an.err, an.us.LoadWait())
			}
		},
		"a lost connection to a living target is no death": func(t *testing.T, be *bench) {
			be.en.set(func() { be.en.lost = true })
			an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			if rf := requester.AsRefusal(an.err); rf.Code() != requester.CodeTargetLost || rf.TargetLost() {
				t.Errorf("error %v", an.err)
			}
		},
		"a new holder evicts nothing until it has settled": func(t *testing.T, be *bench) {
			be.en.set(func() { be.en.adapters["x@1"], be.en.adapters["y@1"] = true, true })
			time.Sleep(2 * time.Second)
			be.en.set(func() { be.en.fencing = 2 })
			time.Sleep(holdCheckInterval)
			an := <-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			if wait := an.us.LoadWait(); an.err != nil || wait < engineLoadTime+400*time.Millisecond {
				t.Errorf("load wait %v, error %v", wait, an.err)
			}
		},
		"a new holder's own requests don't hide those that run for the holder before": func(t *testing.T, be *bench) {
			be.en.set(func() { be.en.adapters["x@1"], be.en.adapters["y@1"] = true, true })
			time.Sleep(2 * time.Second)
			// The holder before left a long request on each adapter.
			be.en.set(func() { be.en.fencing, be.en.running["x@1"], be.en.running["y@1"] = 2, 1, 1 })
			for range 3 {
				time.Sleep(defaultPollInterval / 2)
				<-be.submit(t.Context(), requester.Fields{Adapter: "x"})
			}
			wanted := be.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(defaultPollInterval)
			be.en.set(func() { be.en.running["x@1"]-- })
			if an := <-wanted; an.err != nil || be.en.evictedInUse > 0 {
				t.Errorf("%d evictions in use, error %v", be.en.evictedInUse, an.err)
			}
		},
		"deferrable work waits for a gap, and is urgent at its latest start": func(t *testing.T, be *bench) {
			<-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			var ends []<-chan answer
			for range 20 {
				ends = append(ends, be.submit(t.Context(), requester.Fields{Adapter: "a", ID: "now", Organisation: "o"}))
			}
			late := be.submit(t.Context(), requester.Fields{
				Adapter: "a", ID: "late", Organisation: "p", Urgency: requester.UrgencyDeferrable,
				Deadline: time.Now().Add(6 * time.Second),
			})
			if an := <-late; an.err != nil {
				t.Errorf("deferrable: %v", an.err)
			}
			be.en.set(func() {
				if at := slices.Index(be.en.started, "late"); at < 3 {
					t.Errorf("deferrable work was number %d to start", at)
				}
			})
			for _, ended := range ends {
				if an := <-ended; an.err != nil {
					t.Errorf("urgent: %v", an.err)
				}
			}
		},
		"work longer than its deadline is refused at once": func(t *testing.T, be *bench) {
			<-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			before := time.Now()
			an := <-be.submit(t.Context(), requester.Fields{Adapter: "a", Deadline: time.Now().Add(engineRunTime / 2)})
			rf := requester.AsRefusal(an.err)
			if rf.Code() != requester.CodeDeadline || rf.Outcome() != requester.OutcomeNotRun || time.Now() != before {
				t.Errorf("error %v after %v", an.err, time.Since(before))
			}
		},
		"a queue too long for the deadline refuses at once and tells when to come back": func(t *testing.T, be *bench) {
			<-be.submit(t.Context(), requester.Fields{Adapter: "a"})
			for range 20 {
				be.submit(t.Context(), requester.Fields{Adapter: "a"})
			}
			before := time.Now()
			an := <-be.submit(t.Context(), requester.Fields{Adapter: "a", Deadline: time.Now().Add(5 * time.Second)})
			rf := requester.AsRefusal(an.err)
			if rf.Code() != requester.CodeQueueFull || rf.Outcome() != requester.OutcomeNotRun || time.Now() != before {
				t.Errorf("error %v after %v", an.err, time.Since(before))
			}
			if rf.RetryAfter() < time.Second {
				t.Errorf("retry after %v", rf.RetryAfter())
			}
		},
		"suspects run one at a time": func(t *testing.T, be *bench) {
			first := be.submit(t.Context(), requester.Fields{Adapter: "a", Attempt: 1})
			second := be.submit(t.Context(), requester.Fields{Adapter: "a", Attempt: 1})
			beside := be.submit(t.Context(), requester.Fields{Adapter: "a"})
			<-first
			<-beside
			if an := <-second; an.us.Queued() < engineRunTime {
				t.Errorf("second suspect queued %v", an.us.Queued())
			}
		},
		"an organisation with a burst does not move another's wait": func(t *testing.T, be *bench) {
			for range 40 {
				be.submit(t.Context(), requester.Fields{Adapter: "a", Organisation: "burst"})
			}
			time.Sleep(engineLoadTime)
			if an := <-be.submit(t.Context(), requester.Fields{Adapter: "a", Organisation: "calm"}); an.err != nil ||
				an.us.Queued() > engineRunTime {
				t.Errorf("queued %v, error %v", an.us.Queued(), an.err)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, startBench(t)) })
		})
	}
}

// TestQueuedBeforeFirstReportWithoutLease queues a request before the first load report has come. Without a lease
// nobody may load its adapter, so it must be sent elsewhere and not wait for its deadline.
func TestQueuedBeforeFirstReportWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		be := startBench(t)
		be.en.set(func() { be.en.held = false })
		started := time.Now()
		an := <-be.submit(t.Context(), requester.Fields{ID: "r", Adapter: "a"})
		if rf := requester.AsRefusal(an.err); rf == nil || rf.Code() != requester.CodeNoTarget {
			t.Fatalf("ended with %v, want a refusal that goes elsewhere", an.err)
		}
		if waited := time.Since(started); waited > 5*time.Second {
			t.Errorf("refused after %s", waited)
		}
	})
}
