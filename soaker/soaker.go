// Package soaker runs soak tests with fault injection. It starts entry instances as separate processes against the
// emulator, injects the faults of a seed from outside (signals, loopback proxies, a misbehaving store), and checks what
// callers and targets observe against the promises of lovagebank.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"lovagebank/emulator"
)

const (
	// warmUpTimeout is the maximum wait until a new fleet serves adapters.
	warmUpTimeout = 30 * time.Second
	// checkInterval is the interval between two checks of the promises.
	checkInterval = 500 * time.Millisecond
	// recoveryTime is the time after the last fault until everything works again. It covers a lease, a holder's wait and
	// a load.
	recoveryTime = 20 * time.Second
	// stopTimeout is the maximum time from SIGTERM to the exit of an instance.
	stopTimeout = 15 * time.Second
	// While the store loses answers, every lostAnswerInterval-th write takes effect without an answer.
	lostAnswerInterval = 3
	// finalRequests is the number of requests sent after recovery; at least finalShare of them must be served.
	finalRequests       = 60
	finalShare          = 0.95
	warmUpRetryInterval = 100 * time.Millisecond
)

// Options configures a Soaker.
type Options struct {
	// Seed determines the faults.
	Seed uint64
	// FaultPeriod is the period in which faults start.
	FaultPeriod time.Duration
	// Instances is the number of entry instances.
	Instances int
	// StoreRollbacks adds store rollbacks: the store is restored from older copies.
	StoreRollbacks bool
	// Places selects a deployment with cold targets and regions, and adds evacuations and targets that become cold.
	Places bool
	// DamagedAnswers adds answers that are none, or that come before their request has been read, and callers with long
	// bodies.
	DamagedAnswers bool
	// Program is the path of the lovagebank binary. Folder is the path of the folder for settings and logs.
	Program string
	Folder  string
	// Progress is called with each progress line; nil discards them.
	Progress func(line string)
}

// rewriteTime is the delay after a store rollback until the operator and the targets have rewritten what they wrote
// since the copy.
const rewriteTime = 1500 * time.Millisecond

// plan returns the faults of the run, sorted by start.
func (op Options) plan() []Fault {
	plan := append(Plan(op.Seed, op.FaultPeriod), PlanRateLimits(op.Seed, op.FaultPeriod)...)
	plan = append(plan, PlanCrashingParts(op.Seed, op.FaultPeriod)...)
	plan = append(plan, PlanSoftwareChanges(op.Seed, op.FaultPeriod)...)
	plan = append(plan, PlanReach(op.Seed, op.FaultPeriod)...)
	plan = append(plan, PlanMisuse(op.Seed, op.FaultPeriod)...)
	plan = append(plan, PlanBrokenAnswers(op.Seed, op.FaultPeriod)...)
	if op.DamagedAnswers {
		plan = append(plan, PlanDamagedAnswers(op.Seed, op.FaultPeriod)...)
	}
	plan = append(plan, PlanUneven(op.Seed, op.FaultPeriod)...)
	if op.StoreRollbacks {
		plan = append(plan, PlanRollbacks(op.Seed, op.FaultPeriod)...)
	}
	if op.Places {
		plan = append(plan, PlanPlaces(op.Seed, op.FaultPeriod)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Start - b.Start) })
	return plan
}

// Soaker executes one run of a seed.
type Soaker struct {
	op      Options
	plan    []Fault
	fleet   *emulator.Fleet
	callers *callers
	checker *checker
	faults  *faultLog
	entries []*instance
	started time.Time

	mu        sync.Mutex
	links     map[string]*link
	linkNames []string
	// domainLinks are the links from the instances of each failure domain to each target.
	domainLinks map[string]*link
	keyChanges  int
	// replacements counts the engines that have been replaced.
	replacements int
}

// instance is an entry instance. The mutex admits one fault at a time that ends or pauses its process.
type instance struct {
	mu    sync.Mutex
	entry *emulator.Instance
}

// New returns a Soaker with the plan of its seed. Run starts the fleet and injects the faults.
func New(op Options) *Soaker {
	if op.Progress == nil {
		op.Progress = func(string) {}
	}
	return &Soaker{
		op: op, plan: op.plan(), faults: &faultLog{spans: make(map[int][]span)}, links: make(map[string]*link),
		domainLinks: make(map[string]*link),
	}
}

// ErrStopped reports that a run was stopped before it completed. Such a run proves nothing.
var ErrStopped = errors.New("run stopped before completion")

// Run injects the faults of the seed, checks the promises and returns the report. It returns ErrStopped if the context
// ends first, and other errors if the fleet does not start.
func (so *Soaker) Run(ctx context.Context) (*Report, error) {
	if ctx.Err() != nil {
		return nil, ErrStopped
	}
	fl, err := emulator.NewFleet(emulator.Options{
		Program: so.op.Program, Folder: so.op.Folder, AddressOverride: so.linkTo, DomainLink: so.linkDomain,
		Software: softwareVersions, StreamEvents: streamEvents, MemoryMB: memoryMB, MaxBodyBytes: maxBodyBytes, Places: so.op.Places,
	})
	if err != nil {
		return nil, err
	}
	so.fleet = fl
	defer so.close()
	if err := so.start(); err != nil {
		return nil, err
	}
	so.started = time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	load.Go(func() { so.callers.run(loadCtx) })
	load.Go(func() { so.checkPeriodically(loadCtx) })
	so.injectFaults(ctx)
	so.op.Progress("faults finished, waiting for recovery")
	so.awaitRecovery(ctx)
	stopLoad()
	load.Wait()
	if ctx.Err() != nil {
		return nil, ErrStopped
	}
	so.checkRecovered()
	so.checker.checkRateLimits()
	so.checker.checkCrashingParts()
	so.checker.checkStreams()
	if so.op.Places {
		so.checker.checkPlaces()
	}
	so.checker.check()
	return so.report(), nil
}

// linkTo returns the address of the named link, which forwards to the given address. It creates the link if there is
// none, and otherwise redirects the existing link.
func (so *Soaker) linkTo(name, address string) (string, error) {
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
	so.linkNames = append(so.linkNames, name)
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
	if so.op.Places {
		so.callers.paths = append(so.callers.paths, emulator.LocalPath+"1")
	}
	so.checker = newChecker(so.fleet, so.callers, so.faults)
	for until := time.Now().Add(warmUpTimeout); time.Now().Before(until); time.Sleep(warmUpRetryInterval) {
		if so.callers.issue(0, emulator.Key).status == http.StatusOK {
			return nil
		}
	}
	return oops.Errorf("the fleet did not serve an adapter within %v", warmUpTimeout)
}

func (so *Soaker) close() {
	so.fleet.Close()
	so.mu.Lock()
	defer so.mu.Unlock()
	for _, li := range append(slices.Collect(maps.Values(so.links)), slices.Collect(maps.Values(so.domainLinks))...) {
		if err := li.Close(); err != nil {
			so.op.Progress(fmt.Sprintf("link not closed: %v", err))
		}
	}
}

// checkPeriodically checks the promises periodically until the context ends.
func (so *Soaker) checkPeriodically(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
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

// injectFaults injects each fault at its time until the context ends. It returns when all injected faults have ended.
func (so *Soaker) injectFaults(ctx context.Context) {
	var injections sync.WaitGroup
	defer injections.Wait()
	for _, fa := range so.plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(so.started.Add(fa.Start))):
		}
		so.op.Progress(fa.String())
		injections.Go(func() { so.inject(fa) })
	}
}

func (so *Soaker) inject(fa Fault) {
	switch fa.Kind {
	case KindPause, KindKill, KindStop:
		so.injectInstanceFault(fa)
	case KindTargetCrash:
		ids := so.fleet.TargetIDs()
		so.expectInjected("restart of a target", so.fleet.RestartTarget(ids[fa.Subject%len(ids)]))
	case KindRateLimit:
		so.injectRateLimit(fa)
	case KindSoftwareChange:
		so.changeSoftware(fa)
	case KindCrashingPart:
		so.injectCrashingPart(fa)
	case KindCutReset, KindCutNew:
		so.cutDomain(fa)
	case KindBrittle:
		so.makeBrittle(fa)
	case KindEvacuation:
		so.evacuate(fa)
	case KindCold:
		so.becomeCold(fa)
	case KindUneven:
		so.makeUneven(fa)
	case KindTargetLeave:
		so.leaveTarget(fa)
	case KindMisuse:
		so.misuse(fa)
	case KindBrokenAnswer:
		so.breakAnswers(fa)
	case KindDamagedAnswer:
		so.damageAnswers(fa)
	case KindKeyChange:
		so.changeKey()
	case KindLinkDelay, KindLinkReset, KindLinkSilent, KindCutRequests, KindCutAnswers:
		so.mu.Lock()
		li := so.links[so.linkNames[fa.Subject%len(so.linkNames)]]
		so.mu.Unlock()
		defer so.faults.begin(commonFaults)()
		end := li.inject(fa.Kind)
		time.Sleep(fa.Duration)
		end()
	default:
		so.injectStoreFault(fa)
	}
}

func (so *Soaker) injectStoreFault(fa Fault) {
	store := so.fleet.Store()
	defer so.faults.begin(commonFaults)()
	switch fa.Kind {
	case KindStoreDown:
		store.SetDown(true)
		time.Sleep(fa.Duration)
		store.SetDown(false)
	case KindStoreLosesAnswers:
		store.LoseAnswers(lostAnswerInterval)
		time.Sleep(fa.Duration)
		store.LoseAnswers(0)
	case KindStoreCompaction:
		store.Compact()
	case KindLeaseExpiry:
		store.EndLeases()
	case KindStoreRollback:
		copied := store.Snapshot()
		time.Sleep(fa.Duration)
		store.RollBack(copied, rewriteTime)
	}
}

func (so *Soaker) injectInstanceFault(fa Fault) {
	number := fa.Subject % len(so.entries)
	in := so.entries[number]
	in.mu.Lock()
	defer in.mu.Unlock()
	defer so.faults.begin(number)()
	switch fa.Kind {
	case KindPause:
		so.expectInjected("pause", in.entry.Signal(syscall.SIGSTOP))
		time.Sleep(fa.Duration)
		so.expectInjected("continue", in.entry.Signal(syscall.SIGCONT))
		return
	case KindKill:
		so.expectInjected("kill", in.entry.Signal(syscall.SIGKILL))
		_ = in.entry.Wait()
		time.Sleep(fa.Duration)
	case KindStop:
		started := time.Now()
		so.expectInjected("stop", in.entry.Signal(syscall.SIGTERM))
		err := in.entry.Wait()
		took := time.Since(started)
		so.checker.expectLocking("an instance ends well and in time", err == nil && took < stopTimeout,
			fmt.Sprintf("instance %d: %v after %v", number, err, took))
	}
	so.restart(number, in)
}

// restart starts an instance again and waits until it is ready. It records a violation if that fails.
func (so *Soaker) restart(number int, in *instance) {
	if err := in.entry.Restart(); err != nil {
		so.checker.expectLocking("an instance that starts becomes ready", false, fmt.Sprintf("instance %d: %v", number, err))
	}
}

// expectInjected records a violation if the soak itself failed to inject a fault.
func (so *Soaker) expectInjected(what string, err error) {
	so.checker.expectLocking("the soak itself works", err == nil, fmt.Sprintf("%s: %v", what, err))
}

// changeKey replaces the key of the organisation and switches the callers to the new key.
func (so *Soaker) changeKey() {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.keyChanges++
	key := fmt.Sprintf("%s-%d", emulator.Key, so.keyChanges)
	if err := so.fleet.Configure(1+so.keyChanges, key); err != nil {
		so.expectInjected("configuration", err)
		return
	}
	so.callers.setKey(key)
}

// awaitRecovery waits for the recovery time or until the context ends.
func (so *Soaker) awaitRecovery(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(recoveryTime):
	}
}

// checkRecovered checks the promises of a fleet without faults: it serves requests, accepts only the newest key, and no
// instance has exited.
func (so *Soaker) checkRecovered() {
	served := 0
	var others []string
	for range finalRequests {
		number := int(so.callers.next.Add(1))
		an := so.callers.issue(number, so.callers.currentKey())
		if an.status == http.StatusOK {
			served++
			continue
		}
		others = append(others, fmt.Sprintf("%s %s status %d at instance %d after %v",
			an.id, an.path, an.status, an.instance, an.ended.Sub(an.started).Round(time.Millisecond)))
	}
	so.checker.expectLocking("a calm fleet serves", float64(served) >= finalShare*finalRequests,
		fmt.Sprintf("%d of %d, not: %s", served, finalRequests, strings.Join(others, "; ")))
	for number, in := range so.entries {
		so.checker.expectLocking("no instance ends by itself", in.entry.Signal(syscall.Signal(0)) == nil,
			fmt.Sprintf("instance %d", number))
	}
	if so.keyChanges == 0 {
		return
	}
	for range 3 * len(so.entries) {
		number := int(so.callers.next.Add(1))
		an := so.callers.issue(number, "withdrawn")
		so.checker.expectLocking("an unknown key is refused", an.status == http.StatusUnauthorized,
			fmt.Sprintf("status %d at %d", an.status, an.instance))
		an = so.callers.issue(number, emulator.Key)
		so.checker.expectLocking("a withdrawn key is refused", an.status == http.StatusUnauthorized,
			fmt.Sprintf("status %d at %d", an.status, an.instance))
	}
}

// Clean removes the folder of a run unless the report contains violations. It returns the error of the removal.
func (so *Soaker) Clean(re *Report) error {
	if len(re.Violations) > 0 {
		return nil
	}
	return os.RemoveAll(so.op.Folder)
}
