// Package server builds an entry instance from its settings, joins its parts, and starts and drains them.
package server

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/auditor"
	"lovagebank/authenticator"
	"lovagebank/configurer"
	"lovagebank/explainer"
	"lovagebank/invoker"
	"lovagebank/publisher"
	"lovagebank/receiver"
	"lovagebank/reporter"
	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

// explainedRequests is how many of the latest requests can be explained.
const explainedRequests = 4096

// Server is one entry instance.
type Server struct {
	settings *configurer.Settings
	identity string
	logger   *log.Logger
	leaving  atomic.Bool

	store     *storer.Client
	list      *storer.Client
	publisher *publisher.Publisher
	invoker   *invoker.Invoker
	reporter  *reporter.Reporter
	explainer *explainer.Explainer
	receiver  *receiver.Receiver
	listeners *listeners
	done      chan struct{}
}

// New builds an instance and opens its sockets; Run starts it.
func New(settings *configurer.Settings) (*Server, error) {
	level, err := log.ParseLevel(settings.LogLevel())
	if err != nil {
		return nil, err
	}
	sv := &Server{
		settings:  settings,
		identity:  newIdentity(settings.ID()),
		logger:    log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true}),
		reporter:  reporter.New(),
		explainer: explainer.New(explainedRequests),
		done:      make(chan struct{}),
	}
	sv.build()
	if sv.listeners, err = listen(settings, sv.receiver, http.NotFoundHandler(), sv.reporter.Handler()); err != nil {
		return nil, err
	}
	return sv, nil
}

// newIdentity returns a name that no earlier run of this instance had, since a restarted instance forgot its promises.
func newIdentity(name string) string { return name + "-" + rand.Text()[:identityLetters] }

const identityLetters = 8

func (sv *Server) build() {
	st := sv.settings
	sv.store = storer.New(storer.Options{Address: st.StoreURL(), Timeout: st.StoreTimeout(), CallsPerSecond: float64(st.StoreCalls())})
	sv.list = storer.New(storer.Options{Address: st.ListURL(), Timeout: st.StoreTimeout()})
	au := auditor.New(auditor.Options{Get: sv.store.Get, Transact: sv.store.Transact})
	sv.publisher = publisher.New(publisher.Options{
		Get:      sv.store.Get,
		Watch:    sv.store.Watch,
		Transact: sv.store.Transact,
		Audit:    au.Step,
		Fetch: func(context.Context, string, *wire.FetchRequest) (*wire.FetchResponse, error) {
			return nil, publisher.ErrNotReady
		},
		Peers:   st.Seeds,
		Watches: func() bool { return true },
		Logger:  sv.logger.WithPrefix("publisher"),
	})
	sv.invoker = invoker.New(invoker.Options{})
	sv.receiver = sv.newReceiver()
}

func (sv *Server) newReceiver() *receiver.Receiver {
	lim := sv.settings.Limits()
	au := authenticator.New(sv.publisher.Current)
	return receiver.New(receiver.Options{
		Snapshot: sv.publisher.Current,
		Authenticate: func(header http.Header) (string, error) {
			id, err := au.Authenticate(header)
			return id.Organisation(), err
		},
		Charge:   sv.charge,
		Dispatch: sv.dispatch,
		Finished: sv.reporter.RequestEnded,
		Ready:    sv.ready,
		Limits: receiver.Limits{
			BodyBytes:        lim.BodyBytes(),
			DefaultMaxTokens: lim.DefaultMaxTokens(),
			MaxTokens:        lim.MaxTokens(),
			DefaultDeadline:  lim.RequestTime(),
		},
		Logger: sv.logger.WithPrefix("receiver"),
	})
}

func (sv *Server) charge(context.Context, *requester.Request) (func(int64), error) {
	return func(int64) {}, nil
}

// ready tells the balancer whether to send callers here.
func (sv *Server) ready() error {
	if sv.leaving.Load() {
		return errLeaving
	}
	return sv.publisher.Ready()
}

// Run serves until the context ends, then drains: it waits for the requests in progress, at most the drain time.
func (sv *Server) Run(ctx context.Context) error {
	defer close(sv.done)
	parts, stop := context.WithCancel(context.Background())
	defer stop()
	go sv.publisher.Run(parts)
	sv.listeners.serve()
	sv.logger.Info("Instance started.", "instance", sv.identity, "callers", sv.settings.CallerAddress())
	select {
	case <-ctx.Done():
	case err := <-sv.listeners.failed:
		return err
	}
	return sv.drain()
}

func (sv *Server) drain() error {
	sv.leaving.Store(true)
	sv.logger.Info("Instance leaves.", "instance", sv.identity)
	ctx, cancel := context.WithTimeout(context.Background(), sv.settings.Limits().DrainTime())
	defer cancel()
	err := sv.listeners.drainCallers(ctx)
	sv.listeners.close()
	sv.reporter.Close()
	sv.store.Close()
	sv.invoker.Close()
	sv.logger.Info("Instance ended.", "instance", sv.identity)
	return err
}

// Done is closed when Run has returned.
func (sv *Server) Done() <-chan struct{} { return sv.done }

const registrationAge = time.Second
