// Package orderer gives one model engine its orders, as the engine's only holder. It asks stocker what to order, keeps
// count of the orders that the engine has accepted, and learns from the engine's reports what became of orders without
// an answer.
package orderer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/router"
	"lovagebank/stocker"
)

// Errors of Load.
var (
	// ErrNotHolder means that this instance may not give the engine orders now.
	ErrNotHolder = errors.New("this instance may not order the target")
	// ErrFull means that all adapters on the engine are in use.
	ErrFull = errors.New("all adapter slots of the target are in use")
	// ErrBusy means that as many adapters are under way to the engine as it takes.
	ErrBusy = errors.New("too many adapters are under way to the target")
	// ErrStopped means that the engine is no longer served.
	ErrStopped = errors.New("the target is gone")
)

const (
	// reportInterval is the time between two reports of an engine without trouble.
	reportInterval = 1500 * time.Millisecond
	// reportLag is how old a report may be.
	reportLag = 350 * time.Millisecond
	// tick bounds the time between two looks at what is due.
	tick = 100 * time.Millisecond
	// askAgain is the time after which a load that should be over is asked for once more.
	askAgain = 60 * time.Millisecond
	// settled is the time after the last order from which a report that counts fewer orders is believed.
	settled = time.Second
	// drainStep is the time between two orders while the engine may still wait for an unload.
	drainStep = 60 * time.Millisecond
	// longestDrain is the time after which a conflict is no longer taken for an unload that waits: longer than requests run.
	longestDrain = 10 * time.Second
)

// orderTimeouts bound the tries of an order; engines answer within milliseconds.
var orderTimeouts = []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond}

// Options set an Orderer up.
type Options struct {
	// Target is the engine.
	Target *balancer.Target
	// Engine tells what it can hold.
	Engine *router.Engine
	// Holder names this instance in orders.
	Holder string
	// Authority returns the epoch under which orders may be given now; false where none may.
	Authority func() (int64, bool)
	// Newest returns the newest version named for an adapter; 0 if none is.
	Newest func(balancer.Adapter) int64
	// MayReplace tells whether the engine should replace an adapter by its newest version now.
	MayReplace func(balancer.Adapter) bool
	// Report and Order call the engine.
	Report func(context.Context, *balancer.Target) (*platform.Report, error)
	Order  func(context.Context, *balancer.Target, platform.Order) (platform.OrderOutcome, error)
	// OnLeaving is told when a report says that the engine is leaving.
	OnLeaving func()
	// OnChanged is told when what the engine holds has changed.
	OnChanged func()
	// Logger takes a line for each order.
	Logger *log.Logger
}

// Orderer orders one engine.
type Orderer struct {
	op   Options
	wake chan struct{}
	done chan struct{}

	mu       sync.Mutex
	stock    *stocker.Stock
	waiting  []*waiter
	orders   int64
	orderAt  time.Time
	reportAt time.Time
	nextAsk  time.Time
	// unsure is set when an order met a conflict or got no answer; no other is given until a report made after it
	// tells how many orders the engine has accepted.
	unsure bool
	drain  drain
	load   int
}

// Request asks for an adapter on the engine.
type Request struct {
	Requirement stocker.Requirement
	// MaxWait is how long to wait for a free adapter slot; 0 refuses at once where there is none.
	MaxWait time.Duration
}

// waiter is a call of Load that waits.
type waiter struct {
	want  stocker.Requirement
	until time.Time
	ready chan error
}

// New makes an orderer; Run does its work.
func New(op Options) *Orderer {
	return &Orderer{
		op:    op,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		stock: stocker.New(op.Engine),
	}
}

// Done is closed when Run has ended.
func (or *Orderer) Done() <-chan struct{} { return or.done }

// Target is the engine that is ordered.
func (or *Orderer) Target() *balancer.Target { return or.op.Target }

// Load asks for an adapter and returns when the engine holds it.
func (or *Orderer) Load(ctx context.Context, rq Request) error {
	if _, ok := or.op.Authority(); !ok {
		return ErrNotHolder
	}
	wt := &waiter{want: rq.Requirement, until: time.Now().Add(rq.MaxWait), ready: make(chan error, 1)}
	or.mu.Lock()
	or.waiting = append(or.waiting, wt)
	or.mu.Unlock()
	or.nudge()
	select {
	case err := <-wt.ready:
		return err
	case <-ctx.Done():
		or.abandon(wt)
		return ctx.Err()
	case <-or.done:
		return ErrStopped
	}
}

func (or *Orderer) abandon(wt *waiter) {
	or.mu.Lock()
	defer or.mu.Unlock()
	for at, other := range or.waiting {
		if other == wt {
			or.waiting = append(or.waiting[:at:at], or.waiting[at+1:]...)
			return
		}
	}
}

func (or *Orderer) nudge() {
	select {
	case or.wake <- struct{}{}:
	default:
	}
}

// RecordUse takes in what an instance tells of its use of the engine.
func (or *Orderer) RecordUse(instance string, uses map[balancer.Adapter]balancer.Use) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.stock.RecordUse(instance, uses, time.Now())
}

// RemoveInstance drops what an instance that has left had running.
func (or *Orderer) RemoveInstance(instance string) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.stock.RemoveInstance(instance)
}

// Holding is the holder's word of the engine; ok is false before the engine's first report.
func (or *Orderer) Holding() (balancer.TargetUpdate, bool) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.reportAt.IsZero() {
		return balancer.TargetUpdate{}, false
	}
	ho := balancer.TargetUpdate{
		Target:   or.op.Target.ID(),
		Adapters: or.stock.Held(),
		Demand:   or.stock.Demand(time.Now()),
		Load:     or.load,
		LoadAge:  time.Since(or.reportAt) + reportLag/2,
	}
	if _, ok := or.op.Authority(); ok {
		ho.Holder = or.op.Holder
	}
	return ho, true
}

// Run works until the context ends.
func (or *Orderer) Run(ctx context.Context) {
	defer close(or.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-or.wake:
		case <-timer.C:
		}
		for or.step(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
		timer.Reset(or.untilNext())
	}
}

func (or *Orderer) untilNext() time.Duration {
	or.mu.Lock()
	defer or.mu.Unlock()
	wait := tick
	if due, ok := or.stock.NextDue(); ok {
		wait = min(wait, max(time.Until(due), time.Millisecond))
	}
	if now := time.Now(); or.drain.goesOn(now) {
		wait = min(wait, max(or.drain.nextTry.Sub(now), time.Millisecond))
	}
	return wait
}

// step does one thing that is due; it is false when nothing is.
func (or *Orderer) step(ctx context.Context) bool {
	now := time.Now()
	if or.reportDue(now) {
		or.report(ctx)
		return false
	}
	epoch, ok := or.op.Authority()
	if !ok {
		or.release(ErrNotHolder)
		return false
	}
	sp, ok := or.next(now)
	if !ok {
		return false
	}
	return or.order(ctx, sp, epoch)
}

func (or *Orderer) reportDue(now time.Time) bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	return !now.Before(or.nextAsk)
}

func (or *Orderer) release(err error) {
	or.mu.Lock()
	defer or.mu.Unlock()
	for _, wt := range or.waiting {
		wt.ready <- err
	}
	or.waiting = nil
}
