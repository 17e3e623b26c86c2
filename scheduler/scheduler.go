// Package scheduler queues the requests for one target at the target's holder, orders its adapter loads and evictions,
// and says when each request goes to the target.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lovagebank/invoker"
	"lovagebank/requester"
	"lovagebank/wire"
)

// Options joins a scheduler to its target and sets its limits. Zero limits mean defaults.
type Options struct {
	Target *wire.Target
	// Instance is the name under which reports give the holder.
	Instance string
	// Holds tells whether this instance holds the target now, under which fencing number and until when. Nil means
	// always, with fencing number zero.
	Holds func() (fencing uint64, until time.Time, ok bool)
	// Invoke runs a request on the target.
	Invoke func(ctx context.Context, rq *requester.Request, fencing uint64, sink requester.Sink) (requester.Usage, error)
	// Load and Unload order adapters, named "adapter@version", and return when the order is done.
	Load   func(ctx context.Context, model string, fencing uint64) error
	Unload func(ctx context.Context, model string, fencing uint64) error
	// Poll fetches the target's load report.
	Poll func(ctx context.Context) (invoker.Load, error)
	// IsSuspect tells of requests that ran on a target when it died; at most one of them runs on a target at a time, so
	// that a second death points at one. Nil means none.
	IsSuspect func(fingerprint string) bool
	// LoadBudget is shared by all schedulers of an instance; nil means no limit.
	LoadBudget *LoadBudget

	// PollInterval is the time between load reports.
	PollInterval time.Duration
	// EvictionDelay is how long a new holder evicts nothing: the old holder's deadline and the load report's lag.
	EvictionDelay time.Duration
	// MaxQueue bounds the requests that wait for the target.
	MaxQueue int
	// MaxQueuePerOrganisation bounds those of one organisation.
	MaxQueuePerOrganisation int
	// RotateAfter is how long a request waits for a slot before an adapter in use is closed to new requests.
	RotateAfter time.Duration
	// DemandHalfLife is the time in which a resident adapter's measured demand decays by half.
	DemandHalfLife time.Duration
}

// The defaults of Options.
const (
	defaultPollInterval   = time.Second
	defaultSettle         = 3 * time.Second
	defaultMaxQueue       = 512
	defaultRotateAfter    = 100 * time.Millisecond
	defaultDemandHalfLife = time.Minute
	organisationQueuePart = 4

	inboxSize = 1024
	// lostAfterPolls is the number of failed load reports in a row after which the target counts as lost.
	lostAfterPolls = 3
)

func (op *Options) setDefaults() {
	setDuration(&op.PollInterval, defaultPollInterval)
	setDuration(&op.EvictionDelay, defaultSettle)
	setDuration(&op.RotateAfter, defaultRotateAfter)
	setDuration(&op.DemandHalfLife, defaultDemandHalfLife)
	if op.MaxQueue == 0 {
		op.MaxQueue = defaultMaxQueue
	}
	if op.MaxQueuePerOrganisation == 0 {
		op.MaxQueuePerOrganisation = max(op.MaxQueue/organisationQueuePart, 1)
	}
	if op.Holds == nil {
		op.Holds = func() (uint64, time.Time, bool) { return 0, time.Now().Add(time.Hour), true }
	}
	if op.IsSuspect == nil {
		op.IsSuspect = func(string) bool { return false }
	}
	if op.LoadBudget == nil {
		op.LoadBudget = NewLoadBudget(func() float64 { return unlimitedLoads })
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Scheduler is the queue and the slots of one target. Its state belongs to the goroutine of Run.
type Scheduler struct {
	options Options
	inbox   chan message
	pollNow chan struct{}
	wake    chan struct{}
	done    chan struct{}
	// orders are the goroutines of Run that call the target.
	orders sync.WaitGroup
	report atomic.Pointer[wire.TargetReport]
}

// New makes a scheduler; Run starts it.
func New(options Options) *Scheduler {
	options.setDefaults()
	sc := &Scheduler{
		options: options,
		inbox:   make(chan message, inboxSize),
		pollNow: make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	sc.report.Store(&wire.TargetReport{
		Target: options.Target.GetId(), Holder: options.Instance, Slots: options.Target.GetSlots(),
	})
	return sc
}

// Submit queues a request, runs it on the target and passes the answer to the sink. A refusal of outcome not-run with
// code wrong-holder, load-failed, target-lost or queue-full may be tried on another target.
func (sc *Scheduler) Submit(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	it := newItem(rq, time.Now())
	select {
	case sc.inbox <- message{kind: messageArrived, item: it}:
	default:
		return requester.Usage{}, requester.Refuse(requester.CodeQueueFull, "the target's inbox is full", time.Second)
	}
	vd := sc.await(ctx, it)
	if vd.refusal != nil {
		return requester.Usage{}, vd.refusal
	}
	us, err := sc.options.Invoke(ctx, rq, vd.fencing, sink)
	err = sc.confirmDeath(ctx, vd.boot, err)
	sc.send(message{kind: messageFinished, item: it, usage: us, err: err})
	return us.WithWaits(vd.queued, vd.loadWait), err
}

// confirmDeath tells a target that died from a connection that was lost: a target that answers under the same boot did
// not die, and one that went silent may just be cut off.
func (sc *Scheduler) confirmDeath(ctx context.Context, boot string, err error) error {
	rf := requester.AsRefusal(err)
	if rf == nil || rf.Code() != requester.CodeTargetLost || rf.Outcome() != requester.OutcomeUnknown {
		return err
	}
	sc.send(message{kind: messageDoubted})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sc.options.PollInterval)
	defer cancel()
	load, pollErr := sc.options.Poll(ctx)
	died := rf.TargetLost()
	if pollErr == nil {
		died = load.Boot() != boot
	}
	if died {
		return requester.RefuseTargetLost(rf.Message())
	}
	return requester.RefuseUnknown(rf.Code(), rf.Message(), rf.RetryAfter())
}

// await returns the verdict on a queued request. A request whose context ends is taken out of the queue; the verdict
// then comes from the state all the same, so that a start that crossed the cancellation isn't lost.
func (sc *Scheduler) await(ctx context.Context, it *item) verdict {
	select {
	case vd := <-it.verdict:
		return vd
	case <-ctx.Done():
		sc.send(message{kind: messageCancelled, item: it})
	case <-sc.done:
	}
	select {
	case vd := <-it.verdict:
		return vd
	case <-sc.done:
	}
	select {
	case vd := <-it.verdict:
		return vd
	default:
		return verdict{refusal: refuseWrongHolder()}
	}
}

// Report returns the queue and slot state as of the last change.
func (sc *Scheduler) Report() *wire.TargetReport { return sc.report.Load() }

// Drain refuses queued and new requests as not run, so that their entry instances try elsewhere, and lets running ones
// finish. It returns when none runs, or when the context ends.
func (sc *Scheduler) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	sc.send(message{kind: messageDrain, idle: idle})
	select {
	case <-idle:
		return nil
	case <-sc.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done is closed when Run has ended.
func (sc *Scheduler) Done() <-chan struct{} { return sc.done }

// send hands a message to the state; it is dropped when Run has ended.
func (sc *Scheduler) send(ms message) {
	select {
	case sc.inbox <- ms:
	case <-sc.done:
	}
}
