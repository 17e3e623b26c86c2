// Package orderer gives load and unload orders to one model engine, as the engine's only holder. It gets the next order
// from provisioner, counts the orders that the engine has accepted, and learns from the engine's reports what became of
// orders without an answer.
package orderer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/provisioner"
	"lovagebank/router"
)

// Errors of Load.
var (
	// ErrNotHolder means that this instance may not give orders to the engine now.
	ErrNotHolder = errors.New("this instance may not order the target")
	// ErrUnreachable means that the engine does not answer this instance now.
	ErrUnreachable = errors.New("the target does not answer its holder")
	// ErrFull means that all adapters on the engine are in use.
	ErrFull = errors.New("all adapter slots of the target are in use")
	// ErrBusy means that the engine accepts no further load now: too many are in progress, or it waits for requests to
	// end before an unload or a replacement.
	ErrBusy = errors.New("too many adapters are under way to the target")
	// ErrStopped means that the engine is no longer served.
	ErrStopped = errors.New("the target is gone")
)

const (
	// reportInterval is the time between two reports of an engine in normal operation.
	reportInterval = 1500 * time.Millisecond
	// reportLag is the maximum age of the state in a report.
	reportLag = 350 * time.Millisecond
	// maxCheckInterval bounds the time between two checks for due work.
	maxCheckInterval = 100 * time.Millisecond
	// loadRetryInterval is the time after which a load that should have ended is ordered once more.
	loadRetryInterval = 60 * time.Millisecond
	// settleTime is the time after the last order from which a report that counts fewer orders is accepted.
	settleTime = time.Second
	// drainRetryInterval is the time between two orders while the engine may still be waiting to unload.
	drainRetryInterval = 60 * time.Millisecond
	// maxDrainTime is the time after which a conflict is no longer attributed to a waiting unload. It is longer than
	// requests run.
	maxDrainTime = 10 * time.Second
)

// orderTimeouts bound the attempts of one order; engines answer within milliseconds.
var orderTimeouts = []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond}

// Options configures an Orderer.
type Options struct {
	// Target is the engine.
	Target *balancer.Target
	// Engine describes what the engine can hold.
	Engine *router.Engine
	// Holder is the name of this instance in orders.
	Holder string
	// Authority returns the epoch under which orders may be given now; false if none may.
	Authority func() (int64, bool)
	// Reachable reports whether this instance reaches the engine as far as is known; nil means that it does.
	Reachable func() bool
	// Newest returns the newest version named for an adapter; 0 if none is.
	Newest func(balancer.Adapter) int64
	// MayReplace reports whether the engine should replace an adapter by its newest version now.
	MayReplace func(balancer.Adapter) bool
	// Report and Order call the engine.
	Report func(context.Context, *balancer.Target) (*platform.Report, error)
	Order  func(context.Context, *balancer.Target, platform.Order) (platform.OrderOutcome, error)
	// OnLeaving is called when a report says that the engine is leaving.
	OnLeaving func()
	// OnChanged is called when the adapters or models on the engine have changed.
	OnChanged func()
	// Logger gets a line for each order.
	Logger *log.Logger
}

// Orderer gives orders to one engine.
type Orderer struct {
	op   Options
	wake chan struct{}
	done chan struct{}

	mu           sync.Mutex
	stock        *provisioner.Inventory
	waiting      []*waiter
	orders       int64
	lastOrderAt  time.Time
	lastReportAt time.Time
	nextReportAt time.Time
	// resyncing is set when an order was answered with a conflict or got no answer. No other order is given until a
	// report made after it says how many orders the engine has accepted.
	resyncing bool
	drain     drain
	load      int
	// usedTokens and totalTokens are the engine's memory as last reported.
	usedTokens  int
	totalTokens int
	// silent is set while the engine's last report has failed.
	silent bool
}

// Request asks for an adapter on the engine.
type Request struct {
	Requirement provisioner.Requirement
	// MaxWait is the maximum wait for a free adapter slot; with 0 the request is refused at once if there is none.
	MaxWait time.Duration
}

// waiter is a pending call of Load.
type waiter struct {
	requirement provisioner.Requirement
	deadline    time.Time
	result      chan error
}

// New returns an orderer; Run does its work.
func New(op Options) *Orderer {
	if op.Reachable == nil {
		op.Reachable = func() bool { return true }
	}
	return &Orderer{
		op:    op,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		stock: provisioner.New(op.Engine),
	}
}

// Done returns a channel that is closed when Run has ended.
func (or *Orderer) Done() <-chan struct{} { return or.done }

// Target returns the engine that gets the orders.
func (or *Orderer) Target() *balancer.Target { return or.op.Target }

// Load asks for an adapter and returns when the engine holds it. It fails with one of the errors above, or with the
// context's error.
func (or *Orderer) Load(ctx context.Context, rq Request) error {
	if _, ok := or.op.Authority(); !ok {
		return ErrNotHolder
	}
	if !or.reachable() {
		return ErrUnreachable
	}
	wt := &waiter{requirement: rq.Requirement, deadline: time.Now().Add(rq.MaxWait), result: make(chan error, 1)}
	or.mu.Lock()
	or.waiting = append(or.waiting, wt)
	or.mu.Unlock()
	or.wakeUp()
	select {
	case err := <-wt.result:
		return err
	case <-ctx.Done():
		or.removeWaiter(wt)
		return ctx.Err()
	case <-or.done:
		return ErrStopped
	}
}

// reachable reports whether the engine answers this instance as far as is known.
func (or *Orderer) reachable() bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	return !or.silent && or.op.Reachable()
}

func (or *Orderer) removeWaiter(wt *waiter) {
	or.mu.Lock()
	defer or.mu.Unlock()
	for at, other := range or.waiting {
		if other == wt {
			or.waiting = append(or.waiting[:at:at], or.waiting[at+1:]...)
			return
		}
	}
}

func (or *Orderer) wakeUp() {
	select {
	case or.wake <- struct{}{}:
	default:
	}
}

// RecordUse records an instance's state update about its use of the engine.
func (or *Orderer) RecordUse(instance string, uses map[balancer.Adapter]balancer.Use) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.stock.RecordUse(instance, uses, time.Now())
}

// RemoveInstance drops the running requests of a removed instance.
func (or *Orderer) RemoveInstance(instance string) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.stock.RemoveInstance(instance)
}

// Holding returns the engine's state as its holder reports it; false before the engine's first report.
func (or *Orderer) Holding() (balancer.TargetUpdate, bool) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.lastReportAt.IsZero() {
		return balancer.TargetUpdate{}, false
	}
	ho := balancer.TargetUpdate{
		Target:   or.op.Target.ID(),
		Adapters: or.stock.Held(),
		Demand:   or.stock.Demand(time.Now()),
		Load:     or.load,
		LoadAge:  time.Since(or.lastReportAt) + reportLag/2,
		Memory:   balancer.Memory{Used: or.usedTokens, Total: or.totalTokens},
	}
	if _, ok := or.op.Authority(); ok && !or.silent && or.op.Reachable() {
		ho.Holder = or.op.Holder
	}
	return ho, true
}

// Run gives orders and reads reports until the context ends.
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
		for or.processNext(ctx) {
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
	wait := maxCheckInterval
	if due, ok := or.stock.NextDue(); ok {
		wait = min(wait, max(time.Until(due), time.Millisecond))
	}
	if now := time.Now(); or.drain.active(now) {
		wait = min(wait, max(or.drain.nextAttempt.Sub(now), time.Millisecond))
	}
	return wait
}

// processNext does one thing that is due and reports whether to look for the next one at once.
func (or *Orderer) processNext(ctx context.Context) bool {
	now := time.Now()
	if or.reportDue(now) {
		or.report(ctx)
		return false
	}
	epoch, ok := or.op.Authority()
	if !ok {
		or.failWaiting(ErrNotHolder)
		return false
	}
	if !or.reachable() {
		or.failWaiting(ErrUnreachable)
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
	return !now.Before(or.nextReportAt)
}

func (or *Orderer) failWaiting(err error) {
	or.mu.Lock()
	defer or.mu.Unlock()
	for _, wt := range or.waiting {
		wt.result <- err
	}
	or.waiting = nil
}
