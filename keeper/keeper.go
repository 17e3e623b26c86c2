// Package keeper maintains this instance's lease in the store and elects the holders of targets. Each target has one
// holder, the only instance that may send it orders. An entry in the store names the holder, and the entry's revision
// is the epoch of its orders. Another instance may take the entry over when the holder's own instance entry, which is
// bound to its lease, no longer exists. A holder stops before its lease can have expired, counted from before it requested
// the renewal, on a clock that keeps running while the machine is suspended. An instance that takes over waits until then
// and for the handover delay between two holders.
package keeper

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"lovagebank/platform"
	"lovagebank/sleeper"
)

const (
	// leaseTime is how long the store keeps an instance's entry without a renewal. It is longer than a failure domain is
	// usually cut off, so that its holders keep their targets.
	leaseTime = 12 * time.Second
	// renewInterval is the time between renewals; retryInterval is the time until the next attempt after a failed one.
	renewInterval = 3 * time.Second
	retryInterval = 600 * time.Millisecond
	// leaseMargin is how long before the earliest expiry of its lease a holder stops sending orders.
	leaseMargin = 500 * time.Millisecond
	// clearWaitLead is how long before the first order the holder clears its wait in the store.
	clearWaitLead = 400 * time.Millisecond
	// runInterval is the time between two rounds of Run.
	runInterval = 250 * time.Millisecond
)

// Options configures a Keeper.
type Options struct {
	// Name, Address, FailureDomain and Start are written to this instance's entry.
	Name          string
	Address       string
	FailureDomain string
	Start         string
	// HandoverDelay is the minimum time between the orders of two successive holders of a target.
	HandoverDelay time.Duration
	// Grant, Renew, End and Transact call the store.
	Grant    func(context.Context, time.Duration) (platform.Lease, time.Duration, error)
	Renew    func(context.Context, platform.Lease) (time.Duration, error)
	End      func(context.Context, platform.Lease) error
	Transact func(context.Context, platform.Transaction) (int64, error)
	// Candidates returns the targets that need holders.
	Candidates func() []Candidate
	// StoreFailed reports whether calls to the store failed within the given time.
	StoreFailed func(time.Duration) bool
	// Changed is called when the targets that this instance holds may have changed, and InstanceRemoved when a departed
	// instance is dropped.
	Changed         func()
	InstanceRemoved func(instance string)
	// BootTime returns the time since the machine started, including time suspended; nil selects the system clock.
	BootTime func() time.Duration
	// Logger receives a line for each change.
	Logger *log.Logger
}

// heldTarget is the state of a target that this instance holds.
type heldTarget struct {
	epoch int64
	// from is the boot time from which orders may be sent.
	from time.Duration
	// waitCleared is true if the entry in the store has no wait left, or if an attempt was made to clear it.
	waitCleared bool
	// era is the store's era in which the entry was written.
	era int64
}

// Keeper maintains the lease and the held targets. It is safe for concurrent use.
type Keeper struct {
	op   Options
	done chan struct{}

	mu           sync.Mutex
	view         *storeView
	lease        platform.Lease
	registered   bool
	registeredAt time.Time
	revision     int64
	validUntil   time.Duration
	renewAt      time.Time
	held         map[string]heldTarget
	leaseEndedAt time.Time
	// era is the newest known era of the store, and rolledBackAt is when it began as far as known; zero if no rollback was
	// seen.
	era          int64
	rolledBackAt time.Time
	leaving      bool
}

// New returns a Keeper; Run does its work.
func New(op Options) *Keeper {
	if op.BootTime == nil {
		op.BootTime = bootClock(op.Logger)
	}
	return &Keeper{
		op:   op,
		done: make(chan struct{}),
		view: newStoreView(op.Name, op.FailureDomain, op.HandoverDelay, leaseTime),
		held: make(map[string]heldTarget),
	}
}

// bootClock returns a clock that keeps running while the machine is suspended. If the system has none, the clock counts from
// the start of the process and stops during suspension: a lease may then appear to last longer than it does.
func bootClock(logger *log.Logger) func() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		logger.Error("no clock that includes suspended time", "error", err)
		start := time.Now()
		return func() time.Duration { return time.Since(start) }
	}
	return func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			logger.Error("clock not readable, treating the lease as expired", "error", err)
			return farFuture
		}
		return time.Duration(now.Nano())
	}
}

// farFuture is later than the expiry of any lease.
const farFuture = time.Duration(math.MaxInt64 / 2)

// Done is closed when Run has ended.
func (ke *Keeper) Done() <-chan struct{} { return ke.done }

// Apply applies a change of one of the keys that the instances keep in the store.
func (ke *Keeper) Apply(it platform.Item) {
	ke.mu.Lock()
	err := ke.view.apply(it, time.Now())
	ke.dropLost()
	ke.mu.Unlock()
	if err != nil {
		ke.op.Logger.Warn("entry skipped", "key", it.Key, "error", err)
	}
	ke.op.Changed()
}

// dropLost drops targets that another instance has taken over. If an entry that is newer than the epoch names this instance,
// it comes from a write whose answer was lost, and its revision becomes the epoch.
func (ke *Keeper) dropLost() {
	for target, ht := range ke.held {
		rc, ok := ke.view.holders[target]
		if !ok || rc.revision <= ht.epoch {
			continue
		}
		if rc.instance == ke.op.Name {
			ht.epoch, ht.era, ht.waitCleared = rc.revision, rc.era, ht.waitCleared && rc.era == ke.era
			ke.held[target] = ht
			continue
		}
		delete(ke.held, target)
		ke.op.Logger.Warn("target lost", "target", target, "epoch", ht.epoch, "holder", rc.instance)
	}
}

// Authority returns the epoch under which this instance may send orders to a target now; false if it may not.
func (ke *Keeper) Authority(target string) (int64, bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ht, ok := ke.held[target]
	now := ke.op.BootTime()
	if !ok || ke.leaving || now < ht.from || now >= ke.validUntil-leaseMargin {
		return 0, false
	}
	return ht.epoch, true
}

// Held returns the targets that this instance holds.
func (ke *Keeper) Held() []string {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	held := make([]string, 0, len(ke.held))
	for target := range ke.held {
		held = append(held, target)
	}
	return held
}

// HeldBy returns the targets that an instance holds according to the store.
func (ke *Keeper) HeldBy(instance string) []string {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	var held []string
	for target, rc := range ke.view.holders {
		if rc.instance == instance {
			held = append(held, target)
		}
	}
	return held
}

// Holder returns the instance that holds a target according to the store; empty if none does.
func (ke *Keeper) Holder(target string) string {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.view.holders[target].instance
}

// Instances returns all other instances that have an entry in the store, or whose entry was removed recently.
func (ke *Keeper) Instances() []Instance {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	others := make([]Instance, 0, len(ke.view.instances))
	for name, in := range ke.view.instances {
		if name != ke.op.Name {
			others = append(others, *in)
		}
	}
	return others
}

// Run maintains the lease and claims targets until the context ends.
func (ke *Keeper) Run(ctx context.Context) {
	defer close(ke.done)
	for ctx.Err() == nil {
		ke.runDue(ctx)
		sleeper.For(ctx, runInterval)
	}
}

func (ke *Keeper) runDue(ctx context.Context) {
	ke.removeAbsent()
	ke.mu.Lock()
	due, lease, registered, leaving := !time.Now().Before(ke.renewAt), ke.lease, ke.registered, ke.leaving
	ke.mu.Unlock()
	if leaving {
		return
	}
	ke.dropUnconfirmed()
	switch {
	case lease.IsZero() && due:
		ke.grant(ctx)
	case !lease.IsZero() && !registered && due:
		ke.register(ctx)
	case registered && due:
		ke.renew(ctx)
	}
	ke.claimTargets(ctx)
	ke.clearWaits(ctx)
}

func (ke *Keeper) removeAbsent() {
	ke.mu.Lock()
	removed := ke.view.removeAbsent(time.Now())
	ke.mu.Unlock()
	for _, name := range removed {
		ke.op.InstanceRemoved(name)
	}
}

// Leave stops all orders and ends the lease, so that the instance counts as departed at once. The holder entries of its
// targets stay in the store: the next process on this machine may send them orders without a wait; if there is none, other
// instances take them over.
func (ke *Keeper) Leave(ctx context.Context) {
	ke.mu.Lock()
	ke.leaving = true
	lease := ke.lease
	clear(ke.held)
	ke.registered = false
	ke.mu.Unlock()
	ke.op.Changed()
	if lease.IsZero() {
		return
	}
	if err := ke.op.End(ctx, lease); err != nil {
		ke.op.Logger.Warn("lease not ended", "lease", lease, "error", err)
	}
}
