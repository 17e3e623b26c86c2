// Package scheduler queues the requests for one target at the target's holder, orders adapter loads and evictions on
// the target, and decides when each request is sent to it.
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

// Options configures a scheduler: the target, the calls to it, and the limits. Zero limits mean defaults.
type Options struct {
	Target *wire.Target
	// Instance is the name of this instance, which reports give as the holder.
	Instance string
	// Holds reports whether this instance holds the target's lease now, with which fencing number and until when. Nil
	// means that it always holds the lease, with fencing number zero.
	Holds func() (fencing uint64, until time.Time, ok bool)
	// Invoke runs a request on the target.
	Invoke func(ctx context.Context, rq *requester.Request, fencing uint64, sink requester.Sink) (requester.Usage, error)
	// Load and Unload order adapters, named "adapter@version", and return when the order is done.
	Load   func(ctx context.Context, model string, fencing uint64) error
	Unload func(ctx context.Context, model string, fencing uint64) error
	// Poll fetches the target's load report.
	Poll func(ctx context.Context) (invoker.LoadReport, error)
	// IsSuspect reports whether a request with this fingerprint ran on a target when it crashed. At most one such request
	// runs on a target at a time, so that a second crash identifies the request. Nil means that none did.
	IsSuspect func(fingerprint string) bool
	// LoadBudget limits adapter loads and is shared by all schedulers of an instance. Nil means no limit.
	LoadBudget *LoadBudget

	// PollInterval is the time between load reports.
	PollInterval time.Duration
	// EvictionDelay is how long a new holder evicts no adapter. It covers the old holder's deadline and the lag of load
	// reports.
	EvictionDelay time.Duration
	// MaxQueue is the maximum number of requests that wait for the target.
	MaxQueue int
	// MaxQueuePerOrganisation is the maximum number of waiting requests of one organisation.
	MaxQueuePerOrganisation int
	// RotateAfter is how long an urgent request waits for a slot before an adapter in use is closed to new requests, so
	// that its slot becomes free.
	RotateAfter time.Duration
	// DemandHalfLife is the half-life of an adapter's measured demand, by which the adapter to evict is chosen.
	DemandHalfLife time.Duration
}

// The defaults of Options and the limits of a scheduler.
const (
	defaultPollInterval      = time.Second
	defaultEvictionDelay     = 3 * time.Second
	defaultMaxQueue          = 512
	defaultRotateAfter       = 100 * time.Millisecond
	defaultDemandHalfLife    = time.Minute
	organisationQueueDivisor = 4

	inboxSize = 1024
	// lostAfterPolls is the number of consecutive failed polls after which the target counts as lost.
	lostAfterPolls = 3
)

func (op *Options) setDefaults() {
	setDuration(&op.PollInterval, defaultPollInterval)
	setDuration(&op.EvictionDelay, defaultEvictionDelay)
	setDuration(&op.RotateAfter, defaultRotateAfter)
	setDuration(&op.DemandHalfLife, defaultDemandHalfLife)
	if op.MaxQueue == 0 {
		op.MaxQueue = defaultMaxQueue
	}
	if op.MaxQueuePerOrganisation == 0 {
		op.MaxQueuePerOrganisation = max(op.MaxQueue/organisationQueueDivisor, 1)
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

// Scheduler manages the request queue and the adapter slots of one target. Only the goroutine of Run uses its state;
// the other methods may be called from any goroutine.
type Scheduler struct {
	options Options
	inbox   chan message
	pollNow chan struct{}
	wake    chan struct{}
	done    chan struct{}
	// targetCalls waits for the goroutines that Run started to call the target.
	targetCalls sync.WaitGroup
	report      atomic.Pointer[wire.TargetReport]
}

// New returns a scheduler; Run starts it.
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

// Submit queues a request, runs it on the target and passes the answer to the sink. It returns the usage with the times
// spent waiting here. A refusal with outcome not-run and code wrong-holder, load-failed, target-lost or queue-full may
// be tried on another target.
func (sc *Scheduler) Submit(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	it := newItem(rq, time.Now())
	select {
	case sc.inbox <- message{kind: messageArrived, item: it}:
	default:
		return requester.Usage{}, requester.Refuse(requester.CodeQueueFull, "the target's inbox is full", time.Second)
	}
	dc := sc.await(ctx, it)
	if dc.refusal != nil {
		return requester.Usage{}, dc.refusal
	}
	us, err := sc.options.Invoke(ctx, rq, dc.fencing, sink)
	err = sc.confirmCrash(ctx, dc.boot, err)
	sc.send(message{kind: messageFinished, item: it, usage: us, err: err})
	return us.WithWaits(dc.queued, dc.loadWait), err
}

// confirmCrash distinguishes a crash of the target from a lost connection: a target that answers with the same boot did
// not crash, and a target that stopped answering may just be unreachable.
func (sc *Scheduler) confirmCrash(ctx context.Context, boot string, err error) error {
	rf := requester.AsRefusal(err)
	if rf == nil || rf.Code() != requester.CodeTargetLost || rf.Outcome() != requester.OutcomeUnknown {
		return err
	}
	sc.send(message{kind: messageConnectionLost})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sc.options.PollInterval)
	defer cancel()
	load, pollErr := sc.options.Poll(ctx)
	crashed := rf.TargetLost()
	if pollErr == nil {
		crashed = load.BootID() != boot
	}
	if crashed {
		return requester.RefuseTargetLost(rf.Message())
	}
	return requester.RefuseUnknown(rf.Code(), rf.Message(), rf.RetryAfter())
}

// await returns the decision on a queued request. If the context ends first, the request is removed from the queue; the
// decision still comes from the state, so that a start that crosses the cancellation is not lost.
func (sc *Scheduler) await(ctx context.Context, it *item) decision {
	select {
	case dc := <-it.decision:
		return dc
	case <-ctx.Done():
		sc.send(message{kind: messageCancelled, item: it})
	case <-sc.done:
	}
	select {
	case dc := <-it.decision:
		return dc
	case <-sc.done:
	}
	select {
	case dc := <-it.decision:
		return dc
	default:
		return decision{refusal: refuseWrongHolder()}
	}
}

// Report returns the state of the queue and the slots as of the last change.
func (sc *Scheduler) Report() *wire.TargetReport { return sc.report.Load() }

// Drain refuses queued and new requests as not run, so that their entry instances try other targets, and lets running
// requests finish. It returns nil when no request runs or Run has ended, and the context's error if that ends first.
func (sc *Scheduler) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	sc.send(message{kind: messageDrain, drained: drained})
	select {
	case <-drained:
		return nil
	case <-sc.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done returns a channel that is closed when Run has ended.
func (sc *Scheduler) Done() <-chan struct{} { return sc.done }

// send passes a message to the state. The message is dropped if Run has ended.
func (sc *Scheduler) send(ms message) {
	select {
	case sc.inbox <- ms:
	case <-sc.done:
	}
}
