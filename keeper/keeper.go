// Package keeper keeps this instance's lease in the store and its part of the targets' holders. A target has one
// holder, the only instance that may give it orders. The holder's entry in the store names it, and the entry's revision
// is the epoch of its orders. An entry may be taken over when the holder's own entry, which goes with its lease, is
// gone. A holder acts only until its lease can have run out, counted from before it asked for the renewal on a clock
// that goes on while the machine is suspended; who takes over waits until then and for the turn between two holders.
package keeper

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"lovagebank/pauser"
	"lovagebank/platform"
)

const (
	// leaseTime is how long the store keeps an instance's entry without a renewal: longer than a failure domain is
	// usually cut off, so that its holders go on.
	leaseTime = 12 * time.Second
	// renewEvery is the time between renewals, and retryEvery that after one that failed.
	renewEvery = 3 * time.Second
	retryEvery = 600 * time.Millisecond
	// leaseMargin is how long before the lease can run out a holder stops.
	leaseMargin = 500 * time.Millisecond
	// settleBefore is how long before the first order the holder notes in the store that it need not wait any more.
	settleBefore = 400 * time.Millisecond
	// step is the time between two looks at what is due.
	step = 250 * time.Millisecond
)

// Options set a Keeper up.
type Options struct {
	// Name, Address, FailureDomain and Start are this instance's entry.
	Name          string
	Address       string
	FailureDomain string
	Start         string
	// HandoverDelay is the least time between the orders of two holders of a target.
	HandoverDelay time.Duration
	// Grant, Renew, End and Transact call the store.
	Grant    func(context.Context, time.Duration) (platform.Lease, time.Duration, error)
	Renew    func(context.Context, platform.Lease) (time.Duration, error)
	End      func(context.Context, platform.Lease) error
	Transact func(context.Context, platform.Transaction) (int64, error)
	// Candidates returns the targets that need holders.
	Candidates func() []Candidate
	// StoreFailed tells whether the store failed calls within a time.
	StoreFailed func(time.Duration) bool
	// Changed is told when the targets that this instance holds have changed, and Gone when an instance has left.
	Changed         func()
	InstanceRemoved func(instance string)
	// BootTime returns the time since the machine started, suspensions included; nil for the system's.
	BootTime func() time.Duration
	// Logger takes a line for each change.
	Logger *log.Logger
}

// tenure is a target that this instance holds.
type tenure struct {
	epoch int64
	// from is the boot time from which orders may be given.
	from time.Duration
	// settled tells that the store says that no wait is left, or that this was tried.
	settled bool
	// era is the store's era in which the entry was written.
	era int64
}

// Keeper keeps the lease and the held targets. It is safe for concurrent use.
type Keeper struct {
	op   Options
	done chan struct{}

	mu           sync.Mutex
	ledger       *ledger
	lease        platform.Lease
	registered   bool
	registeredAt time.Time
	revision     int64
	validUntil   time.Duration
	renewAt      time.Time
	held         map[string]tenure
	lapsedAt     time.Time
	// era is the store's newest era that is known, and steppedBackAt when it is known to have begun; zero if it was there from
	// the start.
	era           int64
	steppedBackAt time.Time
	leaving       bool
}

// New makes a keeper; Run does its work.
func New(op Options) *Keeper {
	if op.BootTime == nil {
		op.BootTime = bootClock(op.Logger)
	}
	return &Keeper{
		op:     op,
		done:   make(chan struct{}),
		ledger: newLedger(op.Name, op.FailureDomain, op.HandoverDelay, leaseTime),
		held:   make(map[string]tenure),
	}
}

// bootClock returns a clock that goes on while the machine is suspended. Where the system has none, it counts from the
// start of the process and stands still meanwhile: a lease may then seem to last longer than it does.
func bootClock(logger *log.Logger) func() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		logger.Error("no clock counts suspended time", "error", err)
		start := time.Now()
		return func() time.Duration { return time.Since(start) }
	}
	return func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			logger.Error("clock not read, no lease holds", "error", err)
			return farFuture
		}
		return time.Duration(now.Nano())
	}
}

// farFuture is later than any lease ends.
const farFuture = time.Duration(math.MaxInt64 / 2)

// Done is closed when Run has ended.
func (ke *Keeper) Done() <-chan struct{} { return ke.done }

// Apply takes in a change of the instances' own keys in the store.
func (ke *Keeper) Apply(it platform.Item) {
	ke.mu.Lock()
	err := ke.ledger.take(it, time.Now())
	ke.dropLost()
	ke.mu.Unlock()
	if err != nil {
		ke.op.Logger.Warn("entry skipped", "key", it.Key, "error", err)
	}
	ke.op.Changed()
}

// dropLost drops targets that another instance has taken over. An entry of this instance's own that is newer than the
// epoch is of a write whose answer was lost.
func (ke *Keeper) dropLost() {
	for target, te := range ke.held {
		rc, ok := ke.ledger.holders[target]
		if !ok || rc.revision <= te.epoch {
			continue
		}
		if rc.instance == ke.op.Name {
			te.epoch, te.era, te.settled = rc.revision, rc.era, te.settled && rc.era == ke.era
			ke.held[target] = te
			continue
		}
		delete(ke.held, target)
		ke.op.Logger.Warn("target lost", "target", target, "epoch", te.epoch, "holder", rc.instance)
	}
}

// Authority returns the epoch under which this instance may order a target now.
func (ke *Keeper) Authority(target string) (int64, bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	te, ok := ke.held[target]
	now := ke.op.BootTime()
	if !ok || ke.leaving || now < te.from || now >= ke.validUntil-leaseMargin {
		return 0, false
	}
	return te.epoch, true
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

// HeldBy returns the targets that an instance holds, by the store's word.
func (ke *Keeper) HeldBy(instance string) []string {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	var held []string
	for target, rc := range ke.ledger.holders {
		if rc.instance == instance {
			held = append(held, target)
		}
	}
	return held
}

// Holder returns the instance that holds a target, by the store's word; empty if none does.
func (ke *Keeper) Holder(target string) string {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.ledger.holders[target].instance
}

// Instances returns all instances but this one that are there, or have left the store only lately.
func (ke *Keeper) Instances() []Instance {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	others := make([]Instance, 0, len(ke.ledger.instances))
	for name, in := range ke.ledger.instances {
		if name != ke.op.Name {
			others = append(others, *in)
		}
	}
	return others
}

// Run works until the context ends.
func (ke *Keeper) Run(ctx context.Context) {
	defer close(ke.done)
	for ctx.Err() == nil {
		ke.work(ctx)
		pauser.For(ctx, step)
	}
}

func (ke *Keeper) work(ctx context.Context) {
	ke.forget()
	ke.mu.Lock()
	due, lease, registered, leaving := !time.Now().Before(ke.renewAt), ke.lease, ke.registered, ke.leaving
	ke.mu.Unlock()
	if leaving {
		return
	}
	ke.dropUnconfirmed()
	switch {
	case lease.None() && due:
		ke.grant(ctx)
	case !lease.None() && !registered && due:
		ke.register(ctx)
	case registered && due:
		ke.renew(ctx)
	}
	ke.claim(ctx)
	ke.settle(ctx)
}

func (ke *Keeper) forget() {
	ke.mu.Lock()
	gone := ke.ledger.forget(time.Now())
	ke.mu.Unlock()
	for _, name := range gone {
		ke.op.InstanceRemoved(name)
	}
}

// Leave stops all orders and ends the lease, so that the instance counts as gone at once. Its targets stay its own in
// the store: the next process on this machine may order them without a wait, and if there is none, others take them over.
func (ke *Keeper) Leave(ctx context.Context) {
	ke.mu.Lock()
	ke.leaving = true
	lease := ke.lease
	clear(ke.held)
	ke.registered = false
	ke.mu.Unlock()
	ke.op.Changed()
	if lease.None() {
		return
	}
	if err := ke.op.End(ctx, lease); err != nil {
		ke.op.Logger.Warn("lease not ended", "lease", lease, "error", err)
	}
}
