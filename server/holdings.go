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

// idleHolding is how long a scheduler without a lease and without requests is kept.
const idleHolding = 30 * time.Second

// holdings are the schedulers of the targets that this instance serves: those whose lease it holds and, while no
// instance can hold a lease, those that peers send to it.
type holdings struct {
	server *Server
	budget *scheduler.LoadBudget
	ctx    context.Context //nolint:containedctx // the life of the schedulers, not of a call
	stop   context.CancelFunc

	mu       sync.Mutex
	draining bool
	byTarget map[string]*holding
}

// holding is one target's scheduler.
type holding struct {
	scheduler *scheduler.Scheduler
	cancel    context.CancelFunc
	// orders is read-locked while an order is on its way to the target.
	orders *sync.RWMutex
	inUse  int
	used   time.Time
}

func newHoldings(sv *Server) *holdings {
	ctx, stop := context.WithCancel(context.Background())
	return &holdings{
		server: sv, budget: scheduler.NewLoadBudget(sv.loadShare), ctx: ctx, stop: stop,
		byTarget: make(map[string]*holding),
	}
}

// submit runs a request on a target, if this instance may serve it.
func (ho *holdings) submit(ctx context.Context, target string, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	tg := ho.server.findTarget(target)
	if tg == nil || tg.GetFailureDomain() != ho.server.settings.FailureDomain() {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "The target is not served here.", peerRetry)
	}
	if ho.server.heldElsewhere(target) {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "Another instance holds the target.", 0)
	}
	hd := ho.acquire(tg)
	if hd == nil {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "The instance is leaving.", peerRetry)
	}
	defer ho.release(hd)
	return hd.scheduler.Submit(ctx, rq, sink)
}

// heldElsewhere tells whether another instance may act as the holder of a target. Once the holder has been gone for
// longer than it may act, and nobody has taken over because the store is away, the target is served for the adapters
// that it has, without orders.
func (sv *Server) heldElsewhere(target string) bool {
	holder, ok := sv.leases.Holder(leaser.TargetName(target))
	if ok && holder == sv.identity {
		return false
	}
	return sv.absences.mayAct(tenure{target: target, holder: holder}, ok && sv.findMember(holder) != nil, time.Now())
}

func (ho *holdings) acquire(tg *wire.Target) *holding {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.draining {
		return nil
	}
	hd := ho.byTarget[tg.GetId()]
	if hd == nil {
		hd = ho.start(tg)
		ho.byTarget[tg.GetId()] = hd
	}
	hd.inUse++
	return hd
}

func (ho *holdings) release(hd *holding) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	hd.inUse--
	hd.used = time.Now()
}

func (ho *holdings) start(tg *wire.Target) *holding {
	sv := ho.server
	id := tg.GetId()
	resource := leaser.TargetName(id)
	orders := &sync.RWMutex{}
	sc := scheduler.New(scheduler.Options{
		Target:   tg,
		Instance: sv.identity,
		Holds:    func() (uint64, time.Time, bool) { return sv.leases.Holds(resource) },
		Invoke: func(ctx context.Context, rq *requester.Request, fencing uint64, sink requester.Sink) (requester.Usage, error) {
			return sv.invoker.Invoke(ctx, sv.freshTarget(tg), rq, fencing, sink)
		},
		Load: func(ctx context.Context, model string, fencing uint64) error {
			return sv.order(orders, resource, func() error {
				return sv.invoker.LoadAdapter(ctx, sv.freshTarget(tg), model, fencing)
			})
		},
		Unload: func(ctx context.Context, model string, fencing uint64) error {
			return sv.order(orders, resource, func() error {
				return sv.invoker.UnloadAdapter(ctx, sv.freshTarget(tg), model, fencing)
			})
		},
		Poll: func(ctx context.Context) (invoker.LoadReport, error) {
			return sv.invoker.FetchLoadReport(ctx, sv.freshTarget(tg))
		},
		IsSuspect:               sv.dispatcher.IsSuspect,
		LoadBudget:              ho.budget,
		EvictionDelay:           settleTime,
		MaxQueue:                int(sv.settings.Limits().QueueLength()),
		MaxQueuePerOrganisation: int(sv.settings.Limits().OrganisationQueueLength()),
	})
	ctx, cancel := context.WithCancel(ho.ctx)
	go sc.Run(ctx)
	return &holding{scheduler: sc, cancel: cancel, orders: orders, used: time.Now()}
}

// order sends an order to a target while this instance holds it.
func (sv *Server) order(orders *sync.RWMutex, resource string, send func() error) error {
	orders.RLock()
	defer orders.RUnlock()
	if _, _, held := sv.leases.Holds(resource); !held {
		return errLeaseLost
	}
	return send()
}

// quiesce returns when no order of this instance is on its way to a target. By then the lease is given up, so that no
// further one starts.
func (ho *holdings) quiesce(target string) {
	ho.mu.Lock()
	hd := ho.byTarget[target]
	ho.mu.Unlock()
	if hd == nil {
		return
	}
	hd.orders.Lock()
	defer hd.orders.Unlock()
}

// settleTime is how long a new holder evicts nothing: longer than an old holder may act and a load report lags.
const settleTime = 3 * time.Second

// sweep ends the schedulers of targets that are neither held nor used any more.
func (ho *holdings) sweep() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for id, hd := range ho.byTarget {
		_, _, held := ho.server.leases.Holds(leaser.TargetName(id))
		if held && ho.server.findTarget(id) != nil {
			continue
		}
		if hd.inUse == 0 && time.Since(hd.used) > idleHolding {
			hd.cancel()
			delete(ho.byTarget, id)
		}
	}
}

// reports returns the state of all targets served here.
func (ho *holdings) reports() []*wire.TargetReport {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	reports := make([]*wire.TargetReport, 0, len(ho.byTarget))
	for _, hd := range ho.byTarget {
		reports = append(reports, hd.scheduler.Report())
	}
	return reports
}

// reportAtEnd returns the state of a target as one of its requests ends; nil if the target is not served here. The
// request counts as running until its answer has arrived, as the entry instance counts it too.
func (ho *holdings) reportAtEnd(target string) *wire.TargetReport {
	ho.mu.Lock()
	hd := ho.byTarget[target]
	ho.mu.Unlock()
	if hd == nil {
		return nil
	}
	state := hd.scheduler.Report()
	return &wire.TargetReport{
		Target: state.GetTarget(), Holder: state.GetHolder(), Fencing: state.GetFencing(), Slots: state.GetSlots(),
		Running: state.GetRunning() + 1, Queued: state.GetQueued(), Adapters: state.GetAdapters(),
	}
}

// drain lets running requests finish and sends queued ones back to their entry instances.
func (ho *holdings) drain(ctx context.Context) {
	ho.mu.Lock()
	ho.draining = true
	held := make([]*holding, 0, len(ho.byTarget))
	for _, hd := range ho.byTarget {
		held = append(held, hd)
	}
	ho.mu.Unlock()
	var drained sync.WaitGroup
	for _, hd := range held {
		drained.Go(func() { _ = hd.scheduler.Drain(ctx) })
	}
	drained.Wait()
}

// close ends all schedulers.
func (ho *holdings) close() {
	ho.stop()
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for _, hd := range ho.byTarget {
		<-hd.scheduler.Done()
	}
}
