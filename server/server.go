// Package server builds an entry instance from its settings, joins its parts, and starts and drains them.
package server

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
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
	"lovagebank/storer"
)

const (
	// explainedRequests is how many of the latest requests can be explained.
	explainedRequests = 4096
	identityLetters   = 8
)

var (
	errLeaving   = errors.New("the instance is leaving")
	errNoTargets = errors.New("no target is known yet")
	errLeaseLost = errors.New("the lease of the target is given up")
	errNoHolders = errors.New("the holders of targets and rates are not known yet")
)

// Server is one entry instance.
type Server struct {
	settings *configurer.Settings
	dial     dialFunc
	identity string
	logger   *log.Logger
	// tls is set where mutual TLS takes the place of the shared secret between instances.
	tls     *tls.Config
	leaving atomic.Bool
	// placing is set once the placer knows targets.
	placing atomic.Bool
	// settled is set once the wanted resources have holders.
	settled atomic.Bool

	store      *storer.Client
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
	holdings   *holdings
	absences   *absences
	batcher    *batcher.Batcher
	jobBatcher *batcher.Batcher
	claimer    *claimer.Claimer
	deferrer   *deferrer.Deferrer
	reporter   *reporter.Reporter
	explainer  *explainer.Explainer
	receiver   *receiver.Receiver
	listeners  *listeners

	// storeAway is set while calls to the store fail; the counts are those of the last look, owned by measure.
	storeAway     atomic.Bool
	storeAnswered int64
	storeFailed   int64

	// organisations are those of the configuration that was adopted last.
	organisations atomic.Pointer[organisationSet]
	// stopJobs has the deferrer start nothing more.
	stopJobs context.CancelFunc
	parts    sync.WaitGroup
	done     chan struct{}
}

// dialFunc opens a connection to a peer, the platform or a target.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New builds an instance and opens its sockets; Run starts it.
func New(settings *configurer.Settings) (*Server, error) { return newServer(settings, nil) }

// newServer makes an instance whose connections a test may refuse; dial is nil for the network's own.
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
		explainer: explainer.New(explainedRequests),
		absences:  newAbsences(),
		done:      make(chan struct{}),
	}
	if sv.tls, err = readTLS(settings); err != nil {
		return nil, err
	}
	sv.build()
	if sv.listeners, err = listen(settings, sv.receiver, sv.newPeerHandler(), sv.newOperatorHandler(), sv.tls); err != nil {
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

// transport returns what carries calls to the platform and to targets; nil for the packages' own.
func (sv *Server) transport() http.RoundTripper {
	if sv.dial == nil {
		return nil
	}
	return &http.Transport{DialContext: sv.dial, DisableKeepAlives: true}
}

// newIdentity returns a name that no earlier run of this instance had, since a restarted instance forgot its promises.
func newIdentity(name string) string { return name + "-" + rand.Text()[:identityLetters] }

// prefixed returns the logger of a part.
func (sv *Server) prefixed(part string) *log.Logger { return sv.logger.WithPrefix(part) }

// Run serves until the context ends, then drains: it waits for the requests in progress, at most the drain time.
func (sv *Server) Run(ctx context.Context) error {
	defer close(sv.done)
	parts, stop := context.WithCancel(context.Background())
	defer stop()
	sv.start(parts)
	writes, stopWrites := context.WithCancel(context.Background())
	defer stopWrites()
	go sv.batcher.Run(writes)
	go sv.jobBatcher.Run(writes)
	var jobs context.Context
	jobs, sv.stopJobs = context.WithCancel(writes)
	go sv.deferrer.Run(jobs)
	sv.listeners.serve()
	sv.logger.Info("Instance started.", "instance", sv.identity, "callers", sv.settings.CallerAddress())
	select {
	case <-ctx.Done():
	case err := <-sv.listeners.failed:
		stop()
		sv.end()
		return err
	}
	err := sv.drain()
	stop()
	sv.end()
	return err
}

// start runs each part in a goroutine of its own until the context ends.
func (sv *Server) start(ctx context.Context) {
	for _, run := range []func(context.Context){
		sv.publisher.Run, sv.gossiper.Run, sv.leases.Run, sv.limiter.Run, sv.claimer.Run,
		sv.watchTargets, sv.wantLeases, sv.followLeases, sv.measure,
	} {
		sv.parts.Go(func() { run(ctx) })
	}
}

// Done is closed when Run has returned.
func (sv *Server) Done() <-chan struct{} { return sv.done }

// ready tells the balancer whether to send callers here.
func (sv *Server) ready() error {
	if sv.leaving.Load() {
		return errLeaving
	}
	if err := sv.publisher.Ready(); err != nil {
		return err
	}
	if !sv.placing.Load() {
		return errNoTargets
	}
	if !sv.settled.Load() {
		return errNoHolders
	}
	return nil
}
