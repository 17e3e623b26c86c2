package watcher

import (
	"context"
	"time"

	"lovagebank/platform"
	"lovagebank/sleeper"
)

const (
	// recheckInterval is the time between two checks of deferred removals.
	recheckInterval = 50 * time.Millisecond
	// keepAfterRecovery is the minimum time for which a key that disappears is kept after the store answers again. Live
	// writers come back within two seconds of the store's return, which precedes that answer.
	keepAfterRecovery = 2 * time.Second
	// keepAfterRollback is the time for which a key that disappears is kept after a store rollback, in which its writer
	// writes it again.
	keepAfterRollback = 5 * time.Second
	// maxDeferral is the longest time for which a removal is deferred while the store answers. Outages that follow each
	// other would defer it for ever.
	maxDeferral = keepAfterRollback
)

// deferredRemoval is a removal of a key that is not carried out yet, as the key's writer may only have lost its lease.
type deferredRemoval struct {
	// item is the removal; it holds as long as nothing newer is known of the key.
	item platform.Item
	// since is when it was deferred, and until the time until which it is.
	since, until time.Time
}

// deferRemoval defers the removal of a key if the key may be disappearing now only because its lease has lapsed; the lock
// is held. A removal that is deferred already is not deferred for longer.
func (wa *Watcher) deferRemoval(it platform.Item) bool {
	now := time.Now()
	if dr, ok := wa.deferredRemovals[it.Key]; ok {
		dr.item.Revision = max(dr.item.Revision, it.Revision)
		wa.deferredRemovals[it.Key] = dr
		return true
	}
	until := wa.deferredUntil()
	if !until.After(now) {
		return false
	}
	wa.op.Logger.Info("removal of key deferred", "key", it.Key, "revision", it.Revision, "for-ms", until.Sub(now).Milliseconds(),
		"failure-ms", time.Since(wa.op.Failures.LastFailure()).Milliseconds())
	wa.deferredRemovals[it.Key] = deferredRemoval{item: it, since: now, until: until}
	wa.history.deferred()
	return true
}

// deferPeerRemoval records a removal that a peer still defers for the given time.
func (wa *Watcher) deferPeerRemoval(it platform.Item, left time.Duration) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	current, ok := wa.items[it.Key]
	if _, deferred := wa.deferredRemovals[it.Key]; !ok || deferred || it.Revision < current.Revision {
		return
	}
	now := time.Now()
	wa.op.Logger.Info("removal of key deferred", "key", it.Key, "revision", it.Revision, "for-ms", left.Milliseconds(), "source", "peer")
	wa.deferredRemovals[it.Key] = deferredRemoval{item: it, since: now, until: now.Add(min(max(left, 0), maxDeferral))}
	wa.history.deferred()
}

// deferredUntil returns the time until which removals that arrive now are deferred; the lock is held.
func (wa *Watcher) deferredUntil() time.Time {
	var until time.Time
	if !wa.recoveredAt.IsZero() {
		until = wa.recoveredAt.Add(keepAfterRecovery)
	}
	if !wa.rolledBackAt.IsZero() {
		until = later(until, wa.rolledBackAt.Add(keepAfterRollback))
	}
	if failed := wa.op.Failures.LastFailure(); !failed.IsZero() {
		until = later(until, failed.Add(wa.op.KeepAfterFailure))
	}
	return until
}

// due reports whether a deferred removal is to be carried out; the lock is held. While the store is unreachable, and for a
// time after it is back, a writer that has come back may not be known.
func (wa *Watcher) due(dr deferredRemoval, now time.Time) bool {
	switch {
	case now.Before(dr.until) || wa.recovered != nil:
		return false
	case now.Sub(dr.since) > maxDeferral:
		return true
	default:
		return now.Sub(wa.recoveredAt) >= keepAfterRecovery && (!wa.rolledBackAt.After(dr.since) || now.Sub(wa.rolledBackAt) >= keepAfterRollback)
	}
}

// applyDeferredRemovals removes the keys whose writers have not come back in time.
func (wa *Watcher) applyDeferredRemovals(ctx context.Context) {
	for sleeper.For(ctx, recheckInterval) {
		for _, it := range wa.dueRemovals() {
			wa.op.Logger.Warn("key removed after store outage", "key", it.Key, "revision", it.Revision)
			wa.apply(it, source{certain: true})
		}
	}
}

func (wa *Watcher) dueRemovals() []platform.Item {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	now := time.Now()
	var due []platform.Item
	for _, dr := range wa.deferredRemovals {
		if wa.due(dr, now) {
			due = append(due, dr.item)
		}
	}
	return due
}

// DefersRemoval reports whether the removal of a key is deferred.
func (wa *Watcher) DefersRemoval(key string) bool {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	_, ok := wa.deferredRemovals[key]
	return ok
}

// confirm gives up the deferred removal of a key that a listing of the store, made after the removal, still has; the lock
// is held. The copy of a peer says nothing, as the peer may defer the removal too.
func (wa *Watcher) confirm(it platform.Item, so source) {
	if dr, ok := wa.deferredRemovals[it.Key]; ok && !so.certain && so.complete > dr.item.Revision {
		delete(wa.deferredRemovals, it.Key)
	}
}

// removedSince reports whether a key that the copy does not have was removed after the given state of it; the lock is
// held. An answer of the store or a peer's copy may arrive later than a newer one.
func (wa *Watcher) removedSince(it platform.Item, so source) bool {
	if removed, ok := wa.history.removed[it.Key]; ok && it.Revision <= removed.Revision {
		return so.certain || so.complete <= removed.Revision
	}
	return it.Revision <= wa.revision && so.complete <= wa.revision
}
