package keeper

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/sleeper"
	"lovagebank/wire"
)

// claimTargets claims targets that need a holder and deletes the holder entries of removed targets.
func (ke *Keeper) claimTargets(ctx context.Context) {
	candidates := ke.op.Candidates()
	now := time.Now()
	ke.mu.Lock()
	if !ke.registered || ke.leaving {
		ke.mu.Unlock()
		return
	}
	_, rolledBack := ke.sinceRollback()
	claims := ke.view.claims(candidates, ke.held, claimConditions{
		now: now, boot: ke.op.BootTime(), registeredAt: ke.registeredAt, storeFailed: ke.storeFailed(),
		era: ke.era, rolledBack: rolledBack,
	})
	departed := ke.view.departed(candidates, now)
	tx := ke.claimTransaction(claims, departed)
	ke.mu.Unlock()
	if len(claims)+len(departed) == 0 {
		return
	}
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.op.Logger.Warn("claim failed", "targets", len(claims), "error", err)
		sleeper.For(ctx, retryInterval)
		return
	}
	ke.recordClaims(claims, departed, revision)
}

func (ke *Keeper) claimTransaction(claims []claim, departed []string) platform.Transaction {
	tx := platform.Transaction{Expected: []platform.Expectation{{Key: instancePrefix + ke.op.Name, Revision: ke.revision}}}
	absent := make(map[string]bool)
	for _, cl := range claims {
		key := holderPrefix + cl.target
		value, err := proto.Marshal(&wire.TargetHolder{Instance: ke.op.Name, OrdersFromMs: cl.from.Milliseconds(), Era: ke.era})
		if err != nil {
			ke.op.Logger.Error("encode holder entry", "error", err)
			return platform.Transaction{}
		}
		tx.Expected = append(tx.Expected, platform.Expectation{Key: key, Revision: cl.record.revision})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
		if cl.record.instance != "" && cl.record.instance != ke.op.Name {
			absent[cl.record.instance] = true
		}
	}
	for name := range absent {
		tx.Expected = append(tx.Expected, platform.Expectation{Key: instancePrefix + name})
	}
	for _, target := range departed {
		tx.Deletes = append(tx.Deletes, holderPrefix+target)
	}
	return tx
}

func (ke *Keeper) recordClaims(claims []claim, departed []string, revision int64) {
	ke.mu.Lock()
	for _, cl := range claims {
		era := platform.Era(revision)
		ke.held[cl.target] = heldTarget{epoch: revision, from: cl.from, era: era}
		ke.view.holders[cl.target] = holderRecord{instance: ke.op.Name, revision: revision, ordersFrom: cl.from, era: era}
	}
	for _, target := range departed {
		delete(ke.held, target)
		delete(ke.view.holders, target)
	}
	ke.mu.Unlock()
	for _, cl := range claims {
		ke.op.Logger.Info("target held", "target", cl.target, "epoch", revision, "before", cl.record.instance, "wait", cl.wait)
	}
	ke.op.Changed()
}

// clearWaits writes to the store, just before the first order, that the wait of a claim is over. A later process on this
// machine then need not wait, even if the machine has lost power and its boot time has restarted from zero. Entries written in
// an earlier era of the store are rewritten.
func (ke *Keeper) clearWaits(ctx context.Context) {
	tx := platform.Transaction{}
	var targets []string
	ke.mu.Lock()
	value, err := proto.Marshal(&wire.TargetHolder{Instance: ke.op.Name, Era: ke.era})
	if err != nil {
		ke.mu.Unlock()
		ke.op.Logger.Error("encode holder entry", "error", err)
		return
	}
	for target, ht := range ke.held {
		left := ht.from - ke.op.BootTime()
		if ht.waitCleared || left > clearWaitLead || !ke.registered || len(targets) == maxClaims || platform.Era(ht.epoch) < ke.era {
			continue
		}
		ht.waitCleared = true
		ke.held[target] = ht
		if left <= 0 && ht.era == ke.era {
			continue
		}
		targets = append(targets, target)
		tx.Expected = append(tx.Expected, platform.Expectation{Key: holderPrefix + target, Revision: ht.epoch})
		tx.Writes = append(tx.Writes, platform.Write{Key: holderPrefix + target, Value: value})
	}
	ke.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.op.Logger.Warn("holder waits not cleared", "targets", len(targets), "error", err)
		return
	}
	ke.recordClearedWaits(targets, revision)
}

func (ke *Keeper) recordClearedWaits(targets []string, revision int64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	for _, target := range targets {
		ht, ok := ke.held[target]
		if !ok {
			continue
		}
		ht.epoch, ht.era = revision, platform.Era(revision)
		ke.held[target] = ht
		ke.view.holders[target] = holderRecord{instance: ke.op.Name, revision: revision, era: ht.era}
	}
	ke.op.Logger.Info("holder waits cleared", "targets", len(targets), "epoch", revision)
}
