package emulator

import (
	"encoding/json"
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
	eventGap = 5 * time.Millisecond
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
	SawKey       bool
}

// Ledger keeps the runs of all targets.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (le *Ledger) add(ru Run) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.runs = append(le.runs, ru)
}

// Runs returns all runs so far.
func (le *Ledger) Runs() []Run {
	le.mu.Lock()
	defer le.mu.Unlock()
	return append([]Run(nil), le.runs...)
}

// Target is a model engine or a plain application.
type Target struct {
	id      string
	service string
	engine  bool
	ledger  *Ledger
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
}

// newTarget starts a target on an address of the loopback range.
func newTarget(id, service string, engine bool, ledger *Ledger) (*Target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ta := &Target{
		id: id, service: service, engine: engine, ledger: ledger, address: listener.Addr().String(),
		born: 1, adapters: make(map[string]int64), pending: make(map[string]int64),
	}
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

// Most is the largest number of adapters that were held or under way at one time.
func (ta *Target) Most() int {
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
	switch r.URL.Path {
	case "/-/report":
		ta.report(w)
	case "/-/order":
		ta.order(w, r)
	default:
		ta.run(w, r)
	}
}

type report struct {
	Models       []resident `json:"models"`
	Seq          int64      `json:"seq"`
	PendingLoads []string   `json:"pendingLoads"`
	KVTotal      int        `json:"kvTotal"`
}

func (ta *Target) report(w http.ResponseWriter) {
	ta.mu.Lock()
	held := resident{Name: Model, Version: 1, Adapters: []string{}}
	for name, version := range ta.adapters {
		held.Adapters = append(held.Adapters, name+"@"+strconv.FormatInt(version, 10))
	}
	re := report{Models: []resident{held}, Seq: ta.orders, PendingLoads: []string{}, KVTotal: 1000}
	for name, version := range ta.pending {
		re.PendingLoads = append(re.PendingLoads, Model+"/"+name+"@"+strconv.FormatInt(version, 10))
	}
	ta.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(re)
}

type order struct {
	Op       string `json:"op"`
	Adapter  string `json:"adapter"`
	Version  int64  `json:"version"`
	Expected *int64 `json:"expected"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
}

func (ta *Target) order(w http.ResponseWriter, r *http.Request) {
	var od order
	if err := json.NewDecoder(r.Body).Decode(&od); err != nil || od.Holder == "" || od.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	_, held := ta.adapters[od.Adapter]
	_, pending := ta.pending[od.Adapter]
	switch {
	case od.Expected != nil && *od.Expected != ta.orders:
		w.WriteHeader(http.StatusConflict)
	case od.Op == "load" && pending:
		w.WriteHeader(http.StatusAccepted)
	case od.Op == "load" && held && ta.adapters[od.Adapter] >= od.Version:
		w.WriteHeader(http.StatusOK)
	case od.Op == "load":
		ta.takeEffect(od)
		delete(ta.adapters, od.Adapter)
		ta.pending[od.Adapter] = max(od.Version, 1)
		ta.most = max(ta.most, len(ta.adapters)+len(ta.pending))
		time.AfterFunc(adapterLoad, func() { ta.loaded(od.Adapter) })
		w.WriteHeader(http.StatusAccepted)
	default:
		if held {
			ta.takeEffect(od)
		}
		delete(ta.adapters, od.Adapter)
		w.WriteHeader(http.StatusOK)
	}
}

// takeEffect counts an order that changes the target; the lock is held.
func (ta *Target) takeEffect(od order) {
	ta.orders++
	if od.Fence < ta.epoch {
		ta.stale++
	}
	ta.epoch = max(ta.epoch, od.Fence)
}

// Stale is the number of orders of a superseded holder that took effect after one of a later holder had.
func (ta *Target) Stale() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.stale
}

func (ta *Target) loaded(name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.adapters[name] = ta.pending[name]
	delete(ta.pending, name)
}

func (ta *Target) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, adapter, _ := strings.Cut(r.Header.Get("Model-Name"), "/")
	if ta.engine && adapter != "" && !ta.holds(adapter, r.Header.Get("Expect-Version")) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ta.ledger.add(Run{
		Target: ta.id, ID: r.Header.Get("Request-Id"), Path: r.URL.Path, Adapter: adapter,
		Organisation: r.Header.Get("Tenant-Id"), SawKey: r.Header.Get("X-Api-Key") != "",
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

// Answer is the whole answer of an engine.
func Answer(adapter string) string {
	var text strings.Builder
	for number := range streamEvents {
		text.WriteString(event(number+1, adapter))
	}
	return text.String()
}

func (ta *Target) holds(adapter, expected string) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	version, ok := ta.adapters[adapter]
	return ok && (expected == "" || expected == strconv.FormatInt(version, 10))
}
