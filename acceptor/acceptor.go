// Package acceptor takes callers' requests from their arrival to their final answer: route, key, allowance, target,
// and the answer on its way back. Each request gets one final answer, at once when it is given up on. What it decides
// with lies in other packages; it keeps nothing between requests.
package acceptor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/budgeter"
	"lovagebank/forwarder"
	"lovagebank/orderer"
	"lovagebank/platform"
	"lovagebank/profiler"
	"lovagebank/quarantiner"
	"lovagebank/router"
	"lovagebank/sequencer"
)

// Options set an Acceptor up.
type Options struct {
	// Configuration returns the configuration in force; nil while none is known.
	Configuration func() *router.Configuration
	// NewestVersion returns the newest version named for an adapter, and Needed the least one on which a request may begin now;
	// 0 if none is.
	NewestVersion   func(balancer.Adapter) int64
	RequiredVersion func(balancer.Adapter) int64
	// LoadAdapter has a target load an adapter, by way of its holder, and returns when it is there.
	LoadAdapter func(ctx context.Context, holder string, ta *balancer.Target, rq orderer.Request) error
	// RequestTurn asks the holder of a target for a prompt's turn.
	RequestTurn func(ctx context.Context, holder string, ta *balancer.Target, rq sequencer.Request) (sequencer.Turn, error)
	// TargetLeaving is told of a target that has said in an answer that it is leaving.
	TargetLeaving func(balancer.Leaver)
	// InstanceCount returns the number of instances that share the targets' connections.
	InstanceCount func() int
	// Draining tells whether the instance is shutting down, so that callers should leave their connections.
	Draining func() bool
	// RequestEnded is told of each request's end.
	RequestEnded func(*Outcome)
	// Random returns a number in [0, 1).
	Random func() float64

	Balancer    *balancer.Balancer
	Forwarder   *forwarder.Forwarder
	Allotter    *allotter.Allotter
	Budgeter    *budgeter.Budgeter
	Quarantiner *quarantiner.Quarantiner
	Profiler    *profiler.Profiler
}

// Acceptor serves callers.
type Acceptor struct{ op Options }

// New makes an acceptor.
func New(op Options) *Acceptor { return &Acceptor{op: op} }

// defaultTimeout bounds a request whose route and caller name no time.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves one request of a caller.
func (ac *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ex := &exchange{
		ac:       ac,
		w:        w,
		r:        r,
		caller:   platform.ParseCallerRequest(r.Header),
		excluded: make(map[string]bool),
		outcome:  &Outcome{arrived: time.Now()},
	}
	ex.outcome.id = ex.caller.ID
	if ac.op.Draining() {
		w.Header().Set("Connection", "close")
	}
	defer ac.op.RequestEnded(ex.outcome)
	if rf := ex.admit(); rf != nil {
		ex.refuse(rf)
		return
	}
	ex.serve()
}

// admit finds the request's route and organisation and reads its body.
func (ex *exchange) admit() *refusal {
	cf := ex.ac.op.Configuration()
	if cf == nil {
		return refusedNotReady
	}
	if limit := cf.Limits().HeaderBytes; limit > 0 && headerBytes(ex.r) > limit {
		return refusedLongHeader
	}
	path, _, _ := strings.Cut(ex.uri(), "?")
	rt, ok := cf.Match(ex.r.Host, path)
	if !ok {
		return refusedNoRoute
	}
	ex.route, ex.outcome.route, ex.outcome.version = rt, rt, cf.Version()
	if rf := ex.authenticate(cf); rf != nil {
		return rf
	}
	ex.limitTime()
	service, ok := cf.Service(rt.Service(ex.ac.op.Random()))
	if !ok {
		return refusedNoService
	}
	ex.service = service
	return ex.readBody(cf.Limits().BodyBytes)
}

func (ex *exchange) authenticate(cf *router.Configuration) *refusal {
	if !cf.HasOrganisations() {
		return nil
	}
	og, ok := cf.Authenticate(ex.caller.Key)
	if ok {
		ex.organisation, ex.outcome.organisation = og, og.Name()
		return nil
	}
	if ex.route.Public() {
		return nil
	}
	return refusedUnknownKey
}

// limitTime sets the request's deadline: the route's timeout or the caller's patience, whichever ends first.
func (ex *exchange) limitTime() {
	limit := ex.route.Timeout()
	if limit <= 0 {
		limit = defaultTimeout
	}
	if ex.caller.Patience > 0 {
		limit = min(limit, ex.caller.Patience)
	}
	ex.deadline = ex.outcome.arrived.Add(limit)
}

// uri is the request's path and query as the caller sent them.
func (ex *exchange) uri() string {
	uri := ex.r.RequestURI
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	return ex.r.URL.RequestURI()
}

// headerBytes is the size of a request's first line and header fields, as HTTP/1 writes them.
func headerBytes(r *http.Request) int {
	const (
		// field and line count what stands around a field's name and value, and in a first line beside method and target.
		field = len(": \r\n")
		line  = len("  HTTP/1.1\r\n")
	)
	size := line + len(r.Method) + len(r.RequestURI) + field + len("Host") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += field + len(name) + len(value)
		}
	}
	return size
}

func (ex *exchange) readBody(limit int64) *refusal {
	if ex.r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = maxBodyDefault
	}
	if ex.r.ContentLength > limit {
		return refusedTooLarge
	}
	if err := http.NewResponseController(ex.w).SetReadDeadline(ex.deadline); err != nil {
		ex.outcome.note(err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(ex.w, ex.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusedTooLarge
	case err != nil:
		ex.outcome.note(err)
		return refusedTornBody
	}
	ex.body, ex.hasBody = body, true
	if err := http.NewResponseController(ex.w).SetReadDeadline(time.Time{}); err != nil {
		ex.outcome.note(err)
	}
	return nil
}

// maxBodyDefault bounds bodies where the configuration does not, in bytes.
const maxBodyDefault = 4 << 20
