package supervisor

import (
	"context"
	"errors"
	"time"

	"lovagebank/balancer"
	"lovagebank/keeper"
	"lovagebank/platform"
	"lovagebank/router"
)

// noteCall remembers whether the store answered a call.
func (su *Supervisor) noteCall(began time.Time, err error) {
	if errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnknown) {
		su.trouble.RecordFailure(began)
		return
	}
	su.trouble.RecordAnswer(began)
}

func (su *Supervisor) list(ctx context.Context, prefix string, stale bool) (platform.Page, error) {
	began := time.Now()
	pa, err := su.store.List(ctx, prefix, stale)
	su.noteCall(began, err)
	return pa, err
}

func (su *Supervisor) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error) {
	began := time.Now()
	pa, err := su.store.Watch(ctx, prefix, after, wait)
	if ctx.Err() == nil {
		su.noteCall(began, err)
	}
	return pa, err
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
			su.noteCall(began, err)
			return lease, granted, err
		},
		Renew: func(ctx context.Context, lease platform.Lease) (time.Duration, error) {
			began := time.Now()
			ttl, err := su.store.Renew(ctx, lease)
			su.noteCall(began, err)
			return ttl, err
		},
		End: su.store.End,
		Transact: func(ctx context.Context, tx platform.Transaction) (int64, error) {
			began := time.Now()
			revision, err := su.store.Transact(ctx, tx)
			su.noteCall(began, err)
			return revision, err
		},
		Candidates:      func() []keeper.Candidate { return su.holdings.candidates() },
		StoreFailed:     su.trouble.FailedWithin,
		Changed:         func() { su.holdings.nudge() },
		InstanceRemoved: su.instanceGone,
		Logger:          su.logger,
	})
}

// takeOperator takes in a change of the operator's keys.
func (su *Supervisor) takeOperator(it platform.Item) {
	su.operatorChange.Store(max(su.operatorChange.Load(), it.Revision))
	if it.Deleted {
		return
	}
	if it.Key == platform.ConfigurationKey {
		su.takeConfiguration(it)
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
	// What is read at the start or around an outage of the store may have been named long ago.
	fresh := su.operatorWatcher.Listed() && !su.trouble.FailedWithin(troubleMemory)
	su.releaser.Announce(av.Adapter, av.Version, fresh)
	su.logger.Info("adapter version named", "adapter", av.Adapter, "version", av.Version, "revision", it.Revision, "fresh", fresh)
	su.holdings.nudge()
}

// takeConfiguration puts a configuration in force, unless a newer one is.
func (su *Supervisor) takeConfiguration(it platform.Item) {
	cf, err := platform.DecodeConfiguration(it.Value, it.Revision)
	if err != nil {
		su.logger.Warn("configuration skipped, the one before stays", "revision", it.Revision, "error", err)
		return
	}
	current := su.configuration.Load()
	if current != nil && current.Revision() >= cf.Revision() {
		return
	}
	if current != nil && current.Version() > cf.Version() {
		su.logger.Warn("configuration skipped, a newer one is in force", "version", cf.Version(), "in-force", current.Version(),
			"revision", it.Revision)
		return
	}
	su.configuration.Store(cf)
	su.logAllowances(current, cf)
	su.logger.Info("configuration in force", "version", cf.Version(), "revision", cf.Revision())
	su.holdings.nudge()
}

// logAllowances writes a line for each organisation whose allowance differs from that of the configuration before.
func (su *Supervisor) logAllowances(before, now *router.Configuration) {
	old := make(map[string]*router.Organisation)
	if before != nil {
		for _, og := range before.Organisations() {
			old[og.Name()] = og
		}
	}
	for _, og := range now.Organisations() {
		if known, ok := old[og.Name()]; ok && known.Rate() == og.Rate() && known.Burst() == og.Burst() {
			continue
		}
		su.logger.Info("allowance", "organisation", og.Name(), "rate", og.Rate(), "burst", og.Burst(), "version", now.Version())
	}
}

// takeTarget takes in a change of the registered targets.
func (su *Supervisor) takeTarget(it platform.Item) {
	id := platform.TargetID(it.Key)
	if it.Deleted {
		su.targetGone(id, it.Revision)
		return
	}
	ta, err := platform.DecodeTarget(it.Key, it.Value)
	if err != nil {
		su.logger.Warn("target skipped", "target", id, "revision", it.Revision, "error", err)
		su.targetGone(id, it.Revision)
		return
	}
	if su.departed.names(ta, it.Revision) {
		su.logger.Warn("target skipped, it is gone", "target", id, "revision", it.Revision)
		return
	}
	known, ok := su.balancer.Target(id)
	if ok && known.SameStart(ta) && known.Draining() && !ta.Draining() {
		su.logger.Warn("target skipped, it is leaving", "target", id, "revision", it.Revision)
		return
	}
	if ok && ta.Started().Before(known.Started()) {
		su.logger.Warn("target skipped, its entry is of an earlier start", "target", id, "revision", it.Revision)
		return
	}
	if ok && !known.SameStart(ta) {
		su.forwarder.Remove(id)
	}
	su.balancer.SetTarget(ta)
	if !ok || known.Draining() != ta.Draining() || !known.SameStart(ta) {
		su.logger.Info("target", "target", id, "address", ta.Address(), "service", ta.Service(),
			"draining", ta.Draining(), "started", ta.Started().UnixMilli(), "revision", it.Revision)
	}
	su.holdings.nudge()
}

// targetLeaving has no more requests sent to a target that an answer or a peer says is leaving.
func (su *Supervisor) targetLeaving(le balancer.Leaver) {
	if su.balancer.MarkLeaving(le) {
		su.logger.Info("target leaving", "target", le.Target, "started", le.Started.UnixMilli())
	}
}

func (su *Supervisor) targetGone(id string, revision int64) {
	ta, ok := su.balancer.Target(id)
	if !ok {
		return
	}
	su.departed.note(ta, revision)
	su.balancer.RemoveTarget(id)
	su.forwarder.Remove(id)
	su.logger.Info("target gone", "target", id, "revision", revision)
	su.holdings.nudge()
}
