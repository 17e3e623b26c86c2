package server

import (
	"context"
	"sync"
	"time"

	"lovagebank/invoker"
	"lovagebank/leaser"
	"lovagebank/requester"
	"lovagebank/scheduler"
	"lovagebank/wire"
)

// schedulerIdleTimeout is how long a scheduler is kept without a lease and without requests.
const schedulerIdleTimeout = 30 * time.Second

// targetSchedulers contains the schedulers of the targets that this instance serves: the targets whose lease it holds
// and, while no instance can hold a lease, the targets for which peers send it requests.
type targetSchedulers struct {
	server *Server
	budget *scheduler.LoadBudget
	ctx    context.Context //nolint:containedctx // the lifetime of the schedulers, not of a call
	stop   context.CancelFunc

	mu       sync.Mutex
	draining bool
	byTarget map[string]*schedulerEntry
}

// schedulerEntry is the scheduler of one target, with its usage.
type schedulerEntry struct {
	scheduler *scheduler.Scheduler
	cancel    context.CancelFunc
	// ordersMu is read-locked while an order is being sent to the target.
	ordersMu        *sync.RWMutex
	pendingRequests int
	lastUsed        time.Time
}

func newTargetSchedulers(sv *Server) *targetSchedulers {
	ctx, stop := context.WithCancel(context.Background())
	return &targetSchedulers{
		server: sv, budget: scheduler.NewLoadBudget(sv.loadShare), ctx: ctx, stop: stop,
		byTarget: make(map[string]*schedulerEntry),
	}
}

// submit runs a request on a target, or refuses it if this instance may not serve the target.
func (ts *targetSchedulers) submit(ctx context.Context, target string, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	tg := ts.server.findTarget(target)
	if tg == nil || tg.GetFailureDomain() != ts.server.settings.FailureDomain() {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "The target is not served here.", peerRetryAfter)
	}
	if ts.server.heldElsewhere(target) {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "Another instance holds the target.", 0)
	}
	se := ts.acquire(tg)
	if se == nil {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "The instance is leaving.", peerRetryAfter)
	}
	defer ts.release(se)
	return se.scheduler.Submit(ctx, rq, sink)
}

// heldElsewhere reports whether another instance may act as the holder of a target. If the holder has been absent for
// longer than it may act, and no instance has taken over because the store is unreachable, the target is served with
// the adapters that it has loaded, without orders.
func (sv *Server) heldElsewhere(target string) bool {
	holder, ok := sv.leases.Holder(leaser.TargetName(target))
	if ok && holder == sv.identity {
		return false
	}
	return sv.absences.mayAct(targetHolder{target: target, holder: holder}, ok && sv.findMember(holder) != nil, time.Now())
}

func (ts *targetSchedulers) acquire(tg *wire.Target) *schedulerEntry {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.draining {
		return nil
	}
	se := ts.byTarget[tg.GetId()]
	if se == nil {
		se = ts.start(tg)
		ts.byTarget[tg.GetId()] = se
	}
	se.pendingRequests++
	return se
}

func (ts *targetSchedulers) release(se *schedulerEntry) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	se.pendingRequests--
	se.lastUsed = time.Now()
}

func (ts *targetSchedulers) start(tg *wire.Target) *schedulerEntry {
	sv := ts.server
	id := tg.GetId()
	resource := leaser.TargetName(id)
	ordersMu := &sync.RWMutex{}
	sc := scheduler.New(scheduler.Options{
		Target:   tg,
		Instance: sv.identity,
		Holds:    func() (uint64, time.Time, bool) { return sv.leases.Holds(resource) },
		Invoke: func(ctx context.Context, rq *requester.Request, fencing uint64, sink requester.Sink) (requester.Usage, error) {
			return sv.invoker.Invoke(ctx, sv.currentTarget(tg), rq, fencing, sink)
		},
		Load: func(ctx context.Context, model string, fencing uint64) error {
			return sv.order(ordersMu, resource, func() error {
				return sv.invoker.LoadAdapter(ctx, sv.currentTarget(tg), model, fencing)
			})
		},
		Unload: func(ctx context.Context, model string, fencing uint64) error {
			return sv.order(ordersMu, resource, func() error {
				return sv.invoker.UnloadAdapter(ctx, sv.currentTarget(tg), model, fencing)
			})
		},
		Poll: func(ctx context.Context) (invoker.LoadReport, error) {
			return sv.invoker.FetchLoadReport(ctx, sv.currentTarget(tg))
		},
		IsSuspect:               sv.dispatcher.IsSuspect,
		LoadBudget:              ts.budget,
		EvictionDelay:           evictionDelay,
		MaxQueue:                int(sv.settings.Limits().QueueLength()),
		MaxQueuePerOrganisation: int(sv.settings.Limits().OrganisationQueueLength()),
	})
	ctx, cancel := context.WithCancel(ts.ctx)
	go sc.Run(ctx)
	return &schedulerEntry{scheduler: sc, cancel: cancel, ordersMu: ordersMu, lastUsed: time.Now()}
}

// order sends an order to a target if this instance holds the lease of the target.
func (sv *Server) order(ordersMu *sync.RWMutex, resource string, send func() error) error {
	ordersMu.RLock()
	defer ordersMu.RUnlock()
	if _, _, held := sv.leases.Holds(resource); !held {
		return errLeaseLost
	}
	return send()
}

// waitForOrders waits until no order of this instance to a target is in progress. The lease has been released before,
// so that no further order starts.
func (ts *targetSchedulers) waitForOrders(target string) {
	ts.mu.Lock()
	se := ts.byTarget[target]
	ts.mu.Unlock()
	if se == nil {
		return
	}
	se.ordersMu.Lock()
	defer se.ordersMu.Unlock()
}

// evictionDelay is how long a new holder evicts no adapter. It is longer than an old holder may act and than a load
// report lags.
const evictionDelay = 3 * time.Second

// removeIdle stops the schedulers of targets that are no longer held or no longer exist, once they have been idle for
// schedulerIdleTimeout.
func (ts *targetSchedulers) removeIdle() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, se := range ts.byTarget {
		_, _, held := ts.server.leases.Holds(leaser.TargetName(id))
		if held && ts.server.findTarget(id) != nil {
			continue
		}
		if se.pendingRequests == 0 && time.Since(se.lastUsed) > schedulerIdleTimeout {
			se.cancel()
			delete(ts.byTarget, id)
		}
	}
}

// reports returns the state of all targets that this instance serves.
func (ts *targetSchedulers) reports() []*wire.TargetReport {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	reports := make([]*wire.TargetReport, 0, len(ts.byTarget))
	for _, se := range ts.byTarget {
		reports = append(reports, se.scheduler.Report())
	}
	return reports
}

// reportWithEndingRequest returns the state of a target when one of its requests ends, or nil if this instance does not
// serve the target. The request still counts as running, because the entry instance also counts it until the answer has
// arrived.
func (ts *targetSchedulers) reportWithEndingRequest(target string) *wire.TargetReport {
	ts.mu.Lock()
	se := ts.byTarget[target]
	ts.mu.Unlock()
	if se == nil {
		return nil
	}
	state := se.scheduler.Report()
	return &wire.TargetReport{
		Target: state.GetTarget(), Holder: state.GetHolder(), Fencing: state.GetFencing(), Slots: state.GetSlots(),
		Running: state.GetRunning() + 1, Queued: state.GetQueued(), Adapters: state.GetAdapters(),
	}
}

// drain waits for running requests and returns queued ones to their entry instances.
func (ts *targetSchedulers) drain(ctx context.Context) {
	ts.mu.Lock()
	ts.draining = true
	entries := make([]*schedulerEntry, 0, len(ts.byTarget))
	for _, se := range ts.byTarget {
		entries = append(entries, se)
	}
	ts.mu.Unlock()
	var drained sync.WaitGroup
	for _, se := range entries {
		drained.Go(func() { _ = se.scheduler.Drain(ctx) })
	}
	drained.Wait()
}

// close stops all schedulers and waits for them.
func (ts *targetSchedulers) close() {
	ts.stop()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, se := range ts.byTarget {
		<-se.scheduler.Done()
	}
}
