// Package placer picks the target for each model request. An adapter's preferred targets come from rendezvous hashing,
// so that all instances of a failure domain agree without talking; load bounds and measured demand spread popular
// adapters over more targets.
package placer

import (
	"sync"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Options sets how targets are picked. Zero values mean defaults.
type Options struct {
	// FailureDomain and Region are the instance's own. Targets of the region share one order of preference; those of
	// other regions are used only when the region's are overloaded or gone.
	FailureDomain string
	Region        string
	// Instances returns the number of entry instances that share the region's requests; nil means one.
	Instances func() int
	// MaxReplicas bounds the targets that an adapter is spread over before load bounds are hit.
	MaxReplicas int
	// EjectionFloor is the part of the candidates that stay in use however they fare.
	EjectionFloor float64
}

// The defaults of Options.
const (
	defaultMaxReplicas   = 16
	defaultEjectionFloor = 0.5

	kindEngine    = "engine"
	noTargetRetry = 2 * time.Second
	// fullQueueWait is added to the wait that a refusal for a full queue tells of.
	fullQueueWait = 5 * time.Second
)

// Placer picks targets. Its methods may be called from any goroutine.
type Placer struct {
	options Options

	mu      sync.Mutex
	table   table
	targets map[string]*targetState
	demands demands
	backoff backoffs
	scratch picks
}

// New makes a placer without targets.
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

// Update takes the targets as membership knows them now. Leaving targets get no new requests.
func (pl *Placer) Update(targets []*wire.Target) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	known := make(map[string]*targetState, len(targets))
	for _, tg := range targets {
		if tg.GetKind() != "" && tg.GetKind() != kindEngine {
			continue
		}
		ts := pl.targets[tg.GetId()]
		if ts == nil {
			ts = newTargetState(tg)
		}
		ts.target = tg
		known[tg.GetId()] = ts
	}
	pl.targets = known
	pl.table = newTable(known, pl.options.Region)
}

// Observe takes the reports of targets' holders. They lag; what this instance has in flight since is added.
func (pl *Placer) Observe(reports []*wire.TargetReport) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, report := range reports {
		if ts := pl.targets[report.GetTarget()]; ts != nil {
			ts.observe(report, time.Now())
		}
	}
}

// Choose picks a target that is not excluded, and counts the request as in flight on it until Finished.
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

// Finished ends what Choose began, and learns from how the request fared on the target.
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
		ts.waited(rq.Organisation(), us.Queued(), now)
		ts.succeeded(key, us, took-us.Queued())
		pl.backoff.clear(backoffKey{tg.GetId(), key})
		return
	}
	switch rf.Code() {
	case requester.CodeQueueFull:
		ts.waited(rq.Organisation(), took+rf.RetryAfter()+fullQueueWait, now)
	case requester.CodeTargetLost, requester.CodeTargetFailed:
		ts.failed(now)
	case requester.CodeLoadFailed, requester.CodeWrongAdapter:
		pl.backoff.failed(backoffKey{tg.GetId(), key}, now)
	}
}
