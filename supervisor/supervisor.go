// Package supervisor builds an entry instance for the users' platform from its components, runs them and shuts them down
// in order.
package supervisor

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/acceptor"
	"lovagebank/admitter"
	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/budgeter"
	"lovagebank/cacher"
	"lovagebank/encoder"
	"lovagebank/estimator"
	"lovagebank/evacuator"
	"lovagebank/exchanger"
	"lovagebank/follower"
	"lovagebank/forwarder"
	"lovagebank/keeper"
	"lovagebank/permitter"
	"lovagebank/platform"
	"lovagebank/prober"
	"lovagebank/profiler"
	"lovagebank/quarantiner"
	"lovagebank/recorder"
	"lovagebank/relayer"
	"lovagebank/releaser"
	"lovagebank/reporter"
	"lovagebank/reserver"
	"lovagebank/resumer"
	"lovagebank/router"
	"lovagebank/sleeper"
	"lovagebank/throttler"
	"lovagebank/watcher"
	"lovagebank/wire"
)

const (
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory limit of the process.
	memoryLimitRatio = 0.7
	// removalGracePeriod is how long a target is kept after its entry disappears around an outage of the store. It
	// gives live targets the time to register again.
	removalGracePeriod = 2500 * time.Millisecond
	// recentFailureWindow is how long after a failed call to the store a removal counts as one around an outage.
	recentFailureWindow = 5 * time.Second
	// firstRegistrationTime is the time within which all instances of a fleet have registered on its first start.
	firstRegistrationTime = 500 * time.Millisecond
	// readerDecisionTimeout is how long a starting instance waits to learn whether a reader keeps its copies up to date.
	readerDecisionTimeout = 800 * time.Millisecond
	// operatorRegainTimeout is the maximum time that the watchers of targets and instances wait for the watcher of the
	// operator's keys to regain the store.
	operatorRegainTimeout = 2 * time.Second
)

// targetPace and ownPace bound the calls that watch the targets and the instances' own keys. Calls to the store are
// costly, and targets write their entries at each change of their adapters. A watch that is waiting while the store drops
// its history may receive no more events, so the waits end well before the time by which a change has to be known.
var (
	targetPace = watcher.Pace{Wait: 2500 * time.Millisecond, Pause: 900 * time.Millisecond}
	ownPace    = watcher.Pace{Wait: 10 * time.Second, Pause: 800 * time.Millisecond}
)

const (
	// maxOperatorWait and operatorPause bound the calls that watch the operator's keys. maxOperatorWait applies where
	// the time limit for putting a configuration in force is long.
	maxOperatorWait = 2500 * time.Millisecond
	operatorPause   = 30 * time.Millisecond
)

// operatorPace returns the bounds of the calls that watch the operator's keys. A reader that is cut off from the store
// counts as up to date until an answer is overdue, and its followers must still read a configuration within inForce, the
// time limit for putting it in force.
func operatorPace(inForce time.Duration) watcher.Pace {
	return watcher.Pace{Wait: min(maxOperatorWait, inForce/2), Pause: operatorPause}
}

// Options configures a Supervisor.
type Options struct {
	// Settings are the instance's settings.
	Settings *platform.Settings
	// SettingsPath is the path of the settings file, which SIGHUP reloads.
	SettingsPath string
	// MetricsPort is the port of the metrics endpoint; 0 disables it.
	MetricsPort int
	// NoPrefixCache disables that prompt parts which engines have cached count in the choice among them.
	NoPrefixCache bool
	// Out receives the log.
	Out io.Writer
	// Dial opens connections to the store, to targets and to other instances; nil opens TCP connections.
	Dial platform.Dial
	// Listen opens the instance's listeners; nil listens on TCP ports.
	Listen func(network, address string) (net.Listener, error)
}

// Supervisor runs the components of one instance.
type Supervisor struct {
	op       Options
	settings *platform.Settings
	start    string
	recorder *recorder.Recorder
	logger   *log.Logger
	reporter *reporter.Reporter

	store       *platform.Store
	targets     *platform.TargetClient
	balancer    *balancer.Balancer
	forwarder   *forwarder.Forwarder
	allotter    *allotter.Allotter
	budgeter    *budgeter.Budgeter
	cacher      *cacher.Cacher
	quarantiner *quarantiner.Quarantiner
	parts       *quarantiner.Parts
	verdicts    verdictRecords
	evidence    evidenceEntries
	profiler    *profiler.Profiler
	estimator   *estimator.Estimator
	throttler   *throttler.Throttler
	evacuator   *evacuator.Evacuator
	// evacuating serializes the changes of evacuations, which come from the store and from peers.
	evacuating sync.Mutex
	permitter  *permitter.Permitter
	resumer    *resumer.Resumer
	keeper     *keeper.Keeper
	exchanger  *exchanger.Exchanger
	encoder    *encoder.Encoder
	follower   *follower.Follower
	prober     *prober.Prober
	relayer    *relayer.Relayer
	reserver   *reserver.Reserver
	// peerReserver is the budget of peers' calls.
	peerReserver *reserver.Reserver
	memory       memoryReport
	acceptor     *acceptor.Acceptor
	holdings     *holdings

	operatorWatcher *watcher.Watcher
	targetWatcher   *watcher.Watcher
	ownWatcher      *watcher.Watcher

	configuration atomic.Pointer[router.Configuration]
	releaser      releaser.Releaser
	departed      departedTargets
	// reportedDepartures are removals of targets that this instance has learned of from peers only.
	reportedDepartures reportedDepartures
	// heldUpdate is the part of the state updates that covers the targets that this instance holds.
	heldUpdate     atomic.Pointer[[]*wire.HeldTarget]
	peerRevisions  peerRevisions
	targetContacts targetContacts
	reportedChange reportedChange
	// operatorChange is the store's revision of the newest known change of the operator's keys.
	operatorChange      atomic.Int64
	silentPeers         silentPeers
	unresponsiveHolders unresponsiveHolders
	engines             engineReporter
	malformed           malformedLog
	malformedPaces      malformedLog
	speedChanges        malformedLog
	storeFailures       watcher.FailureTracker
	// contended is set where callers compete for targets without room for all of them.
	contended bool
	startedAt time.Time
	// shutdown says how the instance shuts down; nil while it does not. ending is done once the requests in progress have to be
	// answered at once, and endRequests does that.
	shutdown    atomic.Pointer[acceptor.Shutdown]
	ending      context.Context
	endRequests context.CancelFunc
	serving     atomic.Int64
	tasks       sync.WaitGroup
}

// New returns an instance with its components; Run starts it.
func New(op Options) *Supervisor {
	if op.Listen == nil {
		op.Listen = net.Listen
	}
	st := op.Settings
	su := &Supervisor{
		op:          op,
		settings:    st,
		start:       strconv.FormatUint(rand.Uint64(), 36),
		recorder:    recorder.New(op.Out),
		reporter:    reporter.New(),
		quarantiner: quarantiner.New(),
		profiler:    profiler.New(),
		estimator:   estimator.New(),
		cacher:      cacher.New(),
		engines:     engineReporter{limited: make(map[string]bool)},
		evidence:    evidenceEntries{revisions: make(map[string]int64)},
		contended:   st.HasContract(platform.PressureContract),
		startedAt:   time.Now(),
	}
	su.ending, su.endRequests = context.WithCancel(context.Background())
	su.encoder = encoder.New(su.start)
	su.parts = quarantiner.NewParts(su.start)
	su.throttler = throttler.New(throttler.Options{
		Ask: su.askSend, Instances: su.instanceCount, Random: rand.Float64, ColdRate: su.coldRate,
	})
	su.evacuator = evacuator.New()
	su.reserver, su.peerReserver = reserver.New(memoryBudget(st)), reserver.New(peerBudget(st))
	answers := su.answerBudget()
	su.targets = platform.NewTargetClient(op.Dial, answers)
	su.store = platform.NewStore(platform.StoreOptions{
		Address: st.StoreAddress(), OnRollback: su.storeRolledBack, Dial: op.Dial, Budget: answers,
	})
	su.logger = su.recorder.Logger().With("instance", st.Name())
	su.prober = su.newProber()
	su.relayer = su.newRelayer()
	su.forwarder = forwarder.New(forwarder.Options{
		Dial: op.Dial, Budget: answers, Opened: su.prober.Opened, Received: su.prober.Received, Broken: su.prober.Broken,
	})
	su.budgeter = budgeter.New(budgeter.Options{
		Ratio: st.RetryRatio(), Extra: st.RetryExtra(), Window: st.RetryWindow(), Instances: su.instanceCount,
	})
	su.keeper = su.newKeeper()
	su.holdings = newHoldings(su)
	su.exchanger = su.newExchanger()
	su.balancer = su.newBalancer()
	su.allotter = allotter.New(allotter.Options{Interval: su.exchanger.Interval, Slack: st.QuotaSlack()})
	su.resumer = su.newResumer()
	su.permitter = su.newPermitter()
	su.acceptor = su.newAcceptor()
	su.operatorWatcher = su.newWatcher(platform.OperatorPrefix, exchanger.CopyOperator,
		operatorPace(min(st.MaxConfigurationDelay(), st.EvacuationDelay())), su.applyOperatorChange)
	su.targetWatcher = su.newWatcher(platform.TargetPrefix, exchanger.CopyTargets, targetPace, su.applyTargetChange)
	su.ownWatcher = su.newWatcher(platform.InstancePrefix, exchanger.CopyOwn, ownPace, su.applyOwnChange)
	su.follower = su.newFollower()
	return su
}

func (su *Supervisor) newAcceptor() *acceptor.Acceptor {
	return acceptor.New(acceptor.Options{
		Configuration:       su.configuration.Load,
		NewestVersion:       su.releaser.NewestVersion,
		RequiredVersion:     su.releaser.MinVersion,
		LoadAdapter:         su.loadAdapter,
		RequestTurn:         su.requestTurn,
		CutOff:              su.prober.Cut,
		Relay:               su.relayer.Send,
		Awaiting:            su.prober.Began,
		SameStart:           su.sameStart,
		ReadTarget:          su.readTarget,
		TargetLeaving:       func(ts balancer.Start) { su.markTargetLeaving(ts, leavingFromAnswer) },
		RateLimitAnswered:   su.rateLimitAnswered,
		ColdAnswered:        su.coldAnswered,
		TargetFailed:        su.targetFailed,
		BrittlenessAnswered: su.brittlenessAnswered,
		PaceAnswered:        su.paceAnswered,
		AnswerBroken:        su.answerBroken,
		ClaimProbe:          su.claimProbe,
		InstanceCount:       su.instanceCount,
		Shutdown:            su.shutdown.Load,
		Ending:              su.ending,
		RequestEnded:        su.requestEnded,
		PrefixCache:         su.prefixCache,
		Random:              rand.Float64,
		ReadAhead:           su.contended,
		Admitter:            su.newAdmitter(),
		Reserve:             func(bytes int64) bool { return su.reserver.Reserve(reserver.Responses, bytes) },
		Release:             func(bytes int64) { su.reserver.Release(reserver.Responses, bytes) },
		Reserver:            su.reserver,
		Balancer:            su.balancer,
		Forwarder:           su.forwarder,
		Allotter:            su.allotter,
		Budgeter:            su.budgeter,
		Cacher:              su.cacher,
		Quarantiner:         su.quarantiner,
		Parts:               su.parts,
		Profiler:            su.profiler,
		Estimator:           su.estimator,
		Throttler:           su.throttler,
		Permitter:           su.permitter,
		Streams:             su.resumer,
	})
}

// newAdmitter returns the admission control if the settings enable it; nil if not.
func (su *Supervisor) newAdmitter() *admitter.Admitter {
	if !su.contended {
		return nil
	}
	return admitter.New(admitter.Options{Random: rand.Float64})
}

func (su *Supervisor) newWatcher(prefix string, index int, pace watcher.Pace, changed func(platform.Item)) *watcher.Watcher {
	return watcher.New(watcher.Options{
		Prefix:           prefix,
		List:             su.list,
		Watch:            su.watch,
		Pace:             pace,
		Failures:         &su.storeFailures,
		KeepAfterFailure: removalGracePeriod,
		Await:            func(ctx context.Context) { su.awaitStoreRead(ctx, index) },
		Changed:          changed,
		Recovered: func() {
			for other, wa := range su.watchers() {
				if other != index {
					wa.RestartWatch()
				}
			}
		},
		// Refresh looks for new peers at once: until it has listed the other instances, this one admits next to nothing.
		Listed: su.exchanger.Refresh,
		Logger: su.logger,
	})
}

// awaitStoreRead returns when a copy has to be read from the store: no reader keeps it up to date, and the store is not
// known to be unavailable. While it is, only the watcher of the operator's keys retries it often.
func (su *Supervisor) awaitStoreRead(ctx context.Context, index int) {
	if index == exchanger.CopyOwn {
		su.awaitPeerRegistration(ctx)
	} else {
		su.follower.AwaitDecision(ctx, readerDecisionTimeout)
	}
	su.follower.Wait(ctx, index)
	if index != exchanger.CopyOperator {
		su.operatorWatcher.AwaitRecovery(ctx, operatorRegainTimeout)
	}
}

// awaitPeerRegistration gives the other instances time to register on the first start of the fleet, so that the first
// listing of the instances' keys contains all of them.
func (su *Supervisor) awaitPeerRegistration(ctx context.Context) {
	if left := firstRegistrationTime - time.Since(su.startedAt); su.settings.FirstStart() && left > 0 {
		sleeper.For(ctx, left)
	}
}

// instanceCount returns the number of instances, including this one, that share the quotas and budgets of the fleet.
func (su *Supervisor) instanceCount() int { return len(su.keeper.Instances()) + 1 }

func (su *Supervisor) requestEnded(ou *acceptor.Outcome) {
	su.reporter.RequestServed(reporter.ServedRequest{
		Kind: ou.Kind(), Status: ou.Status(), Reason: ou.Reason(), TimeToFirstByte: ou.TimeToFirstByte(), Duration: ou.Elapsed(),
		LoadWait: ou.LoadWait(), TurnWait: ou.TurnWait(), LongestPause: ou.LongestPause(), Attempts: ou.Tries(),
		Admission: ou.Admission(),
	})
	if result := ou.Comparison(); result != "" {
		su.reporter.AddToCounter("target_comparisons_"+result, 1)
	}
	if ou.Unframed() {
		su.reporter.AddToCounter("answers_unframed", 1)
	}
	su.countPrefix(ou)
	su.logger.Info("request", ou.LogFields()...)
}

// ready reports whether the instance can serve: it is not draining, has a configuration and targets, and reaches
// targets by itself or through another instance.
func (su *Supervisor) ready() bool {
	reaches := !su.prober.Cut() || su.relayer.Available()
	return !su.draining() && su.configuration.Load() != nil && su.balancer.TargetCount() > 0 && reaches
}

// Run serves until SIGTERM or SIGINT, then drains. The error reports a listener that could not be opened.
func (su *Supervisor) Run() error {
	debug.SetMemoryLimit(int64(su.settings.MemoryMB() * memoryLimitRatio * (1 << 20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	defer su.recorder.Close()
	defer su.reporter.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := su.listen()
	if err != nil {
		return err
	}
	su.memory.listeners = servers.bounded
	su.logger.Info("start", "start", su.start, "callers", su.settings.CallerAddress(), "domain", su.settings.FailureDomain(),
		"store", su.settings.StoreAddress(), "region", su.settings.Region())
	if problems := su.settings.Problems(); len(problems) > 0 {
		su.logger.Warn("settings invalid, defaults apply", "problems", strings.Join(problems, "; "))
	}
	su.startTasks(ctx)
	for sg := range signals {
		if sg == syscall.SIGHUP {
			su.reload()
			continue
		}
		break
	}
	su.drain(ctx, servers)
	stop()
	su.tasks.Wait()
	su.logger.Info("stop", "took-ms", time.Since(su.startedAt).Milliseconds(), "log-lines-dropped", su.recorder.Dropped())
	return nil
}

func (su *Supervisor) startTasks(ctx context.Context) {
	for _, wa := range []*watcher.Watcher{su.operatorWatcher, su.targetWatcher, su.ownWatcher} {
		su.tasks.Go(func() { wa.Run(ctx) })
	}
	su.tasks.Go(func() { su.keeper.Run(ctx) })
	su.tasks.Go(func() { su.exchanger.Run(ctx) })
	su.tasks.Go(func() { su.holdings.run(ctx) })
	su.tasks.Go(func() { su.follower.Run(ctx) })
	su.tasks.Go(func() { su.prober.Run(ctx) })
	su.tasks.Go(func() { su.resumer.Run(ctx) })
	su.tasks.Go(func() { su.runUpdates(ctx) })
	su.tasks.Go(func() { su.runColdProbes(ctx) })
}

// reload reads the settings file again and reports whether it is valid. New addresses and bounds take effect at the next
// start.
func (su *Supervisor) reload() {
	if _, err := platform.ReadSettings(su.op.SettingsPath); err != nil {
		su.logger.Warn("reload failed, settings unchanged", "error", err)
		return
	}
	su.logger.Info("reload")
}

func (su *Supervisor) serveCaller(w http.ResponseWriter, r *http.Request) {
	su.serving.Add(1)
	defer su.serving.Add(-1)
	su.acceptor.ServeHTTP(w, r)
}

func (su *Supervisor) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if !su.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}
