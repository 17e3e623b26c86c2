package keeper

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/pauser"
	"lovagebank/platform"
	"lovagebank/wire"
)

// claim claims targets that need a holder, and deletes the entries of those that are gone.
func (ke *Keeper) claim(ctx context.Context) {
	candidates := ke.op.Candidates()
	now := time.Now()
	ke.mu.Lock()
	if !ke.registered || ke.leaving {
		ke.mu.Unlock()
		return
	}
	_, steppedBack := ke.sinceStepBack()
	claims := ke.ledger.claims(candidates, ke.held, situation{
		now: now, boot: ke.op.BootTime(), registeredAt: ke.registeredAt, troubled: ke.troubled(),
		era: ke.era, steppedBack: steppedBack,
	})
	departed := ke.ledger.departed(candidates, now)
	tx := ke.claimTransaction(claims, departed)
	ke.mu.Unlock()
	if len(claims)+len(departed) == 0 {
		return
	}
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.op.Logger.Warn("claim failed", "targets", len(claims), "error", err)
		pauser.For(ctx, retryEvery)
		return
	}
	ke.claimed(claims, departed, revision)
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

func (ke *Keeper) claimed(claims []claim, departed []string, revision int64) {
	ke.mu.Lock()
	for _, cl := range claims {
		era := platform.Era(revision)
		ke.held[cl.target] = tenure{epoch: revision, from: cl.from, era: era}
		ke.ledger.holders[cl.target] = holderRecord{instance: ke.op.Name, revision: revision, ordersFrom: cl.from, era: era}
	}
	for _, target := range departed {
		delete(ke.held, target)
		delete(ke.ledger.holders, target)
	}
	ke.mu.Unlock()
	for _, cl := range claims {
		ke.op.Logger.Info("target held", "target", cl.target, "epoch", revision, "before", cl.record.instance, "wait", cl.wait)
	}
	ke.op.Changed()
}

// settle notes in the store, just before the first order, that the wait of a claim is over. A later process on this
// machine need not wait then, even if the machine has lost power and counts its time anew. Entries of an earlier era of the
// store are written again.
func (ke *Keeper) settle(ctx context.Context) {
	tx := platform.Transaction{}
	var targets []string
	ke.mu.Lock()
	value, err := proto.Marshal(&wire.TargetHolder{Instance: ke.op.Name, Era: ke.era})
	if err != nil {
		ke.mu.Unlock()
		ke.op.Logger.Error("encode holder entry", "error", err)
		return
	}
	for target, te := range ke.held {
		left := te.from - ke.op.BootTime()
		if te.settled || left > settleBefore || !ke.registered || len(targets) == maxClaims || platform.Era(te.epoch) < ke.era {
			continue
		}
		te.settled = true
		ke.held[target] = te
		if left <= 0 && te.era == ke.era {
			continue
		}
		targets = append(targets, target)
		tx.Expected = append(tx.Expected, platform.Expectation{Key: holderPrefix + target, Revision: te.epoch})
		tx.Writes = append(tx.Writes, platform.Write{Key: holderPrefix + target, Value: value})
	}
	ke.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.op.Logger.Warn("holders not settled", "targets", len(targets), "error", err)
		return
	}
	ke.settledAt(targets, revision)
}

func (ke *Keeper) settledAt(targets []string, revision int64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	for _, target := range targets {
		te, ok := ke.held[target]
		if !ok {
			continue
		}
		te.epoch, te.era = revision, platform.Era(revision)
		ke.held[target] = te
		ke.ledger.holders[target] = holderRecord{instance: ke.op.Name, revision: revision, era: te.era}
	}
	ke.op.Logger.Info("holders settled", "targets", len(targets), "epoch", revision)
}
