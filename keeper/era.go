package keeper

import (
	"time"

	"lovagebank/platform"
)

const (
	// confirmTimeout is how long after a store rollback a target remains held without an entry of the new era.
	confirmTimeout = 2 * time.Second
	// rollbackWindow is how long after a store rollback claims wait for a full lease: a holder whose claim was lost may send
	// orders until its own lease has expired.
	rollbackWindow = 2 * leaseTime
)

// StoreRolledBack records that the store was rolled back to an older copy and is now in the given era. All leases are lost, and
// claims may be. This instance keeps ordering its held targets for as long as its lease would have lasted, because an instance
// that claims in the new era waits longer than that. If its lease has already expired, it drops its held targets: another
// instance may have claimed them in the previous era, and the store has lost that claim.
func (ke *Keeper) StoreRolledBack(era int64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.rolledBackAt = time.Now()
	ke.era = era
	ke.renewAt = time.Time{}
	if ke.op.BootTime() >= ke.validUntil-leaseMargin {
		clear(ke.held)
	}
}

// RecordEarlierRollback records that the store was rolled back the given time ago, possibly before this process started.
func (ke *Keeper) RecordEarlierRollback(ago time.Duration) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if _, known := ke.sinceRollback(); !known {
		ke.rolledBackAt = time.Now().Add(-ago)
	}
}

// RenewNow schedules the next lease renewal for now.
func (ke *Keeper) RenewNow() { ke.scheduleRenewal(0) }

// SinceRollback returns the time since the last store rollback; false if there was none within twice the lease time.
func (ke *Keeper) SinceRollback() (time.Duration, bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.sinceRollback()
}

func (ke *Keeper) sinceRollback() (time.Duration, bool) {
	since := time.Since(ke.rolledBackAt)
	return since, !ke.rolledBackAt.IsZero() && since < rollbackWindow
}

// dropUnconfirmed drops held targets for which the store has not reported an entry of this instance in the new era.
func (ke *Keeper) dropUnconfirmed() {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if since, ok := ke.sinceRollback(); !ok || since < confirmTimeout {
		return
	}
	for target, ht := range ke.held {
		if platform.Era(ht.epoch) < ke.era {
			delete(ke.held, target)
			ke.op.Logger.Warn("target lost, claim is from an earlier era of the store", "target", target, "epoch", ht.epoch)
		}
	}
}
