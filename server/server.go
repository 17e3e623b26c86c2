// Package server builds an entry instance from its settings, connects its components, and starts and drains them.
package server

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"lovagebank/auditor"
	"lovagebank/batcher"
	"lovagebank/claimer"
	"lovagebank/configurer"
	"lovagebank/connector"
	"lovagebank/deferrer"
	"lovagebank/dispatcher"
	"lovagebank/explainer"
	"lovagebank/gossiper"
	"lovagebank/invoker"
	"lovagebank/leaser"
	"lovagebank/limiter"
	"lovagebank/placer"
	"lovagebank/publisher"
	"lovagebank/receiver"
	"lovagebank/reporter"
	"lovagebank/reserver"
	"lovagebank/storer"
)

const (
	// maxExplainedRequests is the number of recent requests whose decisions are kept for operators.
	maxExplainedRequests  = 4096
	identitySuffixLetters = 8
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory limit of the process.
	memoryLimitRatio = 0.7
)

var (
	errLeaving   = errors.New("the instance is leaving")
	errNoTargets = errors.New("no target is known yet")
	errLeaseLost = errors.New("the lease of the target has been released")
	errNoHolders = errors.New("the holders of targets and rates are not known yet")
)

// Server is one entry instance.
type Server struct {
	settings *configurer.Settings
	dial     dialFunc
	identity string
	logger   *log.Logger
	// tls is set if instances authenticate each other by mutual TLS instead of the shared secret.
	tls     *tls.Config
	leaving atomic.Bool
	// targetsKnown is set once the placer has been given targets.
	targetsKnown atomic.Bool
	// holdersKnown is set once the required resources have holders, or after holdersTimeout.
	holdersKnown atomic.Bool

	store *storer.Client
	// list is the client of the platform's list of instances and targets.
	list       *storer.Client
	connector  *connector.Connector
	auditor    *auditor.Auditor
	publisher  *publisher.Publisher
	gossiper   *gossiper.Gossiper
	leases     *leaser.Leaser
	limiter    *limiter.Limiter
	invoker    *invoker.Invoker
	placer     *placer.Placer
	dispatcher *dispatcher.Dispatcher
	schedulers *targetSchedulers
	absences   *absences
	batcher    *batcher.Batcher
	jobBatcher *batcher.Batcher
	claimer    *claimer.Claimer
	deferrer   *deferrer.Deferrer
	reporter   *reporter.Reporter
	explainer  *explainer.Explainer
	reserver   *reserver.Reserver
	receiver   *receiver.Receiver
	listeners  *listeners

	// storeUnreachable is set while calls to the store fail. The counts are those of the last measurement and are only
	// accessed by updateGauges.
	storeUnreachable atomic.Bool
	storeAnswered    int64
	storeFailed      int64

	// organisations holds the organisations of the configuration that was applied last.
	organisations atomic.Pointer[organisationSet]
	// stopJobs makes the deferrer start no further requests.
	stopJobs   context.CancelFunc
	components sync.WaitGroup
	done       chan struct{}
}

// dialFunc opens a connection to a peer, the platform or a target.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New creates an instance and opens its sockets. Run starts it. An error means that the log level, the TLS files or a
// listening address is invalid or unusable.
func New(settings *configurer.Settings) (*Server, error) { return newServer(settings, nil) }

// newServer creates an instance that opens connections by dial, so that tests can refuse them. If dial is nil, the
// components use their default transports.
func newServer(settings *configurer.Settings, dial dialFunc) (*Server, error) {
	level, err := log.ParseLevel(settings.LogLevel())
	if err != nil {
		return nil, err
	}
	sv := &Server{
		settings:  settings,
		dial:      dial,
		identity:  newIdentity(settings.ID()),
		logger:    log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true}),
		reporter:  reporter.New(),
		explainer: explainer.New(maxExplainedRequests),
		absences:  newAbsences(),
		done:      make(chan struct{}),
	}
	if sv.tls, err = readTLS(settings); err != nil {
		return nil, err
	}
	sv.createComponents()
	if sv.listeners, err = listen(settings, sv.receiver, sv.newPeerHandler(), sv.newOperatorHandler(), sv.tls, sv.reserver); err != nil {
		return nil, err
	}
	return sv, nil
}

func readTLS(settings *configurer.Settings) (*tls.Config, error) {
	certificate, key, authority, ok := settings.TLSFiles()
	if !ok {
		return nil, nil
	}
	return connector.ReadTLS(certificate, key, authority)
}

// transport returns the transport for calls to the platform and to targets, or nil for the default transports of the
// components.
func (sv *Server) transport() http.RoundTripper {
	if sv.dial == nil {
		return nil
	}
	return &http.Transport{DialContext: sv.dial, DisableKeepAlives: true}
}

// newIdentity returns a name that differs from those of earlier runs of this instance, because a restarted instance has
// lost its promises.
func newIdentity(name string) string { return name + "-" + rand.Text()[:identitySuffixLetters] }

// loggerFor returns the logger of a component.
func (sv *Server) loggerFor(component string) *log.Logger { return sv.logger.WithPrefix(component) }

// Run serves until the context ends, then drains: it waits for the requests in progress, at most for the drain time. It
// returns the error of a listener that failed, or of a drain that was not completed in time.
func (sv *Server) Run(ctx context.Context) error {
	defer close(sv.done)
	if limit := sv.settings.Limits().Memory(); limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryLimitRatio))
	}
	componentsCtx, stop := context.WithCancel(context.Background())
	defer stop()
	sv.startComponents(componentsCtx)
	writesCtx, stopWrites := context.WithCancel(context.Background())
	defer stopWrites()
	go sv.batcher.Run(writesCtx)
	go sv.jobBatcher.Run(writesCtx)
	var jobsCtx context.Context
	jobsCtx, sv.stopJobs = context.WithCancel(writesCtx)
	go sv.deferrer.Run(jobsCtx)
	sv.listeners.serve()
	sv.logger.Info("instance started", "instance", sv.identity, "callers", sv.settings.CallerAddress())
	select {
	case <-ctx.Done():
	case err := <-sv.listeners.failed:
		stop()
		sv.shutDown()
		return err
	}
	err := sv.drain()
	stop()
	sv.shutDown()
	return err
}

// startComponents runs each component in its own goroutine until the context ends.
func (sv *Server) startComponents(ctx context.Context) {
	for _, run := range []func(context.Context){
		sv.publisher.Run, sv.gossiper.Run, sv.leases.Run, sv.limiter.Run, sv.claimer.Run,
		sv.watchTargets, sv.updateResources, sv.followLeaseEvents, sv.updateGauges,
	} {
		sv.components.Go(func() { run(ctx) })
	}
}

// Done is closed when Run has returned.
func (sv *Server) Done() <-chan struct{} { return sv.done }

// ready returns nil if the instance can serve callers, or the reason why the load balancer should send none.
func (sv *Server) ready() error {
	if sv.leaving.Load() {
		return errLeaving
	}
	if err := sv.publisher.Ready(); err != nil {
		return err
	}
	if !sv.targetsKnown.Load() {
		return errNoTargets
	}
	if !sv.holdersKnown.Load() {
		return errNoHolders
	}
	return nil
}
