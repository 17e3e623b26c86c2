package orderer

import (
	"context"
	"time"
)

// report reads the engine's report and merges it, unless the report may be older than the last order.
func (or *Orderer) report(ctx context.Context) {
	re, err := or.op.Report(ctx, or.op.Target)
	now := time.Now()
	or.mu.Lock()
	defer or.mu.Unlock()
	or.nextReportAt = now.Add(reportInterval)
	or.silent = err != nil
	if err != nil {
		or.nextReportAt = now.Add(reportLag)
		or.op.Logger.Warn("report failed", "target", or.op.Target.ID(), "error", err)
		return
	}
	if re.Leaving {
		or.op.OnLeaving()
	}
	or.load = re.Running + re.Waiting
	or.usedTokens, or.totalTokens = re.UsedTokens, re.TotalTokens
	first := or.lastReportAt.IsZero()
	authoritative := first || or.resyncing
	or.lastReportAt = now
	if !authoritative && re.AcceptedOrders < or.orders && now.Sub(or.lastOrderAt) < settleTime {
		return
	}
	counted := or.orders
	or.resyncing = false
	or.orders = re.AcceptedOrders
	di := or.stock.Observe(re.Residents, re.Pending, now)
	or.drain.observe(re.AcceptedOrders)
	if counted != re.AcceptedOrders || !first && !di.Empty() && !or.drain.active(now) {
		or.op.Logger.Warn("report differs", "target", or.op.Target.ID(), "counted", counted, "reported", re.AcceptedOrders,
			"missing", di.Missing, "unknown", di.Unknown)
	}
	if or.drain.active(now) {
		or.stock.Started(or.drain.step, now)
		or.nextReportAt = now.Add(reportLag)
	}
	or.op.OnChanged()
}
