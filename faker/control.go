package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// FaultKind is the name of a fault, in kebab case.
type FaultKind string

// The faults that can be injected into fakes, with the fields of Fault that each one uses.
const (
	// FaultUnavailable makes the store or the list unavailable (On).
	FaultUnavailable FaultKind = "away"
	// FaultRate sets the store's rate limit in calls per second (Number; 0 for no limit).
	FaultRate FaultKind = "rate"
	// FaultLatency sets the latency added to each call to the store (DurationMs).
	FaultLatency FaultKind = "latency"
	// FaultLoseAnswers makes the next writes to the store take effect without a response (Number of them).
	FaultLoseAnswers FaultKind = "lose-answers"
	// FaultStale makes reads of the store return a frozen snapshot (On).
	FaultStale FaultKind = "stale"
	// FaultCutOff makes the store unavailable to callers from an IP address (Text is the address, On).
	FaultCutOff FaultKind = "cut-off"
	// FaultRegister adds or replaces a listing on the list (Listing).
	FaultRegister FaultKind = "register"
	// FaultDeregister removes a listing from the list (Text is its ID).
	FaultDeregister FaultKind = "deregister"
	// FaultLeaving sets a listing's state (Text is its ID, On selects leaving, otherwise live).
	FaultLeaving FaultKind = "leaving"
	// FaultSilent makes an engine or worker accept calls without ever responding (On).
	FaultSilent FaultKind = "silent"
	// FaultWrongVersion makes an engine report a different adapter version in its responses (On).
	FaultWrongVersion FaultKind = "wrong-version"
	// FaultFailingLoads makes an engine's next loads fail (Number of them, negative for all).
	FaultFailingLoads FaultKind = "failing-loads"
	// FaultPoison makes prompts that contain a text crash an engine (Text, empty for none).
	FaultPoison FaultKind = "poison"
	// FaultReportLag sets the age of an engine's load reports (DurationMs).
	FaultReportLag FaultKind = "report-lag"
	// FaultEventLag sets the delay before an engine's cache events become visible (DurationMs).
	FaultEventLag FaultKind = "event-lag"
	// FaultEventLoss drops every n-th cache event of an engine (Number, 0 for none).
	FaultEventLoss FaultKind = "event-loss"
	// FaultDown stops an engine (On), or starts it again without adapters.
	FaultDown FaultKind = "down"
	// FaultRestart restarts an engine without adapters.
	FaultRestart FaultKind = "restart"
	// FaultCrash stops an engine for its restart time.
	FaultCrash FaultKind = "crash"
	// FaultCrashes makes a worker drop the connection of its next runs after they take effect (Number of them).
	FaultCrashes FaultKind = "crashes"
	// FaultRunTime sets the duration of a worker's run (DurationMs).
	FaultRunTime FaultKind = "time"
	// FaultSlowdown sets the factor on the weight store's load times (Number).
	FaultSlowdown FaultKind = "slowdown"
	// FaultCut closes a link's connections, open and new (On).
	FaultCut FaultKind = "cut"
	// FaultFreeze makes the open connections of a link silent while new ones work.
	FaultFreeze FaultKind = "freeze"
	// FaultDelay sets the one-way delay of a link (DurationMs).
	FaultDelay FaultKind = "delay"
)

// Fault is a change of a fake's behaviour, in the form that the control handler accepts. Each kind uses some of the
// fields.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	On         bool      `json:"on,omitempty"`
	Number     float64   `json:"number,omitempty"`
	Text       string    `json:"text,omitempty"`
	DurationMs int64     `json:"duration-ms,omitempty"`
	Listing    *Listing  `json:"listing,omitempty"`
}

func (fa Fault) duration() time.Duration { return time.Duration(fa.DurationMs) * time.Millisecond }

// Stats holds the counters of one fake. At most one field is set, according to the kind of fake.
type Stats struct {
	Store   *StoreStats  `json:"store,omitempty"`
	Engine  *EngineStats `json:"engine,omitempty"`
	Worker  *WorkerStats `json:"worker,omitempty"`
	Weights *WeightStats `json:"weights,omitempty"`
}

// FaultControl holds the faults that can be injected into one fake and returns its counters.
type FaultControl struct {
	faults map[FaultKind]func(Fault)
	stats  func() Stats
}

// Control is an HTTP handler that injects faults into fakes and reports their counters:
// POST /control/{id}/fault accepts a Fault, GET /control/{id}/stats returns Stats, GET /control/stats returns the Stats
// of all fakes by ID, and GET /control/ lists the faults that each fake supports.
type Control struct {
	router http.Handler

	mu    sync.Mutex
	fakes map[string]FaultControl
}

// NewControl returns a control handler without fakes.
func NewControl() *Control {
	co := &Control{fakes: map[string]FaultControl{}}
	ro := chi.NewRouter()
	ro.Get("/control/", co.list)
	ro.Get("/control/stats", co.allStats)
	ro.Get("/control/{id}/stats", co.oneStats)
	ro.Post("/control/{id}/fault", co.fault)
	co.router = ro
	return co
}

// Add registers a fake under an ID, and replaces an earlier one with that ID.
func (co *Control) Add(id string, fake FaultControl) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.fakes[id] = fake
}

// ServeHTTP serves the control API.
func (co *Control) ServeHTTP(wr http.ResponseWriter, rq *http.Request) { co.router.ServeHTTP(wr, rq) }

// Apply injects a fault into a fake. It returns an error when the ID is unknown, the fake does not support the fault,
// or a FaultRegister has no listing.
func (co *Control) Apply(id string, fault Fault) error {
	co.mu.Lock()
	fake, found := co.fakes[id]
	co.mu.Unlock()
	if !found {
		return fmt.Errorf("no stand-in is called %q", id)
	}
	apply := fake.faults[fault.Kind]
	if apply == nil {
		return fmt.Errorf("%s knows no fault %q, only %s", id, fault.Kind, fake.kinds())
	}
	if fault.Kind == FaultRegister && fault.Listing == nil {
		return fmt.Errorf("fault %q needs a listing", fault.Kind)
	}
	apply(fault)
	return nil
}

// kinds returns the names of the supported faults, sorted and separated by commas.
func (cd FaultControl) kinds() string {
	kinds := make([]string, 0, len(cd.faults))
	for kind := range cd.faults {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return strings.Join(kinds, ", ")
}

func (co *Control) fault(wr http.ResponseWriter, rq *http.Request) {
	var fault Fault
	if err := json.NewDecoder(rq.Body).Decode(&fault); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if err := co.Apply(chi.URLParam(rq, "id"), fault); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	wr.WriteHeader(http.StatusNoContent)
}

func (co *Control) list(wr http.ResponseWriter, _ *http.Request) {
	co.mu.Lock()
	defer co.mu.Unlock()
	kinds := map[string]string{}
	for id, fake := range co.fakes {
		kinds[id] = fake.kinds()
	}
	writeJSON(wr, http.StatusOK, kinds)
}

// AllStats returns the counters of all fakes by ID.
func (co *Control) AllStats() map[string]Stats {
	co.mu.Lock()
	defer co.mu.Unlock()
	all := map[string]Stats{}
	for id, fake := range co.fakes {
		all[id] = fake.stats()
	}
	return all
}

func (co *Control) allStats(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, co.AllStats())
}

func (co *Control) oneStats(wr http.ResponseWriter, rq *http.Request) {
	co.mu.Lock()
	fake, found := co.fakes[chi.URLParam(rq, "id")]
	co.mu.Unlock()
	if !found {
		http.NotFound(wr, rq)
		return
	}
	writeJSON(wr, http.StatusOK, fake.stats())
}
