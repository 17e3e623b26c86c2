// Package supervisor builds an entry instance for the users' platform from its parts, runs them and ends them in order.
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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"

	"lovagebank/acceptor"
	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/budgeter"
	"lovagebank/exchanger"
	"lovagebank/follower"
	"lovagebank/forwarder"
	"lovagebank/keeper"
	"lovagebank/pauser"
	"lovagebank/platform"
	"lovagebank/profiler"
	"lovagebank/quarantiner"
	"lovagebank/recorder"
	"lovagebank/releaser"
	"lovagebank/reporter"
	"lovagebank/router"
	"lovagebank/teller"
	"lovagebank/watcher"
	"lovagebank/wire"
)

const (
	// memoryShare is the part of the process's memory limit that the runtime is told to stay below.
	memoryShare = 0.7
	// keepAfterOutage is how long a target whose entry disappears around an outage of the store is kept: until the
	// targets that live have had time to come back.
	keepAfterOutage = 2500 * time.Millisecond
	// troubleMemory is how long after a failed call of the store a removal counts as one around an outage.
	troubleMemory = 5 * time.Second
	// firstStartTime is the time within which all instances of a fleet that starts for the first time have registered.
	firstStartTime = 500 * time.Millisecond
	// decisionTime is how long an instance that starts waits to hear whether a reader keeps its copies up to date.
	decisionTime = 800 * time.Millisecond
	// othersTryAfter is the longest time that the watchers of targets and instances wait for that of the operator's keys
	// to regain the store.
	othersTryAfter = 2 * time.Second
)

// How the operator's keys, the targets and the instances' own keys are followed. Each call of the store has its price;
// targets write their entries at each change of their adapters. A watch that waits while the store drops its history
// may hear nothing more, so the waits end well within the bound of a change.
var (
	targetPace = watcher.Pace{Wait: 2500 * time.Millisecond, Pause: 900 * time.Millisecond}
	ownPace    = watcher.Pace{Wait: 10 * time.Second, Pause: 800 * time.Millisecond}
)

const (
	// longestOperatorWait and operatorPause are how the operator's keys are followed where a configuration may take its time.
	longestOperatorWait = 2500 * time.Millisecond
	operatorPause       = 30 * time.Millisecond
)

// operatorPace is how the operator's keys are followed. A reader that is cut off counts as up to date until it has missed an
// answer, and its followers need to have read a configuration in time all the same.
func operatorPace(inForce time.Duration) watcher.Pace {
	return watcher.Pace{Wait: min(longestOperatorWait, inForce/2), Pause: operatorPause}
}

// Options set a Supervisor up.
type Options struct {
	// Settings are the instance's settings.
	Settings *platform.Settings
	// SettingsPath is read again at SIGHUP.
	SettingsPath string
	// MetricsPort is the port of the metrics; 0 for none.
	MetricsPort int
	// Out takes the log.
	Out io.Writer
}

// Supervisor is one instance.
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
	quarantiner *quarantiner.Quarantiner
	profiler    *profiler.Profiler
	keeper      *keeper.Keeper
	exchanger   *exchanger.Exchanger
	teller      *teller.Teller
	follower    *follower.Follower
	acceptor    *acceptor.Acceptor
	holdings    *holdings

	operatorWatcher *watcher.Watcher
	targetWatcher   *watcher.Watcher
	ownWatcher      *watcher.Watcher

	configuration atomic.Pointer[router.Configuration]
	releaser      releaser.Releaser
	departed      departed
	// word is what this instance tells of the targets that it holds.
	word       atomic.Pointer[[]*wire.HeldTarget]
	newer      newer
	changeTold changeTold
	// operatorChange is the store's revision of the newest change of the operator's keys that is known here.
	operatorChange atomic.Int64
	silent         silent
	turnless       turnless
	engines        engineReporter
	trouble        watcher.FailureTracker
	began          time.Time
	draining       atomic.Bool
	serving        atomic.Int64
	tasks          sync.WaitGroup
}

// New builds an instance.
func New(op Options) *Supervisor {
	st := op.Settings
	su := &Supervisor{
		op:          op,
		settings:    st,
		start:       strconv.FormatUint(rand.Uint64(), 36),
		recorder:    recorder.New(op.Out),
		reporter:    reporter.New(),
		targets:     platform.NewTargetClient(),
		forwarder:   forwarder.New(),
		quarantiner: quarantiner.New(),
		profiler:    profiler.New(),
		engines:     engineReporter{held: make(map[string]bool)},
		began:       time.Now(),
	}
	su.teller = teller.New(su.start)
	su.store = platform.NewStore(platform.StoreOptions{Address: st.StoreAddress(), OnRollback: su.steppedBack})
	su.logger = su.recorder.Logger().With("instance", st.Name())
	su.budgeter = budgeter.New(budgeter.Options{
		Ratio: st.RetryRatio(), Extra: st.RetryExtra(), Window: st.RetryWindow(), Instances: su.instances,
	})
	su.keeper = su.newKeeper()
	su.holdings = newHoldings(su)
	su.exchanger = su.newExchanger()
	su.balancer = balancer.New(balancer.Options{
		FailureDomain: st.FailureDomain(), Random: rand.Float64, Interval: su.exchanger.Interval,
	})
	su.allotter = allotter.New(allotter.Options{Interval: su.exchanger.Interval, Slack: st.QuotaSlack()})
	su.acceptor = su.newAcceptor()
	su.operatorWatcher = su.newWatcher(platform.OperatorPrefix, exchanger.CopyOperator, operatorPace(st.MaxConfigurationDelay()), su.takeOperator)
	su.targetWatcher = su.newWatcher(platform.TargetPrefix, exchanger.CopyTargets, targetPace, su.takeTarget)
	su.ownWatcher = su.newWatcher(platform.InstancePrefix, exchanger.CopyOwn, ownPace, su.keeper.Apply)
	su.follower = su.newFollower()
	return su
}

func (su *Supervisor) newAcceptor() *acceptor.Acceptor {
	return acceptor.New(acceptor.Options{
		Configuration:   su.configuration.Load,
		NewestVersion:   su.releaser.NewestVersion,
		RequiredVersion: su.releaser.MinVersion,
		LoadAdapter:     su.load,
		RequestTurn:     su.turn,
		TargetLeaving:   su.targetLeaving,
		InstanceCount:   su.instances,
		Draining:        su.draining.Load,
		RequestEnded:    su.ended,
		Random:          rand.Float64,
		Balancer:        su.balancer,
		Forwarder:       su.forwarder,
		Allotter:        su.allotter,
		Budgeter:        su.budgeter,
		Quarantiner:     su.quarantiner,
		Profiler:        su.profiler,
	})
}

func (su *Supervisor) newWatcher(prefix string, index int, pace watcher.Pace, changed func(platform.Item)) *watcher.Watcher {
	return watcher.New(watcher.Options{
		Prefix:           prefix,
		List:             su.list,
		Watch:            su.watch,
		Pace:             pace,
		Failures:         &su.trouble,
		KeepAfterFailure: keepAfterOutage,
		Await:            func(ctx context.Context) { su.awaitTurn(ctx, index) },
		Changed:          changed,
		Recovered: func() {
			for other, wa := range su.watchers() {
				if other != index {
					wa.RestartWatch()
				}
			}
		},
		// Until it knows the other instances, this one admits next to nothing.
		Listed: su.exchanger.Refresh,
		Logger: su.logger,
	})
}

// awaitTurn returns when a copy has to be read from the store: no reader keeps it up to date, and the store is not known
// to be away. Only the watcher of the operator's keys tries it often then.
func (su *Supervisor) awaitTurn(ctx context.Context, index int) {
	if index == exchanger.CopyOwn {
		su.awaitOthers(ctx)
	} else {
		su.follower.AwaitDecision(ctx, decisionTime)
	}
	su.follower.Wait(ctx, index)
	if index != exchanger.CopyOperator {
		su.operatorWatcher.AwaitRecovery(ctx, othersTryAfter)
	}
}

// awaitOthers gives the other instances time to register when the whole fleet starts for the first time, so that the first
// reading of the instances' keys names them all.
func (su *Supervisor) awaitOthers(ctx context.Context) {
	if left := firstStartTime - time.Since(su.began); su.settings.FirstStart() && left > 0 {
		pauser.For(ctx, left)
	}
}

// instances is the number of instances that share what the fleet shares, this one included.
func (su *Supervisor) instances() int { return len(su.keeper.Instances()) + 1 }

func (su *Supervisor) ended(ou *acceptor.Outcome) {
	su.reporter.RequestServed(reporter.ServedRequest{
		Kind: ou.Kind(), Status: ou.Status(), Reason: ou.Reason(), TimeToFirstByte: ou.TimeToFirstByte(), Duration: ou.Elapsed(),
		LoadWait: ou.LoadWait(), TurnWait: ou.TurnWait(), LongestPause: ou.LongestPause(), Attempts: ou.Tries(),
	})
	su.logger.Info("request", ou.LogFields()...)
}

// ready tells whether the instance can serve: it knows a configuration and the targets.
func (su *Supervisor) ready() bool {
	return !su.draining.Load() && su.configuration.Load() != nil && su.balancer.TargetCount() > 0
}

// Run serves until SIGTERM or SIGINT, then drains.
func (su *Supervisor) Run() error {
	debug.SetMemoryLimit(int64(su.settings.MemoryMB() * memoryShare * (1 << 20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	defer su.recorder.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := su.listen()
	if err != nil {
		return err
	}
	su.logger.Info("start", "start", su.start, "callers", su.settings.CallerAddress(), "domain", su.settings.FailureDomain(),
		"store", su.settings.StoreAddress())
	su.runParts(ctx)
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
	su.logger.Info("stop", "took-ms", time.Since(su.began).Milliseconds(), "log-lines-dropped", su.recorder.Dropped())
	return nil
}

func (su *Supervisor) runParts(ctx context.Context) {
	for _, wa := range []*watcher.Watcher{su.operatorWatcher, su.targetWatcher, su.ownWatcher} {
		su.tasks.Go(func() { wa.Run(ctx) })
	}
	su.tasks.Go(func() { su.keeper.Run(ctx) })
	su.tasks.Go(func() { su.exchanger.Run(ctx) })
	su.tasks.Go(func() { su.holdings.run(ctx) })
	su.tasks.Go(func() { su.follower.Run(ctx) })
	su.tasks.Go(func() { su.followPeers(ctx) })
}

// reload reads the settings again. What binds an instance's addresses needs a restart; bounds are taken from the next
// start on.
func (su *Supervisor) reload() {
	if _, err := platform.ReadSettings(su.op.SettingsPath); err != nil {
		su.logger.Warn("reload refused, settings stay as they were", "error", err)
		return
	}
	su.logger.Info("reload")
}

const (
	// noticeTime is how long a draining instance goes on taking connections: until the platform has asked twice
	// whether it is ready.
	noticeTime = 2500 * time.Millisecond
	// leaveTime bounds the end of the lease in the store.
	leaveTime = 300 * time.Millisecond
	// killMargin is how long before the kill the instance ends by itself.
	killMargin = 700 * time.Millisecond
)

// drain reports not ready, goes on serving until the platform has noticed, lets requests end, and gives up its lease. It
// orders its targets until then: the next process on this machine takes them up again.
func (su *Supervisor) drain(ctx context.Context, sv *servers) {
	su.draining.Store(true)
	began := time.Now()
	su.logger.Info("draining", "serving", su.serving.Load())
	pauser.For(ctx, noticeTime-time.Since(began))
	left := su.settings.ShutdownGrace() - killMargin - time.Since(began)
	endCtx, cancelEnd := context.WithTimeout(ctx, left)
	defer cancelEnd()
	if err := sv.callers.Shutdown(endCtx); err != nil {
		su.logger.Warn("requests cut by the shutdown", "serving", su.serving.Load(), "error", err)
	}
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	su.keeper.Leave(leaveCtx)
	sv.close()
}

type servers struct {
	callers *http.Server
	others  []*http.Server
}

func (sv *servers) close() {
	for _, other := range sv.others {
		_ = other.Close()
	}
	_ = sv.callers.Close()
}

const (
	// maxHeaderBytes and headerTimeout bound what is read of a caller before its configuration is looked up.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
	// idleTimeout is longer than configurations let callers keep idle connections: one that is cut as it is used again
	// costs its caller a request.
	idleTimeout = 3 * time.Minute
)

func (su *Supervisor) listen() (*servers, error) {
	sv := &servers{callers: &http.Server{
		Handler:           http.HandlerFunc(su.serveCaller),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          su.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}}
	peers := net.JoinHostPort(su.settings.IP(), su.settings.PeerPort())
	sv.others = append(sv.others,
		&http.Server{Addr: su.settings.ReadyAddress(), Handler: su.readyHandler(), ReadHeaderTimeout: headerTimeout},
		&http.Server{Addr: peers, Handler: su.exchanger.Handler(), ReadHeaderTimeout: headerTimeout},
	)
	if address := su.settings.ControlAddress(); address != "" {
		sv.others = append(sv.others, &http.Server{Addr: address, Handler: su.exchanger.Handler(), ReadHeaderTimeout: headerTimeout})
	}
	if su.op.MetricsPort > 0 {
		address := net.JoinHostPort(su.settings.IP(), strconv.Itoa(su.op.MetricsPort))
		sv.others = append(sv.others, &http.Server{Addr: address, Handler: su.reporter.Handler(), ReadHeaderTimeout: headerTimeout})
	}
	sv.callers.Addr = su.settings.CallerAddress()
	for _, server := range append([]*http.Server{sv.callers}, sv.others...) {
		listener, err := net.Listen("tcp4", server.Addr)
		if err != nil {
			return nil, oops.Wrapf(err, "listen on %s", server.Addr)
		}
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				su.logger.Error("listener failed", "address", server.Addr, "error", err)
			}
		}()
	}
	return sv, nil
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
