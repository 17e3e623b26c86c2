// Package soaker runs entry instances as processes of their own against the emulator, strikes them with the faults of a
// seed from outside (signals, loopback proxies, a store that misbehaves), and checks what callers and targets see
// against what lovagebank promises.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"lovagebank/emulator"
)

const (
	// warmUpTime bounds the wait until a fresh fleet serves adapters.
	warmUpTime = 30 * time.Second
	// checkStep is the time between two checks of the promises.
	checkStep = 500 * time.Millisecond
	// calmTime is how long after the last fault everything works again: a lease, a holder's wait and a load.
	calmTime = 20 * time.Second
	// stopTime is how long an instance may take to end after SIGTERM.
	stopTime = 15 * time.Second
	// lostAnswers is which write of the store loses its answer while it loses some.
	lostAnswers = 3
	// finalRequests are sent at the end, of which finalShare must be served.
	finalRequests = 60
	finalShare    = 0.95
	retryPause    = 100 * time.Millisecond
)

// Options set a Soaker up.
type Options struct {
	// Seed draws the faults.
	Seed uint64
	// FaultPeriod is the time in which faults begin.
	FaultPeriod time.Duration
	// Instances is the number of entry instances.
	Instances int
	// StoreRollbacks has the store come back from older copies too.
	StoreRollbacks bool
	// Program is the built lovagebank, and Folder takes settings and logs.
	Program string
	Folder  string
	// Progress takes a line now and then; nil for none.
	Progress func(line string)
}

// writtenAgain is how long after a step back of the store the operator and the targets have written theirs again.
const writtenAgain = 1500 * time.Millisecond

// plan draws the run's faults.
func (op Options) plan() []Fault {
	plan := Plan(op.Seed, op.FaultPeriod)
	if op.StoreRollbacks {
		plan = append(plan, PlanRollbacks(op.Seed, op.FaultPeriod)...)
		slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Start - b.Start) })
	}
	return plan
}

// Soaker is one run.
type Soaker struct {
	op      Options
	plan    []Fault
	fleet   *emulator.Fleet
	callers *callers
	checker *checker
	faults  *faultLog
	entries []*instance
	began   time.Time

	mu    sync.Mutex
	links map[string]*link
	names []string
	keys  int
}

// instance is an entry instance; one fault at a time ends or pauses its process.
type instance struct {
	mu    sync.Mutex
	entry *emulator.Instance
}

// New makes a soaker; Run does its work.
func New(op Options) *Soaker {
	if op.Progress == nil {
		op.Progress = func(string) {}
	}
	return &Soaker{
		op: op, plan: op.plan(), faults: &faultLog{spans: make(map[int][]span)}, links: make(map[string]*link),
	}
}

// ErrStopped means that a run was stopped before its end, so that it proves nothing.
var ErrStopped = errors.New("stopped before its end")

// Run plays the seed and returns what was found, or ErrStopped if the context ends meanwhile.
func (so *Soaker) Run(ctx context.Context) (*Report, error) {
	if ctx.Err() != nil {
		return nil, ErrStopped
	}
	fl, err := emulator.NewFleet(emulator.Options{Program: so.op.Program, Folder: so.op.Folder, AddressOverride: so.via})
	if err != nil {
		return nil, err
	}
	so.fleet = fl
	defer so.close()
	if err := so.start(); err != nil {
		return nil, err
	}
	so.began = time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	load.Go(func() { so.callers.run(loadCtx) })
	load.Go(func() { so.watch(loadCtx) })
	so.play(ctx)
	so.op.Progress("faults over, waiting for calm")
	so.settle(ctx)
	stopLoad()
	load.Wait()
	if ctx.Err() != nil {
		return nil, ErrStopped
	}
	so.checkCalm()
	so.checker.check()
	return so.report(), nil
}

// via puts a link before an address, or leads the one that there is to it.
func (so *Soaker) via(name, address string) (string, error) {
	so.mu.Lock()
	defer so.mu.Unlock()
	if li, ok := so.links[name]; ok {
		li.SetTarget(address)
		return li.Address(), nil
	}
	li, err := newLink(address)
	if err != nil {
		return "", err
	}
	so.links[name] = li
	so.names = append(so.names, name)
	return li.Address(), nil
}

func (so *Soaker) start() error {
	var addresses []string
	for number := range so.op.Instances {
		en, err := so.fleet.StartInstance(number)
		if err != nil {
			return err
		}
		so.entries = append(so.entries, &instance{entry: en})
		addresses = append(addresses, en.Address())
	}
	so.callers = newCallers(addresses)
	so.checker = newChecker(so.fleet, so.callers, so.faults)
	for until := time.Now().Add(warmUpTime); time.Now().Before(until); time.Sleep(retryPause) {
		if so.callers.ask(0, emulator.Key).status == http.StatusOK {
			return nil
		}
	}
	return oops.Errorf("the fleet did not serve an adapter within %v", warmUpTime)
}

func (so *Soaker) close() {
	so.fleet.Close()
	so.mu.Lock()
	defer so.mu.Unlock()
	for _, li := range so.links {
		if err := li.Close(); err != nil {
			so.op.Progress(fmt.Sprintf("link not closed: %v", err))
		}
	}
}

// watch checks the promises while the load runs.
func (so *Soaker) watch(ctx context.Context) {
	ticker := time.NewTicker(checkStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			so.checker.check()
		}
	}
}

// play strikes each fault at its time and returns when all have ended.
func (so *Soaker) play(ctx context.Context) {
	var striking sync.WaitGroup
	defer striking.Wait()
	for _, fa := range so.plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(so.began.Add(fa.Start))):
		}
		so.op.Progress(fa.String())
		striking.Go(func() { so.strike(fa) })
	}
}

func (so *Soaker) strike(fa Fault) {
	switch fa.Kind {
	case KindPause, KindKill, KindStop:
		so.strikeInstance(fa)
	case KindTargetCrash:
		ids := so.fleet.TargetIDs()
		so.failed("restart of a target", so.fleet.RestartTarget(ids[fa.Subject%len(ids)]))
	case KindKeyChange:
		so.changeKey()
	case KindLinkDelay, KindLinkReset, KindLinkSilent, KindCutRequests, KindCutAnswers:
		so.mu.Lock()
		li := so.links[so.names[fa.Subject%len(so.names)]]
		so.mu.Unlock()
		end := li.strike(fa.Kind)
		time.Sleep(fa.Duration)
		end()
	default:
		so.strikeStore(fa)
	}
}

func (so *Soaker) strikeStore(fa Fault) {
	store := so.fleet.Store()
	switch fa.Kind {
	case KindStoreDown:
		store.SetDown(true)
		time.Sleep(fa.Duration)
		store.SetDown(false)
	case KindStoreLosesAnswers:
		store.LoseAnswers(lostAnswers)
		time.Sleep(fa.Duration)
		store.LoseAnswers(0)
	case KindStoreCompaction:
		store.Compact()
	case KindLeaseExpiry:
		store.EndLeases()
	case KindStoreRollback:
		copied := store.Snapshot()
		time.Sleep(fa.Duration)
		store.RollBack(copied, writtenAgain)
	}
}

func (so *Soaker) strikeInstance(fa Fault) {
	number := fa.Subject % len(so.entries)
	in := so.entries[number]
	in.mu.Lock()
	defer in.mu.Unlock()
	defer so.faults.begin(number)()
	switch fa.Kind {
	case KindPause:
		so.failed("pause", in.entry.Signal(syscall.SIGSTOP))
		time.Sleep(fa.Duration)
		so.failed("continue", in.entry.Signal(syscall.SIGCONT))
		return
	case KindKill:
		so.failed("kill", in.entry.Signal(syscall.SIGKILL))
		_ = in.entry.Wait()
		time.Sleep(fa.Duration)
	case KindStop:
		begun := time.Now()
		so.failed("stop", in.entry.Signal(syscall.SIGTERM))
		err := in.entry.Wait()
		took := time.Since(begun)
		so.checker.note("an instance ends well and in time", err == nil && took < stopTime, fmt.Sprintf("instance %d: %v after %v", number, err, took))
	}
	so.restart(number, in)
}

// restart starts an instance again, and waits for it where the store is there.
func (so *Soaker) restart(number int, in *instance) {
	if err := in.entry.Restart(); err != nil {
		so.checker.note("an instance that starts becomes ready", false, fmt.Sprintf("instance %d: %v", number, err))
	}
}

func (so *Soaker) failed(what string, err error) {
	so.checker.note("the soak itself works", err == nil, fmt.Sprintf("%s: %v", what, err))
}

// changeKey replaces the organisation's key.
func (so *Soaker) changeKey() {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.keys++
	key := fmt.Sprintf("%s-%d", emulator.Key, so.keys)
	if err := so.fleet.Configure(1+so.keys, key); err != nil {
		so.failed("configuration", err)
		return
	}
	so.callers.setKey(key)
}

// settle waits until the fleet is calm again.
func (so *Soaker) settle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(calmTime):
	}
}

// checkCalm holds a fleet without faults against what it owes: it serves, with the newest key only.
func (so *Soaker) checkCalm() {
	served := 0
	for range finalRequests {
		number := int(so.callers.next.Add(1))
		if so.callers.ask(number, so.callers.currentKey()).status == http.StatusOK {
			served++
		}
	}
	so.checker.note("a calm fleet serves", float64(served) >= finalShare*finalRequests, fmt.Sprintf("%d of %d", served, finalRequests))
	for number, in := range so.entries {
		so.checker.note("no instance ends by itself", in.entry.Signal(syscall.Signal(0)) == nil, fmt.Sprintf("instance %d", number))
	}
	if so.keys == 0 {
		return
	}
	for range 3 * len(so.entries) {
		number := int(so.callers.next.Add(1))
		an := so.callers.ask(number, "withdrawn")
		so.checker.note("an unknown key is refused", an.status == http.StatusUnauthorized, fmt.Sprintf("status %d at %d", an.status, an.instance))
		an = so.callers.ask(number, emulator.Key)
		so.checker.note("a withdrawn key is refused", an.status == http.StatusUnauthorized, fmt.Sprintf("status %d at %d", an.status, an.instance))
	}
}

// Clean removes a run's folder, unless something was found.
func (so *Soaker) Clean(re *Report) error {
	if len(re.Violations) > 0 {
		return nil
	}
	return os.RemoveAll(so.op.Folder)
}
