package emulator

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// adapterLoadTime is the time that an adapter takes to load.
	adapterLoadTime = 120 * time.Millisecond
	// eventInterval is the interval between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// defaultStreamEvents is the number of events of each stream, unless Options say otherwise.
	defaultStreamEvents = 6
	// defaultRouteTimeout is the timeout of the routes, unless Options say otherwise.
	defaultRouteTimeout = 5 * time.Second
	// defaultSoftware is the version of the targets' software.
	defaultSoftware = "v1"
	// AdapterSlots is the number of adapters that an engine can hold.
	AdapterSlots = 4
	// LargePath ends the paths at which applications send a response of largeBytes bytes.
	LargePath  = "/large"
	largeBytes = 900 << 10
	// Model is the name of the base model of all engines.
	Model = "base"
)

// Run describes a request that a target has started to process.
type Run struct {
	Target string
	// Region is the region in which the target runs, in fleets with regions.
	Region       string
	ID           string
	Path         string
	Organisation string
	Adapter      string
	ReceivedKey  bool
}

// RunLog records the runs of all targets.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

func (le *RunLog) add(ru Run) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.runs = append(le.runs, ru)
}

// Runs returns a copy of all recorded runs.
func (le *RunLog) Runs() []Run {
	le.mu.Lock()
	defer le.mu.Unlock()
	return append([]Run(nil), le.runs...)
}

// Target emulates a model engine or a plain application.
type Target struct {
	id      string
	service string
	engine  bool
	runLog  *RunLog
	server  *http.Server
	address string

	zone string
	// region is the target's region; empty in fleets without regions.
	region string
	// software is the version of the target's software, which each event of a stream names. events is the number of
	// events of a stream.
	software string
	events   int
	// omitsLoad is set for targets that do not report their load.
	omitsLoad bool
	// startNumber is the number of the start with this ID; it orders the starts.
	startNumber int64

	mu     sync.Mutex
	orders int64
	// epoch is the largest epoch of the orders that took effect, and staleOrders counts the later orders with a smaller epoch
	// that took effect.
	epoch       int64
	staleOrders int
	adapters    map[string]int64
	pending     map[string]int64
	maxAdapters int
	// running counts the requests on each adapter, and draining is the adapter whose unload waits for its requests; empty if
	// none.
	running  map[string]int
	draining string
	// leaving is set for targets that announce in their responses that they are leaving. Requests are rejected until
	// rejectUntil, and rejected counts them.
	leaving     bool
	rejectUntil time.Time
	rejected    int
	rateLimit   rateLimit
	brittle     brittleness
	uneven      unevenness
	memory      memory
	// leftAt is when it was first announced that the target is leaving; zero if it is not. lateArrivals are the
	// requests that reached it later than leavingNotice after that.
	leftAt       time.Time
	lateArrivals []Arrival
	cold         coldness
	evacuations  *evacuations
	// crashing holds the parts of prompts that crash the target; crashed is called when one does.
	crashing *crashingParts
	crashed  func()
	// prefixes holds the parts of prompts that the engine has cached, and prefixCache says how it prefills.
	prefixes    *prefixCache
	prefixCache PrefixCache
	// endlessPart is the part of the response in which the target sends bytes without end.
	endlessPart EndlessPart
	// answerEnd is how the answers of the target end, and answerDelay how long an application takes for one.
	answerEnd   AnswerEnd
	answerDelay time.Duration
	// reports is the recent state, oldest first, because reports lag by reportLag.
	reports []recordedReport
}

// newTarget starts a target on a free port of 127.0.0.1.
func (fl *Fleet) newTarget(id, service string, engine bool) (*Target, error) {
	listener, err := fl.op.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ta := &Target{
		id: id, service: service, engine: engine, runLog: fl.runLog, address: listener.Addr().String(),
		events: fl.op.StreamEvents, crashing: fl.crashing, crashed: func() { fl.crashFor(id, crashedTime) },
		prefixes: newPrefixCache(), prefixCache: fl.op.PrefixCache, memory: memory{cache: fl.op.PrefixCache.Tokens},
		startNumber: 1, evacuations: fl.evacuations, adapters: make(map[string]int64), pending: make(map[string]int64), running: make(map[string]int),
	}
	ta.recordReport()
	if fl.op.Places {
		ta.startCold()
	}
	ta.server = &http.Server{Handler: ta, ReadHeaderTimeout: time.Second}
	go func() { _ = ta.server.Serve(listener) }()
	return ta, nil
}

// registration is the value that a target registers in the store.
type registration struct {
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	Zone    string        `json:"zone"`
	Version string        `json:"version"`
	Slots   int           `json:"slots"`
	State   string        `json:"state"`
	Born    int64         `json:"born"`
	Models  []loadedModel `json:"models,omitempty"`
	// ColdLeftMs is how much longer the target stays cold.
	ColdLeftMs *int64 `json:"coldLeftMs,omitempty"`
}

type loadedModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

func (ta *Target) registration(address string) registration {
	re := registration{
		Service: ta.service, Addr: address, Zone: ta.zone, Version: ta.software, Slots: 8, State: "ready", Born: ta.startNumber,
		ColdLeftMs: ta.coldLeftMs(),
	}
	if ta.engine {
		re.Models = []loadedModel{{Name: Model, Version: 1, Adapters: []string{}}}
	}
	return re
}

// Crash closes the target's listener and connections at once.
func (ta *Target) Crash() { _ = ta.server.Close() }

// MaxAdapters returns the largest number of adapters that were loaded or loading at one time.
func (ta *Target) MaxAdapters() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.maxAdapters
}

// ServeHTTP answers requests, report queries and orders.
func (ta *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != ta.id {
		w.Header().Set("Instance-Id", ta.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if ta.sendEndless(w, r) || ta.sendHealth(w, r) {
		return
	}
	ta.announceLeaving(w.Header())
	ta.announceRateLimit(w.Header())
	ta.announceBrittle(w.Header())
	switch r.URL.Path {
	case "/-/report":
		ta.report(w)
	case "/-/order":
		ta.order(w, r)
	default:
		ta.run(w, r)
	}
}

func (ta *Target) run(w http.ResponseWriter, r *http.Request) {
	arrival := ta.countArrival(r.Header.Get("Request-Id"))
	ta.readRequest(r)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if ta.reject(w) {
		return
	}
	done, taken := ta.takeRoom(w)
	if !taken {
		return
	}
	defer done()
	_, adapter, _ := strings.Cut(r.Header.Get("Model-Name"), "/")
	if ta.engine && adapter != "" {
		if !ta.beginRequest(w, adapter, r.Header.Get("Expect-Version")) {
			if !rejectedAsBusy(w.Header()) {
				ta.voidArrival(arrival)
			}
			return
		}
		defer ta.endRequest(adapter)
	}
	if ta.engine {
		done, ok := ta.holdMemory(w, r)
		if !ok {
			return
		}
		defer done()
	}
	if ta.engine && !ta.prefill(r) {
		return
	}
	defer ta.workUnevenly(r)()
	ta.runLog.add(Run{
		Target: ta.id, Region: ta.region, ID: r.Header.Get("Request-Id"), Path: r.URL.Path, Adapter: adapter,
		Organisation: r.Header.Get("Tenant-Id"), ReceivedKey: r.Header.Get("X-Api-Key") != "",
	})
	w.Header().Set("Response-Seal", "seal-"+r.Header.Get("Request-Id"))
	if !ta.omitsLoad {
		ta.stateLoad(w.Header())
	}
	ta.answer(w, r, adapter)
}

// answer writes the body of the answer: the events of a stream, or the answer of an application.
func (ta *Target) answer(w http.ResponseWriter, r *http.Request, adapter string) {
	ta.awaitAnswer(r)
	if ta.endAnswer(w, r, adapter) {
		return
	}
	if !ta.engine && strings.HasSuffix(r.URL.Path, LargePath) {
		_, _ = io.WriteString(w, strings.Repeat("large ", largeBytes/len("large ")))
		return
	}
	if !ta.engine {
		_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get("Request-Id"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	ta.mu.Lock()
	events := ta.events
	ta.mu.Unlock()
	for number := first + 1; number <= events; number++ {
		_, _ = io.WriteString(w, softwareLine+ta.software+"\n"+event(number, adapter))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(ta.stretch(eventInterval))
	}
}

func event(number int, adapter string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, adapter)
}

// softwareLine begins the line of an event that names the version of the software that wrote it.
const softwareLine = "software: "

// CompleteStream returns the complete stream of the given number of events that an engine sends for an adapter, without
// the versions of the software.
func CompleteStream(adapter string, events int) string {
	var text strings.Builder
	for number := range events {
		text.WriteString(event(number+1, adapter))
	}
	return text.String()
}

// SplitStream returns a stream without the versions of the software, and the distinct versions that wrote its events.
func SplitStream(text string) (plain string, versions []string) {
	var rest strings.Builder
	for line := range strings.Lines(text) {
		version, ok := strings.CutPrefix(line, softwareLine)
		if !ok {
			rest.WriteString(line)
			continue
		}
		if version = strings.TrimSpace(version); !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return rest.String(), versions
}

// Zone returns the failure domain in which the target runs.
func (ta *Target) Zone() string { return ta.zone }

// Address returns the address at which the target listens.
func (ta *Target) Address() string { return ta.address }
