package scheduler

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// holdCheckInterval is the time between looks at the holder lease when nothing else happens.
	holdCheckInterval = 500 * time.Millisecond
	// orderMargin is the time before the end of the lease from which no order is sent.
	orderMargin = 100 * time.Millisecond
)

// Run owns the state until the context ends. Queued requests are then refused as not run.
func (sc *Scheduler) Run(ctx context.Context) {
	defer close(sc.done)
	st := newState(sc.options, time.Now())
	defer sc.options.LoadBudget.unsubscribe(sc.wake)
	sc.options.LoadBudget.subscribe(sc.wake)
	orders, cancel := context.WithCancel(ctx)
	defer sc.orders.Wait()
	defer cancel()
	sc.orders.Go(func() { sc.poll(orders) })

	timer := time.NewTimer(holdCheckInterval)
	defer timer.Stop()
	for {
		select {
		case ms := <-sc.inbox:
			st.take(ms, time.Now())
		case <-timer.C:
		case <-sc.wake:
		case <-ctx.Done():
			st.refuseAll(refuseWrongHolder())
			sc.perform(orders, st.takeActions())
			return
		}
		now := time.Now()
		st.setHold(sc.options.Holds())
		st.decide(now)
		sc.perform(orders, st.takeActions())
		sc.report.Store(st.report())
		timer.Reset(max(min(st.wakeAt(now).Sub(now), holdCheckInterval), time.Millisecond))
	}
}

// perform carries out what the state decided.
func (sc *Scheduler) perform(ctx context.Context, actions []action) {
	for _, ac := range actions {
		switch ac.kind {
		case actionAnswer:
			ac.item.verdict <- ac.verdict
		case actionLoad:
			sc.orders.Go(func() { sc.order(ctx, messageLoaded, ac, sc.options.Load) })
		case actionUnload:
			sc.orders.Go(func() { sc.order(ctx, messageUnloaded, ac, sc.options.Unload) })
		case actionPoll:
			select {
			case sc.pollNow <- struct{}{}:
			default:
			}
		case actionIdle:
			close(ac.idle)
		}
	}
}

func (sc *Scheduler) order(
	ctx context.Context, done messageKind, ac action, call func(context.Context, string, uint64) error,
) {
	err := call(ctx, ac.model, ac.fencing)
	if done == messageLoaded {
		sc.options.LoadBudget.release()
	}
	if err != nil && ctx.Err() == nil {
		log.WithPrefix("scheduler").Warn("Adapter order failed.", "target", sc.options.Target.GetId(),
			"adapter", ac.model, "error", err.Error())
	}
	sc.tell(ctx, message{kind: done, model: ac.model, err: err})
}

// poll fetches load reports at the interval, and at once when the state asks.
func (sc *Scheduler) poll(ctx context.Context) {
	ticker := time.NewTicker(sc.options.PollInterval)
	defer ticker.Stop()
	for {
		load, err := sc.options.Poll(ctx)
		sc.tell(ctx, message{kind: messageReported, load: load, err: err})
		select {
		case <-ticker.C:
		case <-sc.pollNow:
		case <-ctx.Done():
			return
		}
	}
}

// tell hands a message of Run's own goroutines to the state, unless Run is about to end.
func (sc *Scheduler) tell(ctx context.Context, ms message) {
	select {
	case sc.inbox <- ms:
	case <-ctx.Done():
	}
}
