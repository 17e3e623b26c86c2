// Package receiver is the callers' HTTP interface: routes, limits on input, errors and streaming. It decides nothing
// about a request but whether it is well formed and allowed.
package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"lovagebank/configurer"
	"lovagebank/requester"
)

// Options are the seams and limits of a Receiver. All function fields are required.
type Options struct {
	// Snapshot returns the configuration in force, or nil before there is one.
	Snapshot func() *configurer.Snapshot
	// Authenticate returns the organisation whose key the headers carry, or a refusal.
	Authenticate func(header http.Header) (organisation string, err error)
	// StartTrace starts the explanation of a request, which the returned context carries.
	StartTrace func(ctx context.Context, rq *requester.Request) context.Context
	// Charge takes a request's cost from its organisation's tokens. settle must be called once with the tokens used.
	Charge func(ctx context.Context, rq *requester.Request) (settle func(used int64), err error)
	// Dispatch runs a request and streams its answer.
	Dispatch func(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error)
	// Defer keeps a request to be run by its deadline, and returns the identifier to poll.
	Defer func(ctx context.Context, rq *requester.Request) (id string, err error)
	// FindDeferred returns the state of a deferred request of an organisation.
	FindDeferred func(ctx context.Context, organisation, id string) (Deferred, error)
	// OnFinished is told how each request ended; refusal is nil for an answered one.
	OnFinished func(rq *requester.Request, us requester.Usage, refusal *requester.Refusal, took time.Duration)
	// Ready returns nil when the instance can serve.
	Ready func() error
	// Limits bound what a caller may send.
	Limits Limits
	Logger *log.Logger
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes is the largest body that is read.
	MaxBodyBytes int64
	// BodyTimeout is how long a caller may take to send a body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take no byte of its answer before it counts as gone.
	WriteTimeout time.Duration
	// DefaultMaxTokens is the most that is generated when the caller names no bound.
	DefaultMaxTokens int64
	// MaxTokens is the largest bound that a caller may name.
	MaxTokens int64
	// DefaultDeadline is the time that a request on an open route has.
	DefaultDeadline time.Duration
}

// Deferred is the state of a request that outlived its connection.
type Deferred struct {
	done   bool
	status int
	header http.Header
	body   []byte
	retry  time.Duration
}

// NewPending makes the state of a request that has not finished; retry is when to poll again.
func NewPending(retry time.Duration) Deferred { return Deferred{retry: retry} }

// NewFinished makes the state of a request that has an answer.
func NewFinished(status int, header http.Header, body []byte) Deferred {
	return Deferred{done: true, status: status, header: header, body: body}
}

// Receiver answers callers.
type Receiver struct {
	options Options
	router  chi.Router
}

// New makes a receiver.
func New(options Options) *Receiver {
	rc := &Receiver{options: options}
	rc.router = rc.routes()
	return rc
}

// ServeHTTP answers one request.
func (rc *Receiver) ServeHTTP(rw http.ResponseWriter, hr *http.Request) { rc.router.ServeHTTP(rw, hr) }

func (rc *Receiver) routes() chi.Router {
	router := chi.NewRouter()
	router.Use(rc.identify, rc.recover, rejectOddPaths)
	router.NotFound(func(rw http.ResponseWriter, _ *http.Request) {
		writeRefusal(rw, requester.Refuse(requester.CodeNotFound, "There is no such route.", 0))
	})
	router.MethodNotAllowed(func(rw http.ResponseWriter, _ *http.Request) {
		writeRefusal(rw, requester.Refuse(requester.CodeMethodNotAllowed, "The route does not take this method.", 0))
	})
	router.Get("/healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	router.Get("/readyz", rc.serveReady)
	router.Get("/v1/models", rc.serveModels)
	router.Post("/v1/chat/completions", rc.modelHandler(requester.KindChat))
	router.Post("/v1/completions", rc.modelHandler(requester.KindCompletion))
	router.Get("/v1/deferred/{id}", rc.serveDeferred)
	router.HandleFunc("/services/{service}", rc.serveService)
	router.HandleFunc("/services/{service}/*", rc.serveService)
	return router
}

func (rc *Receiver) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if err := rc.options.Ready(); err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rw.Write([]byte(err.Error() + "\n"))
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// snapshot returns the configuration in force. An instance that is not ready refuses rather than guesses.
func (rc *Receiver) snapshot() (*configurer.Snapshot, error) {
	sn := rc.options.Snapshot()
	if sn == nil {
		return nil, requester.Refuse(requester.CodeStoreUnavailable, "No configuration is in force yet.", notReadyRetry)
	}
	return sn, nil
}

const notReadyRetry = 2 * time.Second
