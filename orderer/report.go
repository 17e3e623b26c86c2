package orderer

import (
	"context"
	"time"
)

// report asks the engine what it holds and takes the answer in where it can be told from orders under way.
func (or *Orderer) report(ctx context.Context) {
	re, err := or.op.Report(ctx, or.op.Target)
	now := time.Now()
	or.mu.Lock()
	defer or.mu.Unlock()
	or.nextAsk = now.Add(reportInterval)
	if err != nil {
		or.nextAsk = now.Add(reportLag)
		or.op.Logger.Warn("report failed", "target", or.op.Target.ID(), "error", err)
		return
	}
	if re.Leaving {
		or.op.OnLeaving()
	}
	or.load = re.Running + re.Waiting
	first := or.reportAt.IsZero()
	certain := first || or.unsure
	or.reportAt = now
	if !certain && re.Orders < or.orders && now.Sub(or.orderAt) < settled {
		return
	}
	counted := or.orders
	or.unsure = false
	or.orders = re.Orders
	di := or.stock.Observe(re.Residents, re.Pending, now)
	or.drain.reported(re.Orders)
	if counted != re.Orders || !first && !di.Empty() && !or.drain.goesOn(now) {
		or.op.Logger.Warn("report differs", "target", or.op.Target.ID(), "counted", counted, "reported", re.Orders,
			"missing", di.Missing, "unknown", di.Unknown)
	}
	if or.drain.goesOn(now) {
		or.stock.Started(or.drain.step, now)
		or.nextAsk = now.Add(reportLag)
	}
	or.op.OnChanged()
}
