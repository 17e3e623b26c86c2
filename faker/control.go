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

// FaultKind names a fault in kebab case.
type FaultKind string

// The faults of the stand-ins, with the field of Fault that they read.
const (
	// FaultUnavailable is an outage of the store or the list (On).
	FaultUnavailable FaultKind = "away"
	// FaultRate sets the store's calls a second (Number).
	FaultRate FaultKind = "rate"
	// FaultLatency sets the time added to each call of the store (DurationMs).
	FaultLatency FaultKind = "latency"
	// FaultLoseAnswers makes writes to the store take effect without an answer (Number of them).
	FaultLoseAnswers FaultKind = "lose-answers"
	// FaultStale freezes what reads of the store see (On).
	FaultStale FaultKind = "stale"
	// FaultCutOff cuts callers off from the store (Text is their IP number, On).
	FaultCutOff FaultKind = "cut-off"
	// FaultRegister puts a listing on the list (Listing).
	FaultRegister FaultKind = "register"
	// FaultDeregister takes a listing off the list (Text is its ID).
	FaultDeregister FaultKind = "deregister"
	// FaultLeaving changes a listing's state (Text is its ID, On stands for leaving).
	FaultLeaving FaultKind = "leaving"
	// FaultSilent makes an engine or worker accept calls and never answer (On).
	FaultSilent FaultKind = "silent"
	// FaultWrongVersion makes an engine name another version in its answers (On).
	FaultWrongVersion FaultKind = "wrong-version"
	// FaultFailingLoads makes an engine's next loads fail (Number of them, negative for all).
	FaultFailingLoads FaultKind = "failing-loads"
	// FaultPoison makes prompts that hold a text crash an engine (Text, empty for none).
	FaultPoison FaultKind = "poison"
	// FaultReportLag sets the age of an engine's load reports (DurationMs).
	FaultReportLag FaultKind = "report-lag"
	// FaultEventLag sets the age at which an engine's cache events show (DurationMs).
	FaultEventLag FaultKind = "event-lag"
	// FaultEventLoss loses every n-th cache event of an engine (Number, 0 for none).
	FaultEventLoss FaultKind = "event-loss"
	// FaultDown takes an engine away, and brings it back empty (On).
	FaultDown FaultKind = "down"
	// FaultRestart restarts an engine empty.
	FaultRestart FaultKind = "restart"
	// FaultCrash takes an engine away for its restart time.
	FaultCrash FaultKind = "crash"
	// FaultCrashes makes a worker's next runs lose their answer after their effect (Number of them).
	FaultCrashes FaultKind = "crashes"
	// FaultRunTime sets how long a worker's run takes (DurationMs).
	FaultRunTime FaultKind = "time"
	// FaultSlowdown multiplies the weight store's load times (Number).
	FaultSlowdown FaultKind = "slowdown"
	// FaultCut cuts a link (On).
	FaultCut FaultKind = "cut"
	// FaultFreeze makes the open connections of a link go mute while new ones work.
	FaultFreeze FaultKind = "freeze"
	// FaultDelay sets the one-way delay of a link (DurationMs).
	FaultDelay FaultKind = "delay"
)

// Fault is one change of a stand-in's behaviour, as it is sent to the control handler. Each kind reads some fields.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	On         bool      `json:"on,omitempty"`
	Number     float64   `json:"number,omitempty"`
	Text       string    `json:"text,omitempty"`
	DurationMs int64     `json:"duration-ms,omitempty"`
	Listing    *Listing  `json:"listing,omitempty"`
}

func (fa Fault) duration() time.Duration { return time.Duration(fa.DurationMs) * time.Millisecond }

// Stats is what one stand-in counted; the field of its sort is set.
type Stats struct {
	Store   *StoreStats  `json:"store,omitempty"`
	Engine  *EngineStats `json:"engine,omitempty"`
	Worker  *WorkerStats `json:"worker,omitempty"`
	Weights *WeightStats `json:"weights,omitempty"`
}

// FaultControl is what the control handler needs of one stand-in.
type FaultControl struct {
	faults map[FaultKind]func(Fault)
	stats  func() Stats
}

// Control is an HTTP handler that switches the faults of stand-ins and tells their counts:
// POST /control/{id}/fault takes a Fault, GET /control/{id}/stats gives Stats, GET /control/stats gives those of all,
// and GET /control/ lists the faults of all.
type Control struct {
	router http.Handler

	mu       sync.Mutex
	standins map[string]FaultControl
}

// NewControl makes a control handler without stand-ins.
func NewControl() *Control {
	co := &Control{standins: map[string]FaultControl{}}
	ro := chi.NewRouter()
	ro.Get("/control/", co.list)
	ro.Get("/control/stats", co.allStats)
	ro.Get("/control/{id}/stats", co.oneStats)
	ro.Post("/control/{id}/fault", co.fault)
	co.router = ro
	return co
}

// Add puts a stand-in under control.
func (co *Control) Add(id string, standin FaultControl) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.standins[id] = standin
}

// ServeHTTP answers one call.
func (co *Control) ServeHTTP(wr http.ResponseWriter, rq *http.Request) { co.router.ServeHTTP(wr, rq) }

// Apply switches a fault of a stand-in.
func (co *Control) Apply(id string, fault Fault) error {
	co.mu.Lock()
	standin, found := co.standins[id]
	co.mu.Unlock()
	if !found {
		return fmt.Errorf("no stand-in is called %q", id)
	}
	apply := standin.faults[fault.Kind]
	if apply == nil {
		return fmt.Errorf("%s knows no fault %q, only %s", id, fault.Kind, standin.kinds())
	}
	if fault.Kind == FaultRegister && fault.Listing == nil {
		return fmt.Errorf("fault %q needs a listing", fault.Kind)
	}
	apply(fault)
	return nil
}

// kinds returns the faults that a stand-in knows, ordered and joined.
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
	for id, standin := range co.standins {
		kinds[id] = standin.kinds()
	}
	writeJSON(wr, http.StatusOK, kinds)
}

// AllStats returns the counts of all stand-ins by their names.
func (co *Control) AllStats() map[string]Stats {
	co.mu.Lock()
	defer co.mu.Unlock()
	all := map[string]Stats{}
	for id, standin := range co.standins {
		all[id] = standin.stats()
	}
	return all
}

func (co *Control) allStats(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, co.AllStats())
}

func (co *Control) oneStats(wr http.ResponseWriter, rq *http.Request) {
	co.mu.Lock()
	standin, found := co.standins[chi.URLParam(rq, "id")]
	co.mu.Unlock()
	if !found {
		http.NotFound(wr, rq)
		return
	}
	writeJSON(wr, http.StatusOK, standin.stats())
}
