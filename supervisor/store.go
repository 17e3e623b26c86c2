package supervisor

import (
	"context"
	"errors"
	"strings"
	"time"

	"lovagebank/balancer"
	"lovagebank/keeper"
	"lovagebank/platform"
	"lovagebank/router"
	"lovagebank/watcher"
)

// silentStoreTime is how long a call has to have waited for the store to count as a failure of the store if its issuer ended it.
const silentStoreTime = time.Second

// recordCall records whether the store answered a call that began at the given time. A call that its issuer ended
// before the store had to answer says nothing about the store: its caller has left, or would not wait for long.
func (su *Supervisor) recordCall(ctx context.Context, began time.Time, err error) {
	failed := errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnknown)
	switch {
	case failed && ctx.Err() != nil && time.Since(began) < silentStoreTime:
	case failed:
		su.storeFailures.RecordFailure(began)
	default:
		su.storeFailures.RecordAnswer(began)
	}
}

func (su *Supervisor) list(ctx context.Context, prefix string, stale bool) (platform.Page, error) {
	began := time.Now()
	pa, err := su.store.List(ctx, prefix, stale)
	su.recordCall(ctx, began, err)
	return pa, err
}

func (su *Supervisor) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error) {
	began := time.Now()
	pa, err := su.store.Watch(ctx, prefix, after, wait)
	cut := errors.Is(err, platform.ErrWatchCut) && wait > watcher.ProbeWait
	if ctx.Err() == nil && !cut {
		su.recordCall(ctx, began, err)
	}
	return pa, err
}

// transact executes a transaction in the store.
func (su *Supervisor) transact(ctx context.Context, tx platform.Transaction) (int64, error) {
	began := time.Now()
	revision, err := su.store.Transact(ctx, tx)
	su.recordCall(ctx, began, err)
	return revision, err
}

func (su *Supervisor) newKeeper() *keeper.Keeper {
	return keeper.New(keeper.Options{
		Name:          su.settings.IP(),
		Address:       su.peerAddress(),
		FailureDomain: su.settings.FailureDomain(),
		Start:         su.start,
		HandoverDelay: su.settings.HandoverDelay(),
		Grant: func(ctx context.Context, ttl time.Duration) (platform.Lease, time.Duration, error) {
			began := time.Now()
			lease, granted, err := su.store.Grant(ctx, ttl)
			su.recordCall(ctx, began, err)
			return lease, granted, err
		},
		Renew: func(ctx context.Context, lease platform.Lease) (time.Duration, error) {
			began := time.Now()
			ttl, err := su.store.Renew(ctx, lease)
			su.recordCall(ctx, began, err)
			return ttl, err
		},
		End:             su.store.End,
		Transact:        su.transact,
		Candidates:      func() []keeper.Candidate { return su.holdings.candidates() },
		StoreFailed:     su.storeFailures.FailedWithin,
		Changed:         func() { su.holdings.triggerRefresh() },
		InstanceRemoved: su.removeInstance,
		Logger:          su.logger,
	})
}

// applyOperatorChange applies a change of the operator's keys.
func (su *Supervisor) applyOperatorChange(it platform.Item) {
	su.operatorChange.Store(max(su.operatorChange.Load(), it.Revision))
	if platform.IsEvacuation(it.Key) {
		su.applyEvacuation(it)
		return
	}
	if it.Deleted {
		return
	}
	if it.Key == platform.ConfigurationKey {
		su.applyConfiguration(it)
		return
	}
	if !platform.IsAdapterVersion(it.Key) {
		return
	}
	av, err := platform.DecodeAdapterVersion(it.Value)
	if err != nil {
		su.logger.Warn("entry skipped", "key", it.Key, "revision", it.Revision, "error", err)
		return
	}
	// A version read at the start or around an outage of the store may have been announced long ago.
	fresh := su.operatorWatcher.Listed() && !su.storeFailures.FailedWithin(recentFailureWindow)
	su.releaser.Announce(av.Adapter, av.Version, fresh)
	su.logger.Info("adapter version announced", "adapter", av.Adapter, "version", av.Version, "revision", it.Revision, "fresh", fresh)
	su.holdings.triggerRefresh()
}

// applyConfiguration puts a configuration in force unless a newer one is already in force.
func (su *Supervisor) applyConfiguration(it platform.Item) {
	cf, err := platform.DecodeConfiguration(it.Value, it.Revision)
	if err != nil {
		su.logger.Warn("invalid configuration skipped", "revision", it.Revision, "error", err)
		return
	}
	current := su.configuration.Load()
	if current != nil && current.Revision() >= cf.Revision() {
		return
	}
	if current != nil && current.Version() > cf.Version() {
		su.logger.Warn("configuration skipped: newer version in force", "version", cf.Version(), "in-force", current.Version(),
			"revision", it.Revision)
		return
	}
	su.configuration.Store(cf)
	su.logQuotas(current, cf)
	su.logger.Info("configuration in force", "version", cf.Version(), "revision", cf.Revision())
	if problems := cf.Problems(); len(problems) > 0 {
		su.logger.Warn("configuration partly invalid", "version", cf.Version(), "problems", len(problems),
			"first", strings.Join(problems[:min(len(problems), maxLoggedProblems)], "; "))
	}
	su.learnColdness(current, cf)
	su.holdings.triggerRefresh()
}

// maxLoggedProblems limits the problems of one configuration that are logged.
const maxLoggedProblems = 5

// logQuotas logs each organisation whose quota differs from its quota in the previous configuration.
func (su *Supervisor) logQuotas(before, now *router.Configuration) {
	old := make(map[string]*router.Organisation)
	if before != nil {
		for _, og := range before.Organisations() {
			old[og.Name()] = og
		}
	}
	for _, og := range now.Organisations() {
		if previous, ok := old[og.Name()]; ok && previous.Rate() == og.Rate() && previous.Burst() == og.Burst() {
			continue
		}
		su.logger.Info("allowance", "organisation", og.Name(), "rate", og.Rate(), "burst", og.Burst(), "version", now.Version())
	}
}

// applyTargetChange applies a change of the registered targets.
func (su *Supervisor) applyTargetChange(it platform.Item) {
	id := platform.TargetID(it.Key)
	if it.Deleted {
		su.removeTarget(id, it.Revision)
		return
	}
	ta, err := platform.DecodeTarget(it.Key, it.Value)
	if err != nil {
		su.logger.Warn("target skipped", "target", id, "revision", it.Revision, "error", err)
		su.removeTarget(id, it.Revision)
		return
	}
	if su.departed.isStale(ta, it.Revision) {
		su.logger.Warn("target skipped: already removed", "target", id, "revision", it.Revision)
		return
	}
	current, ok := su.balancer.Target(id)
	if ok && current.SameStart(ta) && current.Draining() && !ta.Draining() {
		su.logger.Warn("target skipped: leaving", "target", id, "revision", it.Revision)
		return
	}
	if ok && ta.Started().Before(current.Started()) {
		su.logger.Warn("target skipped: entry of an earlier start", "target", id, "revision", it.Revision)
		return
	}
	if ok && !current.SameStart(ta) {
		su.forwarder.Remove(id)
	}
	su.balancer.SetTarget(ta)
	su.recordColdEntry(ta, it, !ok || !current.SameStart(ta))
	if ta.Draining() && (!ok || !current.Draining()) {
		su.discardUnread(id)
	}
	if !ok || current.Draining() != ta.Draining() || !current.SameStart(ta) {
		su.logger.Info("target", "target", id, "address", ta.Address(), "service", ta.Service(),
			"software", ta.Software(), "draining", ta.Draining(), "started", ta.Started().UnixMilli(), "revision", it.Revision)
	}
	su.holdings.triggerRefresh()
}

// Sources of a report that a target is leaving, for the log.
const (
	leavingFromAnswer = "answer"
	leavingFromReport = "report"
	leavingFromPeer   = "peer"
)

// markTargetLeaving stops sending requests to a target that an answer or a peer has reported as leaving.
func (su *Supervisor) markTargetLeaving(ts balancer.Start, source string) {
	if su.balancer.MarkLeaving(ts) {
		su.discardUnread(ts.Target)
		su.logger.Info("target leaving", "target", ts.Target, "started", ts.Started.UnixMilli(), "source", source)
	}
}

// unreadTime is how long the bytes of a request may be on their way to a target that leaves: much longer than on a path
// that works.
const unreadTime = 300 * time.Millisecond

// discardUnread ends the requests whose bytes have not reached a target that leaves, once they have had the time.
func (su *Supervisor) discardUnread(target string) {
	time.AfterFunc(unreadTime, func() { su.forwarder.DiscardUnread(target, unreadTime) })
}

func (su *Supervisor) removeTarget(id string, revision int64) {
	ta, ok := su.balancer.Target(id)
	if !ok {
		return
	}
	su.departed.record(ta, revision)
	su.balancer.RemoveTarget(id)
	su.throttler.Remove(id)
	su.permitter.Remove(id)
	su.estimator.Remove(id)
	su.malformed.remove(id)
	su.malformedPaces.remove(id)
	su.speedChanges.remove(id)
	su.forwarder.DiscardUnread(id, unreadTime)
	su.forwarder.Remove(id)
	su.logger.Info("target removed", "target", id, "revision", revision)
	su.holdings.triggerRefresh()
}
