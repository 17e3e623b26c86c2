package scheduler

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// leaseCheckInterval is the maximum time between checks of the holder lease.
	leaseCheckInterval = 500 * time.Millisecond
	// orderMargin is how long before the end of the lease the holder stops sending orders.
	orderMargin = 100 * time.Millisecond
)

// Run processes events until the context ends. It then refuses queued requests as not run and waits
// for its calls to the target.
func (sc *Scheduler) Run(ctx context.Context) {
	defer close(sc.done)
	st := newState(sc.options, time.Now())
	defer sc.options.LoadBudget.unsubscribe(sc.wake)
	sc.options.LoadBudget.subscribe(sc.wake)
	callCtx, cancel := context.WithCancel(ctx)
	defer sc.targetCalls.Wait()
	defer cancel()
	sc.targetCalls.Go(func() { sc.poll(callCtx) })

	timer := time.NewTimer(leaseCheckInterval)
	defer timer.Stop()
	for {
		select {
		case ms := <-sc.inbox:
			st.handle(ms, time.Now())
		case <-timer.C:
		case <-sc.wake:
		case <-ctx.Done():
			st.refuseAll(refuseWrongHolder())
			sc.perform(callCtx, st.takeActions())
			return
		}
		now := time.Now()
		st.setLease(sc.options.Holds())
		st.decide(now)
		sc.perform(callCtx, st.takeActions())
		sc.report.Store(st.report())
		timer.Reset(max(min(st.wakeAt(now).Sub(now), leaseCheckInterval), time.Millisecond))
	}
}

// perform carries out the actions of the state. Calls to the target run in their own goroutines.
func (sc *Scheduler) perform(ctx context.Context, actions []action) {
	for _, ac := range actions {
		switch ac.kind {
		case actionReply:
			ac.item.decision <- ac.decision
		case actionLoad:
			sc.targetCalls.Go(func() { sc.runOrder(ctx, messageLoaded, ac, sc.options.Load) })
		case actionUnload:
			sc.targetCalls.Go(func() { sc.runOrder(ctx, messageUnloaded, ac, sc.options.Unload) })
		case actionPoll:
			select {
			case sc.pollNow <- struct{}{}:
			default:
			}
		case actionDrained:
			close(ac.drained)
		}
	}
}

func (sc *Scheduler) runOrder(
	ctx context.Context, doneKind messageKind, ac action, call func(context.Context, string, uint64) error,
) {
	err := call(ctx, ac.model, ac.fencing)
	if doneKind == messageLoaded {
		sc.options.LoadBudget.release()
	}
	if err != nil && ctx.Err() == nil {
		log.WithPrefix("scheduler").Warn("adapter order failed", "target", sc.options.Target.GetId(),
			"adapter", ac.model, "error", err.Error())
	}
	sc.sendInternal(ctx, message{kind: doneKind, model: ac.model, err: err})
}

// poll fetches a load report at every poll interval, and at once if the state requests one.
func (sc *Scheduler) poll(ctx context.Context) {
	ticker := time.NewTicker(sc.options.PollInterval)
	defer ticker.Stop()
	for {
		load, err := sc.options.Poll(ctx)
		sc.sendInternal(ctx, message{kind: messageReported, load: load, err: err})
		select {
		case <-ticker.C:
		case <-sc.pollNow:
		case <-ctx.Done():
			return
		}
	}
}

// sendInternal passes a message to the state from a goroutine that Run started. It gives up when the context has ended,
// because Run then waits for these goroutines and reads no more messages.
func (sc *Scheduler) sendInternal(ctx context.Context, ms message) {
	select {
	case sc.inbox <- ms:
	case <-ctx.Done():
	}
}
