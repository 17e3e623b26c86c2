package acceptor

import (
	"context"
	"time"

	"lovagebank/balancer"
	"lovagebank/orderer"
	"lovagebank/provisioner"
)

const (
	// maxLoads limits the targets that are asked to load an adapter for one request.
	maxLoads = 5
	// loadTimeout limits the wait for one target to load an adapter.
	loadTimeout = 1500 * time.Millisecond
	// slotWaitShare is the share of the latency objective that a request may wait for a free adapter slot.
	slotWaitShare = 0.8
)

// load asks the target's holder to load the adapter. A target that fails to load it is not tried again.
func (ex *exchange) load(ch *balancer.Choice) {
	ex.loads++
	ex.outcome.loadTargets = append(ex.outcome.loadTargets, ch.Target().ID())
	started := time.Now()
	ctx, cancel := context.WithTimeout(ex.ctx, loadTimeout)
	defer cancel()
	want := ex.loadRequest()
	err := ex.ac.op.LoadAdapter(ctx, ch.Holder(), ch.Target(), orderer.Request{Requirement: want, MaxWait: ex.maxSlotWait()})
	ex.outcome.loadWait += time.Since(started)
	if err != nil {
		ex.outcome.recordError(err)
		ex.excluded[ch.Target().ID()] = true
		return
	}
	ex.recordLoaded(ch.Target(), want)
}

// recordLoaded records that a target has loaded an adapter.
func (ex *exchange) recordLoaded(ta *balancer.Target, want provisioner.Requirement) {
	ex.ac.op.Balancer.MarkLoaded(ta.ID(), want.Adapter, max(want.Version, 1))
}

// loadRequest returns the request's adapter in its newest version.
func (ex *exchange) loadRequest() provisioner.Requirement {
	return provisioner.Requirement{Adapter: ex.caller.Adapter, Version: ex.ac.op.NewestVersion(ex.caller.Adapter)}
}

// maxSlotWait returns how long the request may wait for a free adapter slot. The first targets refuse at once, so that
// another target is asked. At the last target the request waits as long as the response can still be in time.
func (ex *exchange) maxSlotWait() time.Duration {
	if ex.loads < maxLoads {
		return 0
	}
	return max(ex.timeUntilShare(slotWaitShare), 0)
}

// loadReplica starts loading the adapter on a further target, if the balancer proposes one, and does not wait for it.
func (ex *exchange) loadReplica(ch *balancer.Choice) {
	if ch.Replica() == nil {
		return
	}
	want, load := ex.loadRequest(), ex.ac.op.LoadAdapter
	want.ExtraReplica = !ch.Urgent()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		if err := load(ctx, ch.ReplicaHolder(), ch.Replica(), orderer.Request{Requirement: want}); err == nil {
			ex.recordLoaded(ch.Replica(), want)
		}
	}()
}
