// Package receiver implements the HTTP interface for callers: routes, input limits, error responses and streaming. It
// checks that a request is well formed and allowed; charging and dispatch are functions passed in Options.
package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"lovagebank/configurer"
	"lovagebank/requester"
	"lovagebank/reserver"
)

// Options configures a Receiver. All function fields but Admit are required.
type Options struct {
	// Snapshot returns the configuration in force, or nil if none has been received yet.
	Snapshot func() *configurer.Snapshot
	// Authenticate returns the organisation whose key the headers carry, or a refusal.
	Authenticate func(header http.Header) (organisation string, err error)
	// StartTrace starts the decision trace of a request and returns a context that carries it.
	StartTrace func(ctx context.Context, rq *requester.Request) context.Context
	// Charge deducts a request's cost, in tokens, from its organisation's quota. settle must be called once with the
	// number of tokens used.
	Charge func(ctx context.Context, rq *requester.Request) (settle func(used int64), err error)
	// Dispatch runs a request on a target and streams the answer to the sink.
	Dispatch func(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error)
	// Defer stores a request to be run by its deadline, and returns the identifier with which the caller polls.
	Defer func(ctx context.Context, rq *requester.Request) (id string, err error)
	// FindDeferred returns the state of an organisation's deferred request, or a refusal if there is none with this identifier.
	FindDeferred func(ctx context.Context, organisation, id string) (Deferred, error)
	// OnFinished is called when a request has ended; refusal is nil if it was answered.
	OnFinished func(rq *requester.Request, us requester.Usage, refusal *requester.Refusal, took time.Duration)
	// Ready returns nil if the instance can serve requests, and otherwise an error that gives the reason.
	Ready func() error
	// Admit returns a refusal if the instance takes no requests any more; nil for an instance that always does.
	Admit func() error
	// Limits holds the limits on requests and on slow callers.
	Limits Limits
	// Reserver holds the budget of request bodies; nil for no limit.
	Reserver *reserver.Reserver
	Logger   *log.Logger
}

// Limits holds the limits on requests and on slow callers.
type Limits struct {
	// MaxBodyBytes is the largest accepted body, in bytes.
	MaxBodyBytes int64
	// BodyTimeout is the timeout for reading a body.
	BodyTimeout time.Duration
	// WriteTimeout is the write timeout: a caller that accepts no byte of its answer for this long is treated as
	// disconnected.
	WriteTimeout time.Duration
	// DefaultMaxTokens is the limit on generated tokens for a request that sets none.
	DefaultMaxTokens int64
	// MaxTokens is the largest limit on generated tokens that a request may set, over all its choices.
	MaxTokens int64
	// DefaultDeadline is the time allowed for a request to a service that configures no deadline.
	DefaultDeadline time.Duration
}

// Deferred is the state of a request whose answer the caller polls for.
type Deferred struct {
	done   bool
	status int
	header http.Header
	body   []byte
	retry  time.Duration
}

// NewPending returns the state of a request that has not finished; retry is the time after which to poll again.
func NewPending(retry time.Duration) Deferred { return Deferred{retry: retry} }

// NewFinished returns the state of a request that has been answered.
func NewFinished(status int, header http.Header, body []byte) Deferred {
	return Deferred{done: true, status: status, header: header, body: body}
}

// Receiver is the HTTP handler for callers.
type Receiver struct {
	options Options
	router  chi.Router
}

// New returns a receiver.
func New(options Options) *Receiver {
	if options.Reserver == nil {
		options.Reserver = reserver.New(reserver.Options{})
	}
	if options.Admit == nil {
		options.Admit = func() error { return nil }
	}
	rc := &Receiver{options: options}
	rc.router = rc.routes()
	return rc
}

// ServeHTTP serves one request of a caller.
func (rc *Receiver) ServeHTTP(rw http.ResponseWriter, hr *http.Request) { rc.router.ServeHTTP(rw, hr) }

func (rc *Receiver) routes() chi.Router {
	router := chi.NewRouter()
	router.Use(rc.assignRequestID, rc.releaseBody, rc.recover, rejectAmbiguousPaths)
	router.NotFound(func(rw http.ResponseWriter, _ *http.Request) {
		writeRefusal(rw, requester.Refuse(requester.CodeNotFound, "There is no such route.", 0))
	})
	router.MethodNotAllowed(func(rw http.ResponseWriter, _ *http.Request) {
		writeRefusal(rw, requester.Refuse(requester.CodeMethodNotAllowed, "The route does not take this method.", 0))
	})
	router.Get("/healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	router.Get("/readyz", rc.serveReady)
	admitted := router.With(rc.admit)
	admitted.Get("/v1/models", rc.serveModels)
	admitted.Post("/v1/chat/completions", rc.modelHandler(requester.KindChat))
	admitted.Post("/v1/completions", rc.modelHandler(requester.KindCompletion))
	admitted.Get("/v1/deferred/{id}", rc.serveDeferred)
	admitted.HandleFunc("/services/{service}", rc.serveService)
	admitted.HandleFunc("/services/{service}/*", rc.serveService)
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

// snapshot returns the configuration in force. Before there is one, it returns a refusal instead of serving with
// guessed settings.
func (rc *Receiver) snapshot() (*configurer.Snapshot, error) {
	sn := rc.options.Snapshot()
	if sn == nil {
		return nil, requester.Refuse(requester.CodeStoreUnavailable, "No configuration is in force yet.", notReadyRetryAfter)
	}
	return sn, nil
}

// notReadyRetryAfter is the Retry-After time of requests that arrive before there is a configuration.
const notReadyRetryAfter = 2 * time.Second
