// Package keeper keeps this instance's lease in the store and its part of the targets' holders. A target has one
// holder, the only instance that may give it orders. The holder's entry in the store names it, and the entry's revision
// is the epoch of its orders. An entry may be taken over when the holder's own entry, which goes with its lease, is
// gone. A holder acts only until its lease can have run out, counted from before it asked for the renewal on a clock
// that goes on while the machine is suspended; who takes over waits until then and for the turn between two holders.
package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"lovagebank/pauser"
	"lovagebank/platform"
	"lovagebank/wire"
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
	// Turn is the least time between the orders of two holders of a target.
	Turn time.Duration
	// Grant, Renew, End and Transact call the store.
	Grant    func(context.Context, time.Duration) (int64, time.Duration, error)
	Renew    func(context.Context, int64) (time.Duration, error)
	End      func(context.Context, int64) error
	Transact func(context.Context, platform.Transaction) (int64, error)
	// Candidates returns the targets that need holders.
	Candidates func() []Candidate
	// Troubled tells whether the store failed calls within a time.
	Troubled func(time.Duration) bool
	// Changed is told when the targets that this instance holds have changed, and Gone when an instance has left.
	Changed func()
	Gone    func(instance string)
	// Boot returns the time since the machine started, suspensions included; nil for the system's.
	Boot func() time.Duration
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
}

// Keeper keeps the lease and the held targets. It is safe for concurrent use.
type Keeper struct {
	op   Options
	done chan struct{}

	mu           sync.Mutex
	ledger       *ledger
	lease        int64
	registered   bool
	registeredAt time.Time
	revision     int64
	validUntil   time.Duration
	renewAt      time.Time
	held         map[string]tenure
	lapsedAt     time.Time
	leaving      bool
}

// New makes a keeper; Run does its work.
func New(op Options) *Keeper {
	if op.Boot == nil {
		op.Boot = bootTime
	}
	return &Keeper{
		op:     op,
		done:   make(chan struct{}),
		ledger: newLedger(op.Name, op.FailureDomain, op.Turn, leaseTime),
		held:   make(map[string]tenure),
	}
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Done is closed when Run has ended.
func (ke *Keeper) Done() <-chan struct{} { return ke.done }

// Take takes in a change of the instances' own keys in the store.
func (ke *Keeper) Take(it platform.Item) {
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
			te.epoch = rc.revision
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
	now := ke.op.Boot()
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
	due, lease, registered := !time.Now().Before(ke.renewAt), ke.lease, ke.registered
	ke.mu.Unlock()
	switch {
	case lease == 0 && due:
		ke.grant(ctx)
	case lease != 0 && !registered && due:
		ke.register(ctx)
	case registered && due:
		ke.renew(ctx)
	}
	ke.claim(ctx)
	ke.settle(ctx)
}

// settle notes in the store, just before the first order, that the wait of a claim is over. A later process on this
// machine need not wait then, even if the machine has lost power and counts its time anew.
func (ke *Keeper) settle(ctx context.Context) {
	value, err := proto.Marshal(&wire.TargetHolder{Instance: ke.op.Name})
	if err != nil {
		ke.op.Logger.Error("encode holder entry", "error", err)
		return
	}
	tx := platform.Transaction{}
	var targets []string
	ke.mu.Lock()
	for target, te := range ke.held {
		left := te.from - ke.op.Boot()
		if te.settled || left > settleBefore || !ke.registered || len(targets) == maxClaims {
			continue
		}
		te.settled = true
		ke.held[target] = te
		if left <= 0 {
			continue
		}
		targets = append(targets, target)
		tx.Expected = append(tx.Expected, platform.Expectation{Key: holderPrefix + target, Revision: te.epoch})
		tx.Writes = append(tx.Writes, platform.Write{Key: holderPrefix + target, Value: value})
	}
	ke.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.op.Logger.Warn("holders not settled", "targets", len(targets), "error", err)
		return
	}
	ke.settledAt(targets, revision)
}

func (ke *Keeper) settledAt(targets []string, revision int64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	for _, target := range targets {
		te, ok := ke.held[target]
		if !ok {
			continue
		}
		te.epoch = revision
		ke.held[target] = te
		ke.ledger.holders[target] = holderRecord{instance: ke.op.Name, revision: revision}
	}
	ke.op.Logger.Info("holders settled", "targets", len(targets), "epoch", revision)
}

func (ke *Keeper) forget() {
	ke.mu.Lock()
	gone := ke.ledger.forget(time.Now())
	ke.mu.Unlock()
	for _, name := range gone {
		ke.op.Gone(name)
	}
}

func (ke *Keeper) postpone(by time.Duration) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.renewAt = time.Now().Add(by)
}

func (ke *Keeper) grant(ctx context.Context) {
	before := ke.op.Boot()
	lease, ttl, err := ke.op.Grant(ctx, leaseTime)
	if err != nil {
		ke.op.Logger.Warn("no lease", "error", err)
		ke.postpone(retryEvery)
		return
	}
	ke.mu.Lock()
	ke.lease, ke.registered, ke.validUntil = lease, false, before+ttl
	ke.mu.Unlock()
	ke.register(ctx)
}

// register writes this instance's entry, on condition that it still holds what it held before its lease ended.
func (ke *Keeper) register(ctx context.Context) {
	value, err := proto.Marshal(&wire.InstanceEntry{
		Address: ke.op.Address, FailureDomain: ke.op.FailureDomain, Start: ke.op.Start,
	})
	if err != nil {
		ke.op.Logger.Error("encode instance entry", "error", err)
		return
	}
	tx := platform.Transaction{Expected: ke.expectHeld()}
	ke.mu.Lock()
	tx.Writes = []platform.Write{{Key: instancePrefix + ke.op.Name, Value: value, Lease: ke.lease}}
	ke.mu.Unlock()
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.registrationFailed(err)
		return
	}
	ke.mu.Lock()
	if ke.registeredAt.IsZero() {
		ke.registeredAt = time.Now()
	}
	ke.registered, ke.revision = true, revision
	ke.renewAt = time.Now().Add(renewEvery)
	held := len(ke.held)
	ke.mu.Unlock()
	ke.op.Logger.Info("registered", "revision", revision, "held", held)
}

func (ke *Keeper) registrationFailed(err error) {
	ke.op.Logger.Warn("not registered", "error", err)
	ke.mu.Lock()
	switch {
	case errors.Is(err, platform.ErrConflict):
		clear(ke.held)
	case errors.Is(err, platform.ErrNotFound):
		ke.lease, ke.validUntil = 0, 0
	}
	ke.renewAt = time.Now().Add(retryEvery)
	ke.mu.Unlock()
	ke.op.Changed()
}

func (ke *Keeper) expectHeld() []platform.Expectation {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	expected := make([]platform.Expectation, 0, len(ke.held))
	for target, te := range ke.held {
		if len(expected) == 2*maxClaims {
			delete(ke.held, target)
			continue
		}
		expected = append(expected, platform.Expectation{Key: holderPrefix + target, Revision: te.epoch})
	}
	return expected
}

func (ke *Keeper) renew(ctx context.Context) {
	ke.mu.Lock()
	lease := ke.lease
	ke.mu.Unlock()
	before := ke.op.Boot()
	ttl, err := ke.op.Renew(ctx, lease)
	ke.mu.Lock()
	defer ke.mu.Unlock()
	switch {
	case err == nil:
		ke.validUntil = max(ke.validUntil, before+ttl)
		ke.renewAt = time.Now().Add(renewEvery)
	case errors.Is(err, platform.ErrLeaseEnded):
		ke.op.Logger.Warn("lease ended", "lease", lease)
		ke.lease, ke.registered, ke.validUntil = 0, false, 0
		ke.lapsedAt = time.Now()
		ke.renewAt = time.Time{}
	default:
		ke.op.Logger.Warn("lease not renewed", "lease", lease, "valid-for", ke.validUntil-ke.op.Boot(), "error", err)
		ke.renewAt = time.Now().Add(retryEvery)
	}
}

func (ke *Keeper) troubled() bool {
	return ke.op.Troubled(leaseTime) || !ke.lapsedAt.IsZero() && time.Since(ke.lapsedAt) < leaseTime
}

// claim claims targets that need a holder, and deletes the entries of those that are gone.
func (ke *Keeper) claim(ctx context.Context) {
	candidates := ke.op.Candidates()
	now := time.Now()
	ke.mu.Lock()
	if !ke.registered || ke.leaving {
		ke.mu.Unlock()
		return
	}
	claims := ke.ledger.claims(candidates, ke.held, situation{
		now: now, boot: ke.op.Boot(), registeredAt: ke.registeredAt, troubled: ke.troubled(),
	})
	departed := ke.ledger.departed(candidates, now)
	tx := ke.claimTransaction(claims, departed)
	ke.mu.Unlock()
	if len(claims)+len(departed) == 0 {
		return
	}
	revision, err := ke.op.Transact(ctx, tx)
	if err != nil {
		ke.op.Logger.Warn("claim failed", "targets", len(claims), "error", err)
		pauser.For(ctx, retryEvery)
		return
	}
	ke.claimed(claims, departed, revision)
}

func (ke *Keeper) claimTransaction(claims []claim, departed []string) platform.Transaction {
	tx := platform.Transaction{Expected: []platform.Expectation{{Key: instancePrefix + ke.op.Name, Revision: ke.revision}}}
	absent := make(map[string]bool)
	for _, cl := range claims {
		key := holderPrefix + cl.target
		value, err := proto.Marshal(&wire.TargetHolder{Instance: ke.op.Name, OrdersFromMs: cl.from.Milliseconds()})
		if err != nil {
			ke.op.Logger.Error("encode holder entry", "error", err)
			return platform.Transaction{}
		}
		tx.Expected = append(tx.Expected, platform.Expectation{Key: key, Revision: cl.record.revision})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
		if cl.record.instance != "" && cl.record.instance != ke.op.Name {
			absent[cl.record.instance] = true
		}
	}
	for name := range absent {
		tx.Expected = append(tx.Expected, platform.Expectation{Key: instancePrefix + name})
	}
	for _, target := range departed {
		tx.Deletes = append(tx.Deletes, holderPrefix+target)
	}
	return tx
}

func (ke *Keeper) claimed(claims []claim, departed []string, revision int64) {
	ke.mu.Lock()
	for _, cl := range claims {
		ke.held[cl.target] = tenure{epoch: revision, from: cl.from}
		ke.ledger.holders[cl.target] = holderRecord{instance: ke.op.Name, revision: revision, ordersFrom: cl.from}
	}
	for _, target := range departed {
		delete(ke.held, target)
		delete(ke.ledger.holders, target)
	}
	ke.mu.Unlock()
	for _, cl := range claims {
		ke.op.Logger.Info("target held", "target", cl.target, "epoch", revision, "before", cl.record.instance, "wait", cl.wait)
	}
	ke.op.Changed()
}

// Leave stops all orders and ends the lease, so that the instance counts as gone at once. Its targets stay its own in
// the store: the next process on this machine may order them without a wait, and if there is none, others take them over.
func (ke *Keeper) Leave(ctx context.Context) {
	ke.mu.Lock()
	ke.leaving = true
	lease := ke.lease
	clear(ke.held)
	ke.registered, ke.renewAt = false, time.Now().Add(time.Hour)
	ke.mu.Unlock()
	ke.op.Changed()
	if lease == 0 {
		return
	}
	if err := ke.op.End(ctx, lease); err != nil {
		ke.op.Logger.Warn("lease not ended", "lease", lease, "error", err)
	}
}
