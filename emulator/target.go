package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// adapterLoad is how long an adapter takes to load.
	adapterLoad = 120 * time.Millisecond
	// eventGap is the time between two events of a stream.
	eventGap = 15 * time.Millisecond
	// streamEvents is the number of events of each stream.
	streamEvents = 6
	// AdapterSlots is the number of adapters that an engine holds.
	AdapterSlots = 4
	// Model is the base model that all engines hold.
	Model = "base"
)

// Run is a request that a target has begun to work on.
type Run struct {
	Target       string
	ID           string
	Path         string
	Organisation string
	Adapter      string
	ReceivedKey  bool
}

// RunLog keeps the runs of all targets.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

func (le *RunLog) add(ru Run) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.runs = append(le.runs, ru)
}

// Runs returns all runs so far.
func (le *RunLog) Runs() []Run {
	le.mu.Lock()
	defer le.mu.Unlock()
	return append([]Run(nil), le.runs...)
}

// Target is a model engine or a plain application.
type Target struct {
	id      string
	service string
	engine  bool
	ledger  *RunLog
	server  *http.Server
	address string

	zone string
	// silent targets don't tell their load.
	silent bool
	// born orders the starts under one ID.
	born int64

	mu     sync.Mutex
	orders int64
	// epoch is the largest epoch of an order that took effect, and stale counts orders of a smaller one that did.
	epoch    int64
	stale    int
	adapters map[string]int64
	pending  map[string]int64
	most     int
	// running counts the requests on each adapter, and draining is the adapter whose unload waits for them; empty if none.
	running  map[string]int
	draining string
	// leaving targets say so in their answers. Until awayUntil requests are turned away, which turnedAway counts.
	leaving    bool
	awayUntil  time.Time
	turnedAway int
	// endless is where the target sends bytes without end.
	endless EndlessPart
	// reports are what the target was, the oldest first: its reports lag.
	reports []dated
}

// newTarget starts a target on an address of the loopback range.
func newTarget(id, service string, engine bool, ledger *RunLog) (*Target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ta := &Target{
		id: id, service: service, engine: engine, ledger: ledger, address: listener.Addr().String(),
		born: 1, adapters: make(map[string]int64), pending: make(map[string]int64), running: make(map[string]int),
	}
	ta.record()
	ta.server = &http.Server{Handler: ta, ReadHeaderTimeout: time.Second}
	go func() { _ = ta.server.Serve(listener) }()
	return ta, nil
}

// entry is what a target registers in the store.
type entry struct {
	Service string     `json:"service"`
	Addr    string     `json:"addr"`
	Zone    string     `json:"zone"`
	Version string     `json:"version"`
	Slots   int        `json:"slots"`
	State   string     `json:"state"`
	Born    int64      `json:"born"`
	Models  []resident `json:"models,omitempty"`
}

type resident struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

func (ta *Target) entry(address string) entry {
	en := entry{Service: ta.service, Addr: address, Zone: ta.zone, Version: "v1", Slots: 8, State: "ready", Born: ta.born}
	if ta.engine {
		en.Models = []resident{{Name: Model, Version: 1, Adapters: []string{}}}
	}
	return en
}

// Crash ends the target at once.
func (ta *Target) Crash() { _ = ta.server.Close() }

// MaxAdapters is the largest number of adapters that were held or under way at one time.
func (ta *Target) MaxAdapters() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.most
}

// ServeHTTP answers requests, reports and orders.
func (ta *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != ta.id {
		w.Header().Set("Instance-Id", ta.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if ta.sendWithoutEnd(w, r) {
		return
	}
	ta.sayLeaving(w.Header())
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
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if ta.turnAway(w) {
		return
	}
	_, adapter, _ := strings.Cut(r.Header.Get("Model-Name"), "/")
	if ta.engine && adapter != "" {
		if !ta.begin(w, adapter, r.Header.Get("Expect-Version")) {
			return
		}
		defer ta.end(adapter)
	}
	ta.ledger.add(Run{
		Target: ta.id, ID: r.Header.Get("Request-Id"), Path: r.URL.Path, Adapter: adapter,
		Organisation: r.Header.Get("Tenant-Id"), ReceivedKey: r.Header.Get("X-Api-Key") != "",
	})
	w.Header().Set("Response-Seal", "seal-"+r.Header.Get("Request-Id"))
	if !ta.silent {
		w.Header().Set("Instance-Load", "1,0,8")
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
	for number := first + 1; number <= streamEvents; number++ {
		_, _ = io.WriteString(w, event(number, adapter))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventGap)
	}
}

func event(number int, adapter string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, adapter)
}

// CompleteStream is the whole answer of an engine.
func CompleteStream(adapter string) string {
	var text strings.Builder
	for number := range streamEvents {
		text.WriteString(event(number+1, adapter))
	}
	return text.String()
}
