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

// fakeEngine is a target in the fake time of synctest. A request takes engineRunTime, and a load engineLoadTime.
type fakeEngine struct {
	mu             sync.Mutex
	boot           string
	adapters       map[string]bool
	running        map[string]int
	started        []string
	failLoad       error
	held           bool
	fencing        uint64
	connectionLost bool
	// evictedInUse is the number of unloads of adapters with a running request.
	evictedInUse int
}

const (
	engineRunTime  = time.Second
	engineLoadTime = 250 * time.Millisecond
)

func newFakeEngine() *fakeEngine {
	return &fakeEngine{boot: "1", adapters: map[string]bool{}, running: map[string]int{}, held: true, fencing: 1}
}

func (en *fakeEngine) invoke(
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
	if en.boot != boot || en.connectionLost {
		return requester.Usage{}, requester.RefuseTargetLost("lost")
	}
	return requester.NewUsage(1, rq.MaxTokens(), rq.Adapter(), rq.Version(), 0, 0), nil
}

func (en *fakeEngine) load(ctx context.Context, model string, _ uint64) error {
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

func (en *fakeEngine) unload(_ context.Context, model string, _ uint64) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.running[model] > 0 {
		en.evictedInUse++
	}
	delete(en.adapters, model)
	return nil
}

func (en *fakeEngine) poll(context.Context) (invoker.LoadReport, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	var reps []invoker.AdapterReport
	for name := range en.adapters {
		reps = append(reps, invoker.AdapterReport{Name: name, Running: en.running[name], State: invoker.StateLoaded})
	}
	return invoker.NewLoadReport(en.boot, 2, 2, 0, 0, reps, time.Now()), nil
}

func (en *fakeEngine) holds() (uint64, time.Time, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.fencing, time.Now().Add(time.Minute), en.held
}

// update calls a function that changes the engine, with the lock held.
func (en *fakeEngine) update(change func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	change()
}

// result holds the return values of Submit.
type result struct {
	us  requester.Usage
	err error
}

// harness runs a scheduler with a fake engine as its target.
type harness struct {
	en     *fakeEngine
	sc     *Scheduler
	cancel context.CancelFunc
}

func startHarness(t *testing.T) *harness {
	t.Helper()
	return startHarnessWith(t, newFakeEngine())
}

// startHarnessWith starts a scheduler for an engine that is in its initial state.
func startHarnessWith(t *testing.T, en *fakeEngine) *harness {
	t.Helper()
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
	return &harness{en, sc, cancel}
}

func (ha *harness) submit(ctx context.Context, fields requester.Fields) <-chan result {
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
	ended := make(chan result, 1)
	go func() {
		us, err := ha.sc.Submit(ctx, requester.New(fields), requester.Sink{})
		ended <- result{us, err}
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
	tests := map[string]func(*testing.T, *harness){
		"reports the wait for an adapter load": func(t *testing.T, ha *harness) {
			rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			if rs.err != nil || rs.us.LoadWait() != engineLoadTime {
				t.Errorf("load wait %v, error %v", rs.us.LoadWait(), rs.err)
			}
			if rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"}); rs.us.LoadWait() != 0 {
				t.Errorf("load wait of the second request %v", rs.us.LoadWait())
			}
		},
		"refuses as not run after a failed load": func(t *testing.T, ha *harness) {
			ha.en.update(func() { ha.en.failLoad = errors.New("failed") })
			rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			if rf := requester.AsRefusal(rs.err); rf.Code() != requester.CodeLoadFailed ||
				rf.Outcome() != requester.OutcomeNotRun {
				t.Errorf("error %v", rs.err)
			}
		},
		"removes a cancelled request from the queue": func(t *testing.T, ha *harness) {
			ctx, cancel := context.WithCancel(t.Context())
			ended := ha.submit(ctx, requester.Fields{Adapter: "a"})
			cancel()
			if rs := <-ended; requester.AsRefusal(rs.err).Outcome() != requester.OutcomeNotRun {
				t.Errorf("error %v", rs.err)
			}
		},
		"refuses queued requests and lets running ones end after the lease is lost": func(t *testing.T, ha *harness) {
			runs := ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(engineLoadTime + time.Millisecond)
			ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			queued := ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			ha.en.update(func() { ha.en.held = false })
			if rs := <-queued; code(rs.err) != requester.CodeWrongHolder {
				t.Errorf("queued: %v", rs.err)
			}
			if rs := <-runs; rs.err != nil {
				t.Errorf("running: %v", rs.err)
			}
		},
		"drains after running requests end": func(t *testing.T, ha *harness) {
			runs := ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(engineLoadTime + time.Millisecond)
			if err := ha.sc.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			select {
			case rs := <-runs:
				if rs.err != nil {
					t.Errorf("running: %v", rs.err)
				}
			default:
				t.Error("drained while a request runs")
			}
			if rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"}); code(rs.err) != requester.CodeWrongHolder {
				t.Errorf("new request: %v", rs.err)
			}
		},
		"loses running requests and reloads adapters after a target restart": func(t *testing.T, ha *harness) {
			runs := ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(engineLoadTime + time.Millisecond)
			ha.en.update(func() { ha.en.boot = "2"; clear(ha.en.adapters) })
			if rs := <-runs; !requester.AsRefusal(rs.err).TargetLost() {
				t.Errorf("running: %v", rs.err)
			}
			if rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"}); rs.err != nil || rs.us.LoadWait() == 0 {
				t.Errorf("after the restart: %v, wait %v", rs.err, rs.us.LoadWait())
			}
		},
		"reports no crash after a lost connection to a running target": func(t *testing.T, ha *harness) {
			ha.en.update(func() { ha.en.connectionLost = true })
			rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			if rf := requester.AsRefusal(rs.err); rf.Code() != requester.CodeTargetLost || rf.TargetLost() {
				t.Errorf("error %v", rs.err)
			}
		},
		"evicts nothing during a new holder's eviction delay": func(t *testing.T, ha *harness) {
			ha.en.update(func() { ha.en.adapters["x@1"], ha.en.adapters["y@1"] = true, true })
			time.Sleep(2 * time.Second)
			ha.en.update(func() { ha.en.fencing = 2 })
			time.Sleep(leaseCheckInterval)
			rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			if wait := rs.us.LoadWait(); rs.err != nil || wait < engineLoadTime+400*time.Millisecond {
				t.Errorf("load wait %v, error %v", wait, rs.err)
			}
		},
		"does not evict adapters with a previous holder's requests while its own run": func(t *testing.T, ha *harness) {
			ha.en.update(func() { ha.en.adapters["x@1"], ha.en.adapters["y@1"] = true, true })
			time.Sleep(2 * time.Second)
			// The previous holder's long request still runs on each adapter.
			ha.en.update(func() { ha.en.fencing, ha.en.running["x@1"], ha.en.running["y@1"] = 2, 1, 1 })
			for range 3 {
				time.Sleep(defaultPollInterval / 2)
				<-ha.submit(t.Context(), requester.Fields{Adapter: "x"})
			}
			waiting := ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			time.Sleep(defaultPollInterval)
			ha.en.update(func() { ha.en.running["x@1"]-- })
			if rs := <-waiting; rs.err != nil || ha.en.evictedInUse > 0 {
				t.Errorf("%d evictions in use, error %v", ha.en.evictedInUse, rs.err)
			}
		},
		"holds deferrable requests back and starts them in time for their deadline": func(t *testing.T, ha *harness) {
			<-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			var pending []<-chan result
			for range 20 {
				pending = append(pending,
					ha.submit(t.Context(), requester.Fields{Adapter: "a", ID: "now", Organisation: "o"}))
			}
			late := ha.submit(t.Context(), requester.Fields{
				Adapter: "a", ID: "late", Organisation: "p", Urgency: requester.UrgencyDeferrable,
				Deadline: time.Now().Add(6 * time.Second),
			})
			if rs := <-late; rs.err != nil {
				t.Errorf("deferrable: %v", rs.err)
			}
			ha.en.update(func() {
				if at := slices.Index(ha.en.started, "late"); at < 3 {
					t.Errorf("the deferrable request was number %d to start", at)
				}
			})
			for _, ended := range pending {
				if rs := <-ended; rs.err != nil {
					t.Errorf("urgent: %v", rs.err)
				}
			}
		},
		"refuses a request longer than its deadline at once": func(t *testing.T, ha *harness) {
			<-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			before := time.Now()
			rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a", Deadline: time.Now().Add(engineRunTime / 2)})
			rf := requester.AsRefusal(rs.err)
			if rf.Code() != requester.CodeDeadline || rf.Outcome() != requester.OutcomeNotRun || time.Now() != before {
				t.Errorf("error %v after %v", rs.err, time.Since(before))
			}
		},
		"refuses at once with a retry time when the queue is too long for the deadline": func(t *testing.T, ha *harness) {
			<-ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			for range 20 {
				ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			}
			before := time.Now()
			rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a", Deadline: time.Now().Add(5 * time.Second)})
			rf := requester.AsRefusal(rs.err)
			if rf.Code() != requester.CodeQueueFull || rf.Outcome() != requester.OutcomeNotRun || time.Now() != before {
				t.Errorf("error %v after %v", rs.err, time.Since(before))
			}
			if rf.RetryAfter() < time.Second {
				t.Errorf("retry after %v", rf.RetryAfter())
			}
		},
		"runs suspect requests one at a time": func(t *testing.T, ha *harness) {
			first := ha.submit(t.Context(), requester.Fields{Adapter: "a", Attempt: 1})
			second := ha.submit(t.Context(), requester.Fields{Adapter: "a", Attempt: 1})
			other := ha.submit(t.Context(), requester.Fields{Adapter: "a"})
			<-first
			<-other
			if rs := <-second; rs.us.Queued() < engineRunTime {
				t.Errorf("second suspect queued %v", rs.us.Queued())
			}
		},
		"keeps an organisation's wait short during another's burst": func(t *testing.T, ha *harness) {
			for range 40 {
				ha.submit(t.Context(), requester.Fields{Adapter: "a", Organisation: "burst"})
			}
			time.Sleep(engineLoadTime)
			if rs := <-ha.submit(t.Context(), requester.Fields{Adapter: "a", Organisation: "calm"}); rs.err != nil ||
				rs.us.Queued() > engineRunTime {
				t.Errorf("queued %v, error %v", rs.us.Queued(), rs.err)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, startHarness(t)) })
		})
	}
}

// TestRefusesRequestQueuedBeforeFirstReportWithoutLease guards against a request that arrives before the first load
// report and waits for its deadline. Without a lease its adapter can't be loaded here, so the request must go to
// another target: at once if there has never been a lease, and by way of the new holder if the lease was lost.
func TestRefusesRequestQueuedBeforeFirstReportWithoutLease(t *testing.T) {
	tests := map[string]struct {
		heldBefore bool
		code       requester.Code
	}{
		"never held": {false, requester.CodeNoTarget},
		"lost":       {true, requester.CodeWrongHolder},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				en := newFakeEngine()
				en.held = tt.heldBefore
				ha := startHarnessWith(t, en)
				if tt.heldBefore {
					synctest.Wait()
					ha.en.update(func() { ha.en.held = false })
				}
				started := time.Now()
				rs := <-ha.submit(t.Context(), requester.Fields{ID: "r", Adapter: "a"})
				if rf := requester.AsRefusal(rs.err); rf == nil || rf.Code() != tt.code {
					t.Fatalf("ended with %v, want a refusal with code %s", rs.err, tt.code)
				}
				if waited := time.Since(started); waited > 5*time.Second {
					t.Errorf("refused after %s", waited)
				}
			})
		})
	}
}
