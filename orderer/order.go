package orderer

import (
	"context"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/stocker"
)

// next picks the next order: first whether a load is over, then what callers wait for, then new versions.
func (or *Orderer) next(now time.Time) (stocker.Step, bool) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.reportAt.IsZero() || or.unsure {
		return stocker.Step{}, false
	}
	if or.drain.blocks(now) {
		or.refuseWhileBlocked(now)
		return stocker.Step{}, false
	}
	if sp, ok := or.stock.Due(now); ok {
		return sp, true
	}
	sp, ok := or.nextWanted(now)
	if ok {
		return sp, true
	}
	for _, wa := range or.stock.Outdated(or.op.Newest) {
		if wa.Adapter.Name != "" && !or.op.MayReplace(wa.Adapter) {
			continue
		}
		if verdict, sp := or.stock.Evaluate(wa, now); verdict == stocker.NeedsLoad {
			return sp, true
		}
	}
	return stocker.Step{}, false
}

// nextWanted answers the waiting calls that can be answered and returns the first order that another one needs: that
// of the adapter for which most calls wait.
func (or *Orderer) nextWanted(now time.Time) (stocker.Step, bool) {
	var next stocker.Step
	most := 0
	calls := make(map[balancer.Adapter]int, len(or.waiting))
	still := or.waiting[:0:0]
	for _, wt := range or.waiting {
		verdict, sp := or.stock.Evaluate(wt.want, now)
		if wt.answer(verdict, now) {
			continue
		}
		still = append(still, wt)
		if verdict != stocker.NeedsLoad && verdict != stocker.NeedsUnload {
			continue
		}
		calls[wt.want.Adapter]++
		if calls[wt.want.Adapter] > most {
			next, most = sp, calls[wt.want.Adapter]
		}
	}
	or.waiting = still
	return next, most > 0
}

// answer answers a waiting call whose want is met, or cannot be met in its time.
func (wt *waiter) answer(verdict stocker.Decision, now time.Time) bool {
	switch {
	case verdict == stocker.Ready:
		wt.ready <- nil
	case verdict == stocker.Full && !now.Before(wt.until):
		wt.ready <- ErrFull
	case verdict == stocker.Busy && !now.Before(wt.until):
		wt.ready <- ErrBusy
	default:
		return false
	}
	return true
}

// order gives one order. One that gets no answer is given again at once: as both expect the same count of orders, the
// engine carries out only one of them.
func (or *Orderer) order(ctx context.Context, sp stocker.Step, epoch int64) bool {
	or.mu.Lock()
	expected, underWay := or.orders, or.stock.InProgress(sp)
	or.mu.Unlock()
	outcome, unanswered := or.insist(ctx, sp, epoch, expected)
	now := time.Now()
	or.mu.Lock()
	defer or.mu.Unlock()
	or.orderAt = now
	if outcome == platform.OrderConflict && or.drain.goesOn(now) {
		or.drain.postpone(now)
		if unanswered {
			or.doubt(now)
		}
		return false
	}
	or.drain.end()
	switch outcome {
	case platform.OrderStarted:
		if underWay {
			or.stock.Postpone(sp.Adapter, now.Add(askAgain))
			return true
		}
		or.started(sp, now)
	case platform.OrderHolds:
		or.held(sp, now)
	default:
		or.doubt(now)
		return false
	}
	return true
}

// doubt has the engine's report settle what became of an order. The lock is held.
func (or *Orderer) doubt(now time.Time) {
	or.unsure = true
	or.nextAsk = now.Add(reportLag)
}

// insist gives an order until it gets an answer, a few times. It also tells whether a try got none: that one may have
// been accepted, and a conflict that follows be due to it.
func (or *Orderer) insist(ctx context.Context, sp stocker.Step, epoch, expected int64) (platform.OrderOutcome, bool) {
	for try, timeout := range orderTimeouts {
		outcome := or.send(ctx, sp, epoch, expected, timeout)
		if outcome != platform.OrderUnknown || ctx.Err() != nil {
			return outcome, try > 0
		}
		var ok bool
		if epoch, ok = or.op.Authority(); !ok {
			return outcome, true
		}
	}
	return platform.OrderUnknown, true
}

func (or *Orderer) send(ctx context.Context, sp stocker.Step, epoch, expected int64, timeout time.Duration) platform.OrderOutcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, err := or.op.Order(ctx, or.op.Target, platform.Order{
		Load: sp.Load, Adapter: sp.Adapter, Version: sp.Version, Orders: expected, Holder: or.op.Holder, Epoch: epoch,
	})
	or.logOrder(sp, epoch, expected, outcome, err)
	return outcome
}

func (or *Orderer) started(sp stocker.Step, now time.Time) {
	or.orders++
	or.stock.Started(sp, now)
	if !sp.Load {
		or.drain.begin(sp, or.orders, now)
	}
	if !sp.Load || sp.Adapter.Name == "" {
		or.nextAsk = now.Add(reportLag)
	}
	or.op.OnChanged()
}

func (or *Orderer) held(sp stocker.Step, now time.Time) {
	if !sp.Load {
		or.orders++
	}
	or.stock.Done(sp, now)
	or.op.OnChanged()
}

func (or *Orderer) logOrder(sp stocker.Step, epoch, expected int64, outcome platform.OrderOutcome, err error) {
	fields := []any{
		"target", or.op.Target.ID(), "load", sp.Load, "adapter", sp.Adapter, "version", sp.Version,
		"epoch", epoch, "orders", expected, "outcome", outcome,
	}
	if err != nil {
		or.op.Logger.Warn("order", append(fields, "error", err)...)
		return
	}
	or.op.Logger.Info("order", fields...)
}
