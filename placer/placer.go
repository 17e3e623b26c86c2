// Package placer picks the target for each model request. An adapter's preferred targets come from rendezvous hashing,
// so that all instances of a failure domain agree without communication; load bounds and measured demand spread popular
// adapters over more targets.
package placer

import (
	"sync"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Options configures a Placer. Zero values mean defaults.
type Options struct {
	// FailureDomain and Region are the instance's own. Targets of the region share one order of preference; those of
	// other regions are used only if the region's own targets are overloaded or unavailable.
	FailureDomain string
	Region        string
	// Instances returns the number of entry instances that share the region's requests; nil means one.
	Instances func() int
	// MaxReplicas is the maximum number of targets that an adapter is spread over before load bounds are hit.
	MaxReplicas int
	// EjectionFloor is the share of the candidates that stay in use even if they fail.
	EjectionFloor float64
}

// The defaults of Options.
const (
	defaultMaxReplicas   = 16
	defaultEjectionFloor = 0.5

	kindEngine    = "engine"
	noTargetRetry = 2 * time.Second
	// fullQueueWait is added to the wait recorded when a target refuses a request because its queue is full.
	fullQueueWait = 5 * time.Second
)

// Placer picks targets for requests. Its methods may be called from any goroutine.
type Placer struct {
	options Options

	mu      sync.Mutex
	table   table
	targets map[string]*targetState
	demands demands
	backoff backoffs
	scratch preferred
}

// New returns a placer without targets.
func New(options Options) *Placer {
	if options.Instances == nil {
		options.Instances = func() int { return 1 }
	}
	if options.MaxReplicas == 0 {
		options.MaxReplicas = defaultMaxReplicas
	}
	if options.EjectionFloor == 0 {
		options.EjectionFloor = defaultEjectionFloor
	}
	return &Placer{
		options: options,
		targets: map[string]*targetState{},
		demands: newDemands(),
		backoff: newBackoffs(),
	}
}

// Update replaces the targets by the current membership. Leaving targets get no new requests.
func (pl *Placer) Update(targets []*wire.Target) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	current := make(map[string]*targetState, len(targets))
	for _, tg := range targets {
		if tg.GetKind() != "" && tg.GetKind() != kindEngine {
			continue
		}
		ts := pl.targets[tg.GetId()]
		if ts == nil {
			ts = newTargetState(tg)
		}
		ts.target = tg
		current[tg.GetId()] = ts
	}
	pl.targets = current
	pl.table = newTable(current, pl.options.Region)
}

// Observe merges the reports of the targets' holders. As reports lag, requests that this instance has started since are
// added to the reported load.
func (pl *Placer) Observe(reports []*wire.TargetReport) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, report := range reports {
		if ts := pl.targets[report.GetTarget()]; ts != nil {
			ts.observe(report, time.Now())
		}
	}
}

// Choose picks a target that is not excluded by its ID, and counts the request as in flight on it until Finished. If no
// target can serve the request, it returns a refusal with requester.CodeNoTarget.
func (pl *Placer) Choose(rq *requester.Request, exclude []string) (*wire.Target, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := time.Now()
	key := adapterKey{rq.Adapter(), rq.Version()}
	ts := pl.pick(rq, key, exclude, now)
	if ts == nil {
		return nil, requester.Refuse(requester.CodeNoTarget, "no target can serve the adapter now", noTargetRetry)
	}
	ts.inFlight++
	pl.demands.started(key, now)
	return ts.target, nil
}

// Finished ends the request that Choose counted, and updates the target's waits, failures and backoffs from its outcome.
// took includes the time queued.
func (pl *Placer) Finished(tg *wire.Target, rq *requester.Request, us requester.Usage, took time.Duration, err error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := time.Now()
	key := adapterKey{rq.Adapter(), rq.Version()}
	pl.demands.finished(key, now)
	ts := pl.targets[tg.GetId()]
	if ts == nil {
		return
	}
	ts.inFlight = max(ts.inFlight-1, 0)
	rf := requester.AsRefusal(err)
	if rf == nil {
		ts.recordWait(rq.Organisation(), us.Queued(), now)
		ts.succeeded(key, us, took-us.Queued())
		pl.backoff.clear(backoffKey{tg.GetId(), key})
		return
	}
	switch rf.Code() {
	case requester.CodeQueueFull:
		ts.recordWait(rq.Organisation(), took+rf.RetryAfter()+fullQueueWait, now)
	case requester.CodeTargetLost, requester.CodeTargetFailed:
		ts.failed(now)
	case requester.CodeLoadFailed, requester.CodeWrongAdapter:
		pl.backoff.recordFailure(backoffKey{tg.GetId(), key}, now)
	}
}
