package keeper

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/wire"
)

func (ke *Keeper) postpone(by time.Duration) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.renewAt = time.Now().Add(by)
}

func (ke *Keeper) grant(ctx context.Context) {
	before := ke.op.BootTime()
	lease, ttl, err := ke.op.Grant(ctx, leaseTime)
	if err != nil {
		ke.op.Logger.Warn("no lease", "error", err)
		ke.postpone(retryEvery)
		return
	}
	ke.mu.Lock()
	ke.lease, ke.registered, ke.validUntil = lease, false, before+ttl
	leaving := ke.leaving
	ke.mu.Unlock()
	if leaving {
		// The lease holds no key and ends by itself.
		return
	}
	ke.register(ctx)
}

// register writes this instance's entry, on condition that it still holds what it held before its lease ended.
func (ke *Keeper) register(ctx context.Context) {
	value, err := proto.Marshal(&wire.InstanceEntry{
		Address: ke.op.Address, FailureDomain: ke.op.FailureDomain, Start: ke.op.Start,
	})
	if err != nil {
		ke.op.Logger.Error("encode instance entry", "error", err)
		return
	}
	tx := platform.Transaction{Expected: ke.expectHeld()}
	ke.mu.Lock()
	tx.Writes = []platform.Write{{Key: instancePrefix + ke.op.Name, Value: value, Lease: ke.lease}}
	ke.mu.Unlock()
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.registrationFailed(err)
		return
	}
	ke.mu.Lock()
	if ke.registeredAt.IsZero() {
		ke.registeredAt = time.Now()
	}
	ke.registered, ke.revision, ke.era = true, revision, max(ke.era, platform.Era(revision))
	ke.renewAt = time.Now().Add(renewEvery)
	held := len(ke.held)
	ke.mu.Unlock()
	ke.op.Logger.Info("registered", "revision", revision, "held", held)
}

func (ke *Keeper) registrationFailed(err error) {
	ke.op.Logger.Warn("not registered", "error", err)
	ke.mu.Lock()
	switch {
	case errors.Is(err, platform.ErrConflict):
		clear(ke.held)
	case errors.Is(err, platform.ErrNotFound):
		ke.lease, ke.validUntil = platform.Lease{}, 0
	}
	ke.renewAt = time.Now().Add(retryEvery)
	ke.mu.Unlock()
	ke.op.Changed()
}

func (ke *Keeper) expectHeld() []platform.Expectation {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	expected := make([]platform.Expectation, 0, len(ke.held))
	for target, te := range ke.held {
		if platform.Era(te.epoch) < ke.era {
			// The store is to confirm it first.
			continue
		}
		if len(expected) == 2*maxClaims {
			delete(ke.held, target)
			continue
		}
		expected = append(expected, platform.Expectation{Key: holderPrefix + target, Revision: te.epoch})
	}
	return expected
}

func (ke *Keeper) renew(ctx context.Context) {
	ke.mu.Lock()
	lease := ke.lease
	ke.mu.Unlock()
	before := ke.op.BootTime()
	ttl, err := ke.op.Renew(ctx, lease)
	ke.mu.Lock()
	defer ke.mu.Unlock()
	switch {
	case err == nil:
		ke.validUntil = max(ke.validUntil, before+ttl)
		ke.renewAt = time.Now().Add(renewEvery)
	case errors.Is(err, platform.ErrLeaseEnded):
		ke.op.Logger.Warn("lease ended", "lease", lease)
		ke.lease, ke.registered, ke.validUntil = platform.Lease{}, false, 0
		ke.lapsedAt = time.Now()
		ke.renewAt = time.Time{}
	default:
		ke.op.Logger.Warn("lease not renewed", "lease", lease, "valid-for", ke.validUntil-ke.op.BootTime(), "error", err)
		ke.renewAt = time.Now().Add(retryEvery)
	}
}

func (ke *Keeper) troubled() bool {
	return ke.op.StoreFailed(leaseTime) || !ke.lapsedAt.IsZero() && time.Since(ke.lapsedAt) < leaseTime
}
