package orderer

import (
	"context"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/provisioner"
)

// next returns the next order: first the check of a load that should have ended, then what callers wait for, then new
// versions.
func (or *Orderer) next(now time.Time) (provisioner.Step, bool) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.lastReportAt.IsZero() || or.resyncing {
		return provisioner.Step{}, false
	}
	if or.drain.blocks(now) {
		or.refuseWhileBlocked(now)
		return provisioner.Step{}, false
	}
	if sp, ok := or.stock.Due(now); ok {
		return sp, true
	}
	sp, ok := or.nextForWaiting(now)
	if ok {
		return sp, true
	}
	for _, rq := range or.stock.Outdated(or.op.Newest) {
		if rq.Adapter.Name != "" && !or.op.MayReplace(rq.Adapter) {
			continue
		}
		if decision, sp := or.stock.Evaluate(rq, now); decision == provisioner.NeedsLoad {
			return sp, true
		}
	}
	return provisioner.Step{}, false
}

// nextForWaiting answers the waiting calls that can be answered and returns the first order that the others need, for
// the adapter with the most waiting calls.
func (or *Orderer) nextForWaiting(now time.Time) (provisioner.Step, bool) {
	var next provisioner.Step
	most := 0
	calls := make(map[balancer.Adapter]int, len(or.waiting))
	remaining := or.waiting[:0:0]
	for _, wt := range or.waiting {
		decision, sp := or.stock.Evaluate(wt.requirement, now)
		if wt.answer(decision, now) {
			continue
		}
		remaining = append(remaining, wt)
		if decision != provisioner.NeedsLoad && decision != provisioner.NeedsUnload {
			continue
		}
		calls[wt.requirement.Adapter]++
		if calls[wt.requirement.Adapter] > most {
			next, most = sp, calls[wt.requirement.Adapter]
		}
	}
	or.waiting = remaining
	return next, most > 0
}

// answer answers a waiting call whose requirement is met, or cannot be met by its deadline. It reports whether it did.
func (wt *waiter) answer(decision provisioner.Decision, now time.Time) bool {
	switch {
	case decision == provisioner.Ready:
		wt.result <- nil
	case decision == provisioner.Full && !now.Before(wt.deadline):
		wt.result <- ErrFull
	case decision == provisioner.Busy && !now.Before(wt.deadline):
		wt.result <- ErrBusy
	default:
		return false
	}
	return true
}

// order gives one order and repeats it at once if it gets no answer: as all attempts expect the same count of orders,
// the engine carries out only one of them. It reports whether the engine has started or already carried out the order.
func (or *Orderer) order(ctx context.Context, sp provisioner.Step, epoch int64) bool {
	or.mu.Lock()
	expected, inProgress := or.orders, or.stock.InProgress(sp)
	or.mu.Unlock()
	outcome, unanswered := or.sendWithRetries(ctx, sp, epoch, expected)
	now := time.Now()
	or.mu.Lock()
	defer or.mu.Unlock()
	or.lastOrderAt = now
	if outcome == platform.OrderConflict && or.drain.active(now) {
		or.drain.postpone(now)
		if unanswered {
			or.resync(now)
		}
		return false
	}
	or.drain.end()
	switch outcome {
	case platform.OrderStarted:
		if inProgress {
			or.stock.Postpone(sp.Adapter, now.Add(loadRetryInterval))
			return true
		}
		or.orderStarted(sp, now)
	case platform.OrderSatisfied:
		or.orderDone(sp, now)
	default:
		or.resync(now)
		return false
	}
	return true
}

// resync stops further orders until the engine's report shows what became of the last one. The lock is held.
func (or *Orderer) resync(now time.Time) {
	or.resyncing = true
	or.nextReportAt = now.Add(reportLag)
}

// sendWithRetries sends an order until it gets an answer, once for each of orderTimeouts. It also reports whether an
// attempt got no answer: the engine may have accepted that attempt, and a conflict that follows may be due to it.
func (or *Orderer) sendWithRetries(ctx context.Context, sp provisioner.Step, epoch, expected int64) (platform.OrderOutcome, bool) {
	for attempt, timeout := range orderTimeouts {
		outcome := or.send(ctx, sp, epoch, expected, timeout)
		if outcome != platform.OrderUnknown || ctx.Err() != nil {
			return outcome, attempt > 0
		}
		var ok bool
		if epoch, ok = or.op.Authority(); !ok {
			return outcome, true
		}
	}
	return platform.OrderUnknown, true
}

func (or *Orderer) send(ctx context.Context, sp provisioner.Step, epoch, expected int64, timeout time.Duration) platform.OrderOutcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, err := or.op.Order(ctx, or.op.Target, platform.Order{
		Load: sp.Load, Adapter: sp.Adapter, Version: sp.Version, AcceptedOrders: expected, Holder: or.op.Holder, Epoch: epoch,
	})
	or.logOrder(sp, epoch, expected, outcome, err)
	return outcome
}

func (or *Orderer) orderStarted(sp provisioner.Step, now time.Time) {
	or.orders++
	or.stock.Started(sp, now)
	if !sp.Load {
		or.drain.begin(sp, or.orders, now)
	}
	if !sp.Load || sp.Adapter.Name == "" {
		or.nextReportAt = now.Add(reportLag)
	}
	or.op.OnChanged()
}

func (or *Orderer) orderDone(sp provisioner.Step, now time.Time) {
	if !sp.Load {
		or.orders++
	}
	or.stock.Done(sp, now)
	or.op.OnChanged()
}

func (or *Orderer) logOrder(sp provisioner.Step, epoch, expected int64, outcome platform.OrderOutcome, err error) {
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
