// Package acceptor handles callers' requests from arrival to final response: it matches the route, checks the API key
// and the quota, chooses a target and relays the target's response. Each request gets exactly one final response, which
// is sent at once when the request is given up. The state behind these decisions lies in other packages; this package
// keeps no state between requests.
package acceptor

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"lovagebank/admitter"
	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/budgeter"
	"lovagebank/cacher"
	"lovagebank/estimator"
	"lovagebank/forwarder"
	"lovagebank/orderer"
	"lovagebank/permitter"
	"lovagebank/platform"
	"lovagebank/profiler"
	"lovagebank/quarantiner"
	"lovagebank/reserver"
	"lovagebank/resumer"
	"lovagebank/router"
	"lovagebank/sequencer"
	"lovagebank/throttler"
)

// Options configures an Acceptor.
type Options struct {
	// Configuration returns the configuration in force; nil while there is none.
	Configuration func() *router.Configuration
	// NewestVersion returns the newest version released for an adapter; 0 if there is none.
	NewestVersion func(balancer.Adapter) int64
	// RequiredVersion returns the oldest version on which a request may start now; 0 if there is none.
	RequiredVersion func(balancer.Adapter) int64
	// LoadAdapter asks the holder of a target to load an adapter there, and returns when the adapter is loaded.
	LoadAdapter func(ctx context.Context, holder string, ta *balancer.Target, rq orderer.Request) error
	// RequestTurn asks the holder of a target for a prompt's turn: the time from which the engine may prefill the prompt
	// without pausing its streams for longer than promised.
	RequestTurn func(ctx context.Context, holder string, ta *balancer.Target, rq sequencer.Request) (sequencer.Turn, error)
	// CutOff reports whether this instance is cut off from the targets; Relay then sends a request through another instance,
	// with errors like those of the Forwarder. Awaiting is called when a request begins to wait for bytes of a target, and the
	// function that it returns when it no longer does.
	CutOff   func() bool
	Relay    func(ctx context.Context, ts balancer.Start, rq *forwarder.Request) (*forwarder.Response, error)
	Awaiting func() (ended func())
	// TargetLeaving is called with a target that has announced in a response that it is leaving.
	TargetLeaving func(balancer.Start)
	// RateLimitAnswered is called with the rate limit that a target has stated in a response to a request that was sent at the
	// given time.
	RateLimitAnswered func(ts balancer.Start, rl platform.RateLimit, sentAt time.Time)
	// ColdAnswered is called with the remaining cold time that a target has stated in a response to a request that was sent at
	// the given time, and TargetFailed when a connection to a target has failed. Both are called only for services whose
	// targets may be cold; nil for no call.
	ColdAnswered func(ts balancer.Start, co platform.Coldness, sentAt time.Time)
	TargetFailed func(ta *balancer.Target, cold time.Duration)
	// BrittlenessAnswered is called with what a target has stated about the number of rejections that it tolerates, in a
	// response to a request that was sent at the given time.
	BrittlenessAnswered func(ta *balancer.Target, br platform.Brittleness, sentAt time.Time)
	// PaceAnswered is called with the load that a target has stated in a response if it includes the pace of the target's
	// machine.
	PaceAnswered func(ta *balancer.Target, tl platform.TargetLoad)
	// HealthTimeout limits the queries of targets' health for long prompts; 0 for the default.
	HealthTimeout time.Duration
	// AnswerBroken is called with each answer of a target that broke off.
	AnswerBroken func(BrokenAnswer)
	// ClaimProbe reports whether the request may test a verdict on parts of prompts. All instances together let few requests do
	// so.
	ClaimProbe func(ctx context.Context, ve quarantiner.Verdict) bool
	// InstanceCount returns the number of instances that share the targets' connections.
	InstanceCount func() int
	// Shutdown returns how the instance shuts down; nil while it does not. Ending is done once the requests in progress
	// have to be answered at once, because it ends; nil for never.
	Shutdown func() *Shutdown
	Ending   context.Context
	// RequestEnded is called with the outcome of each request when it ends.
	RequestEnded func(*Outcome)
	// PrefixCache reports whether the parts of prompts that a service's engines have cached count in the choice among them;
	// nil: never.
	PrefixCache func(service string) bool
	// SameStart reports whether the process that a target runs is the one that its entry describes, as far as that can be
	// found out; nil means that it is. ReadTarget returns a target as the store lists it now; nil for the copy's.
	SameStart  func(context.Context, *balancer.Target) bool
	ReadTarget func(ctx context.Context, id string) (*balancer.Target, error)
	// Random returns a number in [0, 1).
	Random func() float64
	// Reserve reserves bytes for responses that wait for slow callers, and returns false if memory is short; Release returns
	// them. nil for no limit.
	Reserve func(bytes int64) bool
	Release func(bytes int64)
	// Reserver holds the budget of request bodies; nil for no limit.
	Reserver *reserver.Reserver

	// ReadAhead enables buffering of a target's response while its caller reads slowly.
	ReadAhead bool
	// Admitter decides on requests while targets are saturated; nil admits all and keeps no account of the targets' memory.
	Admitter *admitter.Admitter

	Balancer    *balancer.Balancer
	Forwarder   *forwarder.Forwarder
	Allotter    *allotter.Allotter
	Budgeter    *budgeter.Budgeter
	Cacher      *cacher.Cacher
	Quarantiner *quarantiner.Quarantiner
	Parts       *quarantiner.Parts
	Profiler    *profiler.Profiler
	Estimator   *estimator.Estimator
	Throttler   *throttler.Throttler
	Permitter   *permitter.Permitter
	Streams     *resumer.Resumer
}

// Acceptor is the HTTP handler for callers' requests.
type Acceptor struct {
	op       Options
	restarts restarts
}

// New returns an Acceptor with the given options.
func New(op Options) *Acceptor {
	if op.CutOff == nil {
		op.CutOff = func() bool { return false }
	}
	if op.Awaiting == nil {
		op.Awaiting = func() func() { return func() {} }
	}
	if op.PaceAnswered == nil {
		op.PaceAnswered = func(*balancer.Target, platform.TargetLoad) {}
	}
	if op.HealthTimeout <= 0 {
		op.HealthTimeout = defaultHealthTimeout
	}
	if op.Estimator == nil {
		op.Estimator = estimator.New()
	}
	if op.ColdAnswered == nil {
		op.ColdAnswered = func(balancer.Start, platform.Coldness, time.Time) {}
	}
	if op.TargetFailed == nil {
		op.TargetFailed = func(*balancer.Target, time.Duration) {}
	}
	if op.PrefixCache == nil {
		op.PrefixCache = func(string) bool { return false }
	}
	if op.SameStart == nil {
		op.SameStart = func(context.Context, *balancer.Target) bool { return true }
	}
	if op.ReadTarget == nil {
		op.ReadTarget = func(_ context.Context, id string) (*balancer.Target, error) {
			if ta, ok := op.Balancer.Target(id); ok {
				return ta, nil
			}
			return nil, errNotListed
		}
	}
	if op.Reserve == nil {
		op.Reserve = func(int64) bool { return true }
		op.Release = func(int64) {}
	}
	if op.Shutdown == nil {
		op.Shutdown = func() *Shutdown { return nil }
	}
	if op.Ending == nil {
		op.Ending = context.Background()
	}
	if op.Reserver == nil {
		op.Reserver = reserver.New(reserver.Options{})
	}
	return &Acceptor{op: op}
}

// errNotListed means that a target is not listed any more.
var errNotListed = errors.New("the target is not listed any more")

// defaultTimeout limits a request where neither the route nor the caller sets a limit.
const defaultTimeout = 30 * time.Second

// ServeHTTP handles one request of a caller.
func (ac *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ex := ac.newExchange(w, r)
	defer ac.op.RequestEnded(ex.outcome)
	defer ex.release()
	if rf := ex.refusedForShutdown(); rf != nil {
		ex.refuse(rf)
		return
	}
	if rf := ex.admit(); rf != nil {
		ex.refuse(rf)
		return
	}
	ex.serve()
}

func (ac *Acceptor) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	ex := &exchange{
		ac:       ac,
		w:        w,
		r:        r,
		caller:   platform.ParseCallerRequest(r.Header),
		excluded: make(map[string]bool),
		untrack:  func() {},
		outcome:  &Outcome{arrived: time.Now(), protocol: r.Proto},
	}
	ex.outcome.id, ex.outcome.resumes = ex.caller.ID, ex.caller.Resumes
	return ex
}

// admit checks the request: it finds its route, organisation and service and reads its body.
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
	ex.configuration, ex.route, ex.outcome.route, ex.outcome.version = cf, rt, rt, cf.Version()
	ex.place = resumer.NewPlace(router.CanonicalHost(ex.r.Host), path)
	if rf := ex.authenticate(cf); rf != nil {
		return rf
	}
	ex.setDeadline()
	service, ok := cf.Service(rt.PickService(ex.ac.op.Random()))
	if !ok {
		return refusedNoService
	}
	ex.service, ex.regions = service, router.AllowedRegions(rt, ex.organisation)
	if rf := ex.readBody(cf.Limits().BodyBytes); rf != nil {
		return rf
	}
	return ex.reserveWork()
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

// setDeadline sets the request's deadline from the route's timeout or the caller's maximum wait, whichever is shorter.
func (ex *exchange) setDeadline() {
	limit := ex.route.Timeout()
	if limit <= 0 {
		limit = defaultTimeout
	}
	if ex.caller.MaxWait > 0 {
		limit = min(limit, ex.caller.MaxWait)
	}
	ex.deadline = ex.beforeShutdown(ex.outcome.arrived.Add(limit))
}

// uri returns the request's path and query as the caller sent them.
func (ex *exchange) uri() string {
	uri := ex.r.RequestURI
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	return ex.r.URL.RequestURI()
}

// headerBytes returns the size in bytes of a request's request line and header fields, as written in HTTP/1.
func headerBytes(r *http.Request) int {
	const (
		// field is the size of the separators of one header field, and line that of the rest of a request line beside the
		// method and the request target.
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

// defaultMaxBody limits request bodies where the configuration sets no limit, in bytes.
const defaultMaxBody = 4 << 20
