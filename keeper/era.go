package keeper

import (
	"time"

	"lovagebank/platform"
)

const (
	// confirmTime is how long after the store came back from an older copy a held target counts as held without an entry.
	confirmTime = 2 * time.Second
	// stepMemory is how long after that claims wait for a whole lease: a holder whose claim is lost may order until its own
	// lease has run out.
	stepMemory = 2 * leaseTime
)

// StoreRolledBack notes that the store has come back from an older copy. Leases are gone, and claims may be. This instance goes
// on ordering what it holds for as long as its lease would have lasted, as whoever claims in the new era waits longer than
// that. Where its lease has run out by now others may have claimed in the era before, of which the store no longer knows.
func (ke *Keeper) StoreRolledBack(era int64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.steppedBackAt = time.Now()
	ke.era = era
	ke.renewAt = time.Time{}
	if ke.op.BootTime() >= ke.validUntil-leaseMargin {
		clear(ke.held)
	}
}

// RecordEarlierRollback notes that the store came back from an older copy some time ago, perhaps before this process began.
func (ke *Keeper) RecordEarlierRollback(ago time.Duration) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if _, known := ke.sinceStepBack(); !known {
		ke.steppedBackAt = time.Now().Add(-ago)
	}
}

// RenewNow has the lease renewed at once.
func (ke *Keeper) RenewNow() { ke.postpone(0) }

// SinceRollback is how long ago the store came back from an older copy; false where it did not of late.
func (ke *Keeper) SinceRollback() (time.Duration, bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.sinceStepBack()
}

func (ke *Keeper) sinceStepBack() (time.Duration, bool) {
	since := time.Since(ke.steppedBackAt)
	return since, !ke.steppedBackAt.IsZero() && since < stepMemory
}

// dropUnconfirmed drops targets of which the store has not told in the new era that they are held here.
func (ke *Keeper) dropUnconfirmed() {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if since, ok := ke.sinceStepBack(); !ok || since < confirmTime {
		return
	}
	for target, te := range ke.held {
		if platform.Era(te.epoch) < ke.era {
			delete(ke.held, target)
			ke.op.Logger.Warn("target lost, its claim is of an earlier era of the store", "target", target, "epoch", te.epoch)
		}
	}
}
