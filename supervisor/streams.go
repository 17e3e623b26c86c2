package supervisor

import (
	"context"
	"math/rand/v2"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/resumer"
	"lovagebank/router"
)

func (su *Supervisor) newResumer() *resumer.Resumer {
	return resumer.New(resumer.Options{
		Get: func(ctx context.Context, key string) (platform.Item, error) {
			began := time.Now()
			it, err := su.store.Get(ctx, key)
			su.recordCall(ctx, began, err)
			return it, err
		},
		List: func(ctx context.Context, prefix string) (platform.Page, error) {
			return su.list(ctx, prefix, false)
		},
		Transact:    su.transact,
		Era:         su.store.Era,
		Routes:      su.streamRoutes,
		UpToDate:    func() bool { return su.ownWatcher.Listed() && su.targetWatcher.Listed() },
		InStep:      su.inStep,
		Current:     su.current,
		StoreFailed: su.storeFailures.FailedWithin,
		Random:      rand.Float64,
		Logger:      su.logger,
	})
}

// inStepMargin is how much longer than two exchanges a peer may be silent and still be in step.
const inStepMargin = 400 * time.Millisecond

// inStep reports whether this instance has recently received updates from all instances that the store lists, and none
// of them has a newer copy of the targets or of the operator's keys.
func (su *Supervisor) inStep() bool {
	own := su.revisions()
	for _, in := range su.keeper.Instances() {
		if !in.Present {
			continue
		}
		if su.exchanger.SilentFor(in.Name) > 2*su.exchanger.Interval()+inStepMargin {
			return false
		}
		if peer := su.peerRevisions.of(in.Name); peer.targets > own.targets || peer.operator > own.operator {
			return false
		}
	}
	return true
}

// current reports whether the store or a reader keeps this instance's copies of the store's keys up to date, or no other
// instance has newer ones.
func (su *Supervisor) current() bool {
	for index, wa := range su.watchers() {
		if !wa.Current() && !su.follower.Follows(index) {
			return su.inStep()
		}
	}
	return true
}

// streamRoutes returns the routes with streams.
func (su *Supervisor) streamRoutes() []resumer.Route {
	cf := su.configuration.Load()
	if cf == nil {
		return nil
	}
	var routes []resumer.Route
	for _, rt := range cf.Routes() {
		if rt.Kind() == router.Stream {
			routes = append(routes, resumer.Route{
				Prefix: resumer.NewPlace(rt.Host(), rt.Prefix()), Name: rt.Name(), Timeout: rt.Timeout(),
				Targets: su.streamTargets(rt),
			})
		}
	}
	return routes
}

// streamTargets returns the number of targets that may begin streams of a route, by origin.
func (su *Supervisor) streamTargets(rt *router.Route) map[resumer.Origin]int {
	targets := make(map[resumer.Origin]int)
	for _, name := range rt.Services() {
		for software, count := range su.balancer.Software(name) {
			targets[resumer.Origin{Service: name, Software: software}] = count
		}
	}
	return targets
}

// readTimeout limits the reading of a target's entry for a stream that waits for it.
const readTimeout = 500 * time.Millisecond

// readTarget returns a target as the store lists it now.
func (su *Supervisor) readTarget(ctx context.Context, id string) (*balancer.Target, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	it, err := su.store.Get(ctx, platform.TargetKey(id))
	su.recordCall(ctx, began, err)
	if err != nil {
		return nil, err
	}
	return platform.DecodeTarget(it.Key, it.Value)
}

// sameStart reports whether the process that a target runs now is the one that its entry in this instance's copy
// describes. An engine says in its reports when it has started; for the others, and where it does not say so, the store is
// asked.
func (su *Supervisor) sameStart(ctx context.Context, ta *balancer.Target) bool {
	if su.isEngine(ta) {
		if re, err := su.targets.Report(ctx, ta); err == nil && !re.Started.IsZero() {
			return su.expectStart(ta, re.Started, "report")
		}
	}
	now, err := su.readTarget(ctx, ta.ID())
	if err != nil {
		su.logger.Info("stream not sent on: start of target not known", "target", ta.ID(), "error", err)
		return false
	}
	return su.expectStart(ta, now.Started(), "entry")
}

// expectStart reports whether a target's entry is that of the given start.
func (su *Supervisor) expectStart(ta *balancer.Target, started time.Time, source string) bool {
	if started.Equal(ta.Started()) {
		return true
	}
	su.logger.Info("stream not sent on: target has started again", "target", ta.ID(), "software", ta.Software(),
		"started", started.UnixMilli(), "listed", ta.Started().UnixMilli(), "source", source)
	return false
}

func (su *Supervisor) isEngine(ta *balancer.Target) bool {
	cf := su.configuration.Load()
	if cf == nil {
		return false
	}
	service, ok := cf.Service(ta.Service())
	return ok && service.Engine() != nil
}
