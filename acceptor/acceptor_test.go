package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/acceptor"
	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/budgeter"
	"lovagebank/cacher"
	"lovagebank/estimator"
	"lovagebank/forwarder"
	"lovagebank/listener"
	"lovagebank/orderer"
	"lovagebank/permitter"
	"lovagebank/platform"
	"lovagebank/profiler"
	"lovagebank/quarantiner"
	"lovagebank/resumer"
	"lovagebank/router"
	"lovagebank/sequencer"
	"lovagebank/throttler"
)

const (
	host = "h.example"
	// gap is the longest pause that the routes promise to streams.
	gap = 200 * time.Millisecond
)

// testInstance is an entry instance with targets on the loopback interface.
type testInstance struct {
	t        testing.TB
	balancer *balancer.Balancer
	front    *httptest.Server
	// options are the options of the instance's acceptor, and address is that of a second front with a budget, if there is one.
	options acceptor.Options
	address string
	// written holds the keys of the store that have been written.
	written sync.Map
	loads   atomic.Int64
	loadErr error
	// overloaded is the number of loads that are refused at once, from the first.
	overloaded int64
	outcomes   chan *acceptor.Outcome
	newest     atomic.Int64
	needed     atomic.Int64
	profiler   *profiler.Profiler
	estimator  *estimator.Estimator
	// prefixCache is set if the parts of prompts that engines have cached count in the choice among them.
	prefixCache atomic.Bool
	throttler   *throttler.Throttler
	permitter   *permitter.Permitter
	// permits counts the permits for brittle targets in use, and whileAsking is called as one is requested; nil for no call.
	permits     atomic.Int64
	whileAsking func()
	parts       *quarantiner.Parts
	// probes counts the requests that have been let through to test a verdict.
	probes atomic.Int64
	// malformed counts the rate limits that could not be decoded.
	malformed atomic.Int64
	// beforeClaim is called before a test of a verdict is claimed, and beforeDial once, as a connection to a target is opened;
	// nil for no call.
	beforeClaim func()
	beforeDial  func()
	// coldRate is the rate that targets tolerate while they are cold, and asked counts the requests for grants to their
	// holders. coldness and failed count the calls of Options.ColdAnswered and Options.TargetFailed.
	coldRate float64
	asked    atomic.Int64
	coldness atomic.Int64
	failed   atomic.Int64
	// closeIdle closes the idle connections to a target.
	closeIdle func(id string)
	// turn answers requests for a turn.
	turn func(sequencer.Request) (sequencer.Turn, error)
}

// testOrganisation is the organisation of the tests' callers.
var testOrganisation = router.NewOrganisation(router.OrganisationOptions{
	Name: "org", Keys: []string{"key"}, TokensPerSecond: 1000, BurstTokens: 4000, CountsTokens: true, DefaultTokens: 10,
})

// regionalOrganisation is one whose requests may reach one region only.
var regionalOrganisation = router.NewOrganisation(router.OrganisationOptions{
	Name: "regional", Keys: []string{"regional"}, Regions: []string{"region-t2"},
})

func configuration() *router.Configuration { return configurationWith(1000) }

// configurationWith returns the configuration with a limit on bodies.
func configurationWith(bodyBytes int64) *router.Configuration {
	route := func(prefix string, kind router.Kind, service string, attempts int, resumable, public bool) *router.Route {
		return router.NewRoute(router.RouteOptions{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, LatencyObjective: 500 * time.Millisecond,
			Shares: []router.Share{{Service: service, Weight: 1}}, Attempts: attempts, Resumable: resumable, Public: public,
			GapObjective: gap,
		})
	}
	return router.New(router.Options{
		Version: 3,
		Routes: []*router.Route{
			route("/safe/", router.Safe, "plain", 2, false, false),
			route("/unsafe/", router.Unsafe, "plain", 2, false, false),
			route("/stream/", router.Stream, "engines", 2, false, false),
			route("/resume/", router.Stream, "engines", 2, true, false),
			route("/public/", router.Safe, "plain", 1, false, true),
			route("/nowhere/", router.Safe, "none", 1, false, false),
			route("/cold/", router.Safe, "cold", 2, false, false),
			router.NewRoute(router.RouteOptions{
				Name: "regional", Host: host, Prefix: "/regional/", Timeout: 2 * time.Second, Attempts: 2,
				Regions: []string{"region-t1", "region-t3"},
				Shares:  []router.Share{{Service: "plain", Weight: 1}},
			}),
		},
		Services: []*router.Service{
			router.NewService(router.ServiceOptions{Name: "plain"}),
			router.NewService(router.ServiceOptions{Name: "cold", ColdTime: 3 * time.Second, ColdRate: 31}),
			router.NewService(router.ServiceOptions{
				Name: "engines", Engine: &router.Engine{AdapterSlots: 4, CacheTokens: 100000}, HealthPath: "/health",
			}),
		},
		Organisations: []*router.Organisation{testOrganisation, regionalOrganisation},
		Limits:        router.Limits{BodyBytes: bodyBytes, HeaderBytes: 2000},
	})
}

func newTestInstance(t testing.TB) *testInstance {
	t.Helper()
	const manyRetries = 100
	return newTestInstanceWith(t, manyRetries)
}

// newTestInstanceWith returns an instance that may make the given number of retries in a second, beside one for each request.
func newTestInstanceWith(t testing.TB, retries float64) *testInstance {
	t.Helper()
	return newTestInstanceOptions(t, retries, func(*acceptor.Options) {})
}

// newTestInstanceOptions returns an instance with changed options.
func newTestInstanceOptions(t testing.TB, retries float64, change func(*acceptor.Options)) *testInstance {
	t.Helper()
	ti := &testInstance{t: t, outcomes: make(chan *acceptor.Outcome, 100)}
	parts, weighsPrefix := cacher.New(), func(string) bool { return ti.prefixCache.Load() }
	ti.balancer = balancer.New(balancer.Options{
		Random: func() float64 { return 0 }, RegionOf: func(domain string) string { return "region-" + domain },
		Slowness:    func(ts balancer.Start) float64 { return ti.estimator.Slowness(ts) },
		PrefixCache: weighsPrefix, Cached: parts.Estimate,
	})
	ti.profiler = profiler.New()
	ti.estimator = estimator.New()
	ti.parts = quarantiner.NewParts("test")
	ti.throttler = throttler.New(throttler.Options{
		Ask: func(_ context.Context, no throttler.Notice) (throttler.Grant, error) {
			ti.asked.Add(1)
			return ti.throttler.Grant(no), nil
		},
		ColdRate: func(string) (float64, bool) { return ti.coldRate, ti.coldRate > 0 },
	})
	ti.permitter = permitter.New(permitter.Options{
		Ask: func(_ context.Context, no permitter.Notice) (permitter.Permit, error) {
			ti.permits.Add(1)
			if ti.whileAsking != nil {
				ti.whileAsking()
			}
			return ti.permitter.Grant(no), nil
		},
		GiveBack: func(pe permitter.Permit, rejected bool) {
			ti.permits.Add(-1)
			ti.permitter.GivenBack(pe, rejected)
		},
		Load: ti.balancer.Load,
	})
	cf := configuration()
	fo := forwarder.New(forwarder.Options{Dial: ti.dial})
	ti.closeIdle = fo.CloseIdle
	streams := resumer.New(ti.streams())
	ctx, stop := context.WithCancel(context.Background())
	go streams.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-streams.Done()
	})
	ti.options = acceptor.Options{
		Configuration:   func() *router.Configuration { return cf },
		NewestVersion:   func(balancer.Adapter) int64 { return ti.newest.Load() },
		RequiredVersion: func(balancer.Adapter) int64 { return ti.needed.Load() },
		LoadAdapter: func(context.Context, string, *balancer.Target, orderer.Request) error {
			if ti.loads.Add(1) <= ti.overloaded {
				return orderer.ErrBusy
			}
			return ti.loadErr
		},
		RequestTurn: func(_ context.Context, _ string, _ *balancer.Target, rq sequencer.Request) (sequencer.Turn, error) {
			return ti.turn(rq)
		},
		TargetLeaving:     func(ts balancer.Start) { ti.balancer.MarkLeaving(ts) },
		RateLimitAnswered: ti.rateLimitAnswered,
		ColdAnswered:      func(balancer.Start, platform.Coldness, time.Time) { ti.coldness.Add(1) },
		TargetFailed:      func(*balancer.Target, time.Duration) { ti.failed.Add(1) },
		AnswerBroken:      func(acceptor.BrokenAnswer) {},
		ClaimProbe:        ti.claimProbe,
		InstanceCount:     func() int { return 1 },
		RequestEnded:      func(ou *acceptor.Outcome) { ti.outcomes <- ou },
		Random:            func() float64 { return 0 },
		Balancer:          ti.balancer,
		Forwarder:         fo,
		Allotter:          allotter.New(allotter.Options{Interval: func() time.Duration { return time.Second }}),
		Budgeter: budgeter.New(budgeter.Options{
			Ratio: 1, Extra: retries, Window: time.Second, Instances: func() int { return 1 },
		}),
		Quarantiner: quarantiner.New(),
		Parts:       ti.parts,
		Streams:     streams,
		Profiler:    ti.profiler,
		Cacher:      parts,
		PrefixCache: weighsPrefix,
		Estimator:   ti.estimator,
		// Longer than the default, so that answers on a busy machine are in time.
		HealthTimeout: time.Second,
		PaceAnswered: func(ta *balancer.Target, tl platform.TargetLoad) {
			if tl.PaceErr == nil {
				ti.estimator.SetPace(ta.Start(), ta.Service(), tl.Pace)
			}
		},
		Throttler: ti.throttler,
		Permitter: ti.permitter,
		BrittlenessAnswered: func(ta *balancer.Target, br platform.Brittleness, sentAt time.Time) {
			if br.Named {
				ti.permitter.Named(ta.Start(), ta.Service(), br.MostRejections)
				return
			}
			ti.permitter.Unnamed(ta.Start(), ta.Service(), sentAt)
		},
	}
	change(&ti.options)
	ti.front = httptest.NewUnstartedServer(acceptor.New(ti.options))
	bounded := listener.Wrap(ti.front.Listener, listener.Options{})
	bounded.Attach(ti.front.Config)
	ti.front.Listener = bounded
	ti.front.Start()
	t.Cleanup(ti.front.Close)
	return ti
}

// streams returns the options of a store that holds nothing and accepts everything.
func (ti *testInstance) streams() resumer.Options {
	return resumer.Options{
		Get: func(context.Context, string) (platform.Item, error) { return platform.Item{}, platform.ErrNotFound },
		Transact: func(_ context.Context, tx platform.Transaction) (int64, error) {
			for _, wr := range tx.Writes {
				ti.written.Store(wr.Key, true)
			}
			return 1, nil
		},
		Era:         func() int64 { return 0 },
		StoreFailed: func(time.Duration) bool { return false },
		Routes:      func() []resumer.Route { return nil },
		Random:      func() float64 { return 0 },
		Logger:      log.New(io.Discard),
	}
}

// claimProbe counts the requests that test a verdict, and lets each do so.
func (ti *testInstance) claimProbe(_ context.Context, ve quarantiner.Verdict) bool {
	if ti.beforeClaim != nil {
		ti.beforeClaim()
	}
	ti.probes.Add(1)
	ti.parts.Probed(ve.Key(), ve.Probes+1)
	return true
}

// rateLimitAnswered passes the rate limits that targets state to the throttler.
func (ti *testInstance) rateLimitAnswered(ts balancer.Start, rl platform.RateLimit, sentAt time.Time) {
	switch {
	case rl.Err != nil:
		ti.malformed.Add(1)
	case rl.Named:
		ti.throttler.Named(ts, rl.Rate)
		ti.balancer.SetRateLimited(ts, true)
	default:
		ti.throttler.Unnamed(ts, sentAt)
	}
}

// addTarget adds a target of a service; engines hold the adapter m/a.
func (ti *testInstance) addTarget(id, service string, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		// The server detects that its client has disconnected only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
	}))
	ti.t.Cleanup(server.CloseClientConnections)
	ti.t.Cleanup(server.Close)
	ti.balancer.SetTarget(balancer.NewTarget(balancer.TargetOptions{
		ID: id, Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 10, Software: "v1", FailureDomain: id,
	}))
	if service == "engines" {
		ti.setHeld(id, "a")
	}
}

func (ti *testInstance) setHeld(id string, names ...string) {
	held := map[balancer.Adapter]int64{{Model: "m"}: 1}
	for _, name := range names {
		held[balancer.Adapter{Model: "m", Name: name}] = 1
	}
	ti.balancer.Update(balancer.TargetUpdate{Target: id, Holder: "holder", Adapters: held})
}

// send sends one request of a caller with the key of testOrganisation.
func (ti *testInstance) send(path string, change func(*http.Request)) (*http.Response, string, error) {
	rq, err := http.NewRequest(http.MethodPost, ti.front.URL+path, strings.NewReader("body"))
	if err != nil {
		ti.t.Fatal(err)
	}
	rq.Host = host
	rq.Header.Set("Request-Id", "id-1")
	rq.Header.Set("X-Api-Key", "key")
	rq.Header.Set("Model-Name", "m/a")
	if change != nil {
		change(rq)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	return rs, string(text), err
}

func (ti *testInstance) expectStatus(path string, change func(*http.Request), status int) (*http.Response, string) {
	ti.t.Helper()
	rs, text, err := ti.send(path, change)
	if err != nil {
		ti.t.Fatal(err)
	}
	if rs.StatusCode != status {
		ti.t.Fatalf("status %d %q, want %d", rs.StatusCode, text, status)
	}
	return rs, text
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Response-Seal", "seal")
	_, _ = io.WriteString(w, "answer")
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func failure(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func TestRefusalStatuses(t *testing.T) {
	tests := map[string]struct {
		path   string
		change func(*http.Request)
		status int
	}{
		"no route":     {"/other/1", nil, http.StatusNotFound},
		"unknown key":  {"/safe/1", func(r *http.Request) { r.Header.Set("X-Api-Key", "no") }, http.StatusUnauthorized},
		"no key":       {"/safe/1", func(r *http.Request) { r.Header.Del("X-Api-Key") }, http.StatusUnauthorized},
		"public route": {"/public/1", func(r *http.Request) { r.Header.Del("X-Api-Key") }, http.StatusOK},
		"no service":   {"/nowhere/1", nil, http.StatusServiceUnavailable},
		"body too long": {"/safe/1", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, http.StatusRequestEntityTooLarge},
		"header too long": {"/safe/1", func(r *http.Request) {
			r.Header.Set("X-Long", strings.Repeat("x", 2000))
		}, http.StatusRequestHeaderFieldsTooLarge},
		"header within its limit": {"/safe/1", func(r *http.Request) {
			r.Header.Set("X-Long", strings.Repeat("x", 1500))
		}, http.StatusOK},
		"quota used up": {"/safe/1", func(r *http.Request) { r.Header.Set("Token-Counts", "9000,1") }, http.StatusTooManyRequests},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			ti.addTarget("t1", "plain", ok)
			rs, _ := ti.expectStatus(tt.path, tt.change, tt.status)
			wantRetryAfter := tt.status == http.StatusServiceUnavailable || tt.status == http.StatusTooManyRequests
			if (rs.Header.Get("Retry-After") != "") != wantRetryAfter {
				t.Errorf("Retry-After %q with status %d", rs.Header.Get("Retry-After"), tt.status)
			}
			if tt.status != http.StatusOK && rs.Header.Get("Response-Seal") != "" {
				t.Error("a response generated by the instance carries a seal")
			}
		})
	}
}

func TestNoConfigurationYet(t *testing.T) {
	ac := acceptor.New(acceptor.Options{
		Configuration: func() *router.Configuration { return nil },
		Shutdown:      func() *acceptor.Shutdown { return &acceptor.Shutdown{TakeUntil: time.Now().Add(time.Hour)} },
		RequestEnded:  func(*acceptor.Outcome) {},
	})
	rec := httptest.NewRecorder()
	ac.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/safe/1", nil))
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Connection") != "close" {
		t.Errorf("status %d, Connection %q", rec.Code, rec.Header().Get("Connection"))
	}
}

// The kind of route decides whether a failed request goes to a second target, and which status the caller gets.
func TestRetriesByRouteKind(t *testing.T) {
	tests := map[string]struct {
		path          string
		first, second http.HandlerFunc
		status        int
		runs          int64
	}{
		"unsafe, not run by the first":       {"/unsafe/1", notRun, ok, http.StatusOK, 2},
		"unsafe, broken by the first":        {"/unsafe/1", crash, ok, http.StatusBadGateway, 1},
		"unsafe, failed by the first":        {"/unsafe/1", failure, ok, http.StatusInternalServerError, 1},
		"safe, broken by the first":          {"/safe/1", crash, ok, http.StatusOK, 2},
		"safe, failed by the first":          {"/safe/1", failure, ok, http.StatusOK, 2},
		"safe, failed by both":               {"/safe/1", failure, failure, http.StatusInternalServerError, 2},
		"safe, broken by both":               {"/safe/1", crash, crash, http.StatusBadGateway, 2},
		"safe, not run by either":            {"/safe/1", notRun, notRun, http.StatusServiceUnavailable, 2},
		"stream, broken before its start":    {"/stream/1", crash, ok, http.StatusBadGateway, 1},
		"resumable, broken before its start": {"/resume/1", crash, ok, http.StatusOK, 2},
		"stream, not run by the first":       {"/stream/1", notRun, ok, http.StatusOK, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			var runs atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					tt.first(w, r)
					return
				}
				tt.second(w, r)
			}
			for _, id := range []string{"t1", "t2"} {
				ti.addTarget(id, "plain", handler)
				ti.addTarget("e"+id, "engines", handler)
			}
			ti.expectStatus(tt.path, nil, tt.status)
			if runs.Load() != tt.runs {
				t.Errorf("%d sends, want %d", runs.Load(), tt.runs)
			}
		})
	}
}

func TestRequestHeadersAtTarget(t *testing.T) {
	ti := newTestInstance(t)
	seen := make(chan *http.Request, 1)
	ti.addTarget("t1", "plain", func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Clone(context.Background())
		ok(w, r)
	})
	ti.expectStatus("/safe/a%2Fb?q=1", func(r *http.Request) {
		r.Header.Set("Tenant-Id", "other")
		r.Header.Set("Hold", "1")
		r.Header.Set("Kv-From", "x")
		r.Header.Set("Connection", "X-Private, Request-Id")
		r.Header.Set("X-Private", "1")
		r.Header.Set("X-Own", "kept")
		r.Header.Set("Deadline-Ms", "900")
	}, http.StatusOK)
	r := <-seen
	for name, want := range map[string]string{
		"Tenant-Id": "org", "Expect-Instance": "t1", "Hold": "", "Kv-From": "", "X-Private": "", "X-Own": "kept",
		"X-Api-Key": "", "Request-Id": "id-1",
	} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if r.RequestURI != "/safe/a%2Fb?q=1" || r.Host != host {
		t.Errorf("%s on %s", r.RequestURI, r.Host)
	}
}

// An interrupted stream must not look complete. A resumable stream continues at another target after the last complete
// event.
func TestInterruptedStreams(t *testing.T) {
	event := func(number int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", number, number) }
	partial := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, event(1)+event(2)+"id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	rest := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "2" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.WriteString(w, event(3)+event(4))
	}
	tests := map[string]struct {
		path  string
		whole bool
		text  string
	}{
		"aborted":                 {"/stream/1", false, event(1) + event(2) + "id: 3\nda"},
		"resumed":                 {"/resume/1", true, event(1) + event(2) + event(3) + event(4)},
		"resumed on another path": {"/resume/2", true, event(1) + event(2) + event(3) + event(4)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			var runs atomic.Int64
			for _, id := range []string{"e1", "e2"} {
				ti.addTarget(id, "engines", func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 {
						partial(w, r)
						return
					}
					rest(w, r)
				})
			}
			_, text, err := ti.send(tt.path, nil)
			if (err == nil) != tt.whole || text != tt.text {
				t.Errorf("got %q, %v", text, err)
			}
		})
	}
}

func TestRelaysEventsWithoutDelay(t *testing.T) {
	for _, path := range []string{"/stream/1", "/resume/1"} {
		t.Run(path, func(t *testing.T) {
			ti := newTestInstance(t)
			next := make(chan struct{})
			ti.addTarget("e1", "engines", func(w http.ResponseWriter, _ *http.Request) {
				for number := range 3 {
					_, _ = fmt.Fprintf(w, "id: %d\n\n", number)
					_ = http.NewResponseController(w).Flush()
					<-next
				}
			})
			rq, err := http.NewRequest(http.MethodPost, ti.front.URL+path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			rq.Host = host
			rq.Header = http.Header{"X-Api-Key": {"key"}, "Model-Name": {"m/a"}, "Request-Id": {"1"}}
			rs, err := http.DefaultClient.Do(rq)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = rs.Body.Close() }()
			reader := bufio.NewReader(rs.Body)
			for number := range 3 {
				line, err := reader.ReadString('\n')
				if err != nil || line != fmt.Sprintf("id: %d\n", number) {
					t.Fatalf("line %q, %v", line, err)
				}
				if _, err := reader.ReadString('\n'); err != nil {
					t.Fatal(err)
				}
				next <- struct{}{}
			}
		})
	}
}

// The final response comes at the route's timeout or after the caller's maximum wait, and says whether the request may
// have run.
func TestCallerDeadline(t *testing.T) {
	ti := newTestInstance(t)
	ti.addTarget("t1", "plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	rs, _ := ti.expectStatus("/unsafe/1", func(r *http.Request) { r.Header.Set("Deadline-Ms", "300") }, http.StatusGatewayTimeout)
	if rs.Header.Get("Retry-After") != "" {
		t.Error("Retry-After is set for a request that may have run")
	}
}

func TestCallerDisconnects(t *testing.T) {
	ti := newTestInstance(t)
	var once sync.Once
	left, began := make(chan struct{}), make(chan struct{})
	ti.addTarget("t1", "plain", func(_ http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(began) })
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, _, err := ti.send("/safe/1", func(r *http.Request) { *r = *r.WithContext(ctx) })
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	<-left
	if ou := <-ti.outcomes; ou.Status() != 0 || ou.Tries() != 1 {
		t.Errorf("status %d after %d tries", ou.Status(), ou.Tries())
	}
}

func TestLoadsMissingAdapters(t *testing.T) {
	tests := map[string]struct {
		adapter string
		loadErr error
		status  int
		loads   int64
	}{
		"adapter held":                     {"m/a", nil, http.StatusOK, 0},
		"adapter loaded first":             {"m/b", nil, http.StatusOK, 1},
		"no target can load the adapter":   {"m/b", orderer.ErrFull, http.StatusServiceUnavailable, 2},
		"base model":                       {"m", nil, http.StatusOK, 0},
		"unknown base model":               {"n", nil, http.StatusServiceUnavailable, 0},
		"adapter of an unknown base model": {"n/a", nil, http.StatusServiceUnavailable, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			ti.loadErr = tt.loadErr
			ti.addTarget("e1", "engines", ok)
			ti.addTarget("e2", "engines", ok)
			ti.expectStatus("/stream/1", func(r *http.Request) { r.Header.Set("Model-Name", tt.adapter) }, tt.status)
			if ti.loads.Load() != tt.loads {
				t.Errorf("%d loads, want %d", ti.loads.Load(), tt.loads)
			}
		})
	}
}

// A target that reports that it does not hold the adapter is asked to load it, and then runs the request.
func TestReloadsAdapterUnloadedByTarget(t *testing.T) {
	ti := newTestInstance(t)
	ti.addTarget("e1", "engines", func(w http.ResponseWriter, r *http.Request) {
		if ti.loads.Load() == 0 {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		ok(w, r)
	})
	ti.expectStatus("/stream/1", nil, http.StatusOK)
}

// Reproduces castaneda-stock-grown trouble-1, 24 to 32 s: more adapters than usual are requested, and at any moment a third
// of the engines accept no load order because they wait for a request on an adapter that has to be unloaded. A request
// must not be refused because four engines refuse at once when a fifth can serve it.
func TestAsksFiveOverloadedEngines(t *testing.T) {
	ti := newTestInstance(t)
	for number := range 6 {
		id := fmt.Sprint("e", number)
		ti.addTarget(id, "engines", ok)
		ti.setHeld(id)
	}
	ti.overloaded = 4
	ti.expectStatus("/stream/1", nil, http.StatusOK)
	if loads := ti.loads.Load(); loads != 5 {
		t.Errorf("%d engines asked, want 5", loads)
	}
}

func TestLoadsRequiredVersion(t *testing.T) {
	ti := newTestInstance(t)
	versions := make(chan string, 2)
	ti.addTarget("e1", "engines", func(w http.ResponseWriter, r *http.Request) {
		versions <- r.Header.Get("Expect-Version")
		ok(w, r)
	})
	ti.expectStatus("/stream/1", nil, http.StatusOK)
	ti.newest.Store(4)
	ti.needed.Store(4)
	ti.expectStatus("/stream/2", nil, http.StatusOK)
	if first, second := <-versions, <-versions; first != "" || second != "4" || ti.loads.Load() != 1 {
		t.Errorf("expected versions %q and %q, %d loads", first, second, ti.loads.Load())
	}
}

// During the rollout of a new version, requests may start on the version before it: they do not wait and name no version.
func TestAcceptsOldVersionDuringRollout(t *testing.T) {
	ti := newTestInstance(t)
	versions := make(chan string, 1)
	ti.addTarget("e1", "engines", func(w http.ResponseWriter, r *http.Request) {
		versions <- r.Header.Get("Expect-Version")
		ok(w, r)
	})
	ti.newest.Store(4)
	ti.needed.Store(1)
	ti.expectStatus("/stream/1", nil, http.StatusOK)
	if version := <-versions; version != "" || ti.loads.Load() != 0 {
		t.Errorf("expected version %q, %d loads", version, ti.loads.Load())
	}
}

// A request that crashes every target that runs it is refused after the third crash, whichever caller sends it again.
func TestRefusesCrashingRequest(t *testing.T) {
	ti := newTestInstance(t)
	for number := range 6 {
		ti.addTarget(fmt.Sprint("t", number), "plain", crash)
	}
	for range 3 {
		ti.expectStatus("/unsafe/poison", nil, http.StatusBadGateway)
	}
	ti.expectStatus("/unsafe/poison", nil, http.StatusServiceUnavailable)
}

// The log line of a request refused over quota shows the cause: the quota that was left, and what this instance could
// spend of it.
func TestLogsQuotaDecision(t *testing.T) {
	ti := newTestInstance(t)
	ti.addTarget("p1", "plain", ok)
	ti.expectStatus("/safe/1", func(r *http.Request) { r.Header.Set("Token-Counts", "9000,1") }, http.StatusTooManyRequests)
	fields := (<-ti.outcomes).LogFields()
	for _, name := range []string{"allowance-left", "own-part", "own-spent", "peers"} {
		if !slices.Contains(fields, any(name)) {
			t.Errorf("no %s in %v", name, fields)
		}
	}
}
