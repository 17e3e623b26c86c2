//go:build review3

package main

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

// worker is a stand-in of a worker: a model engine or an application. It writes its entry to the store at its start and with
// each change of its state, and answers as PROTOCOL.md says.
type worker struct {
	wo      *world
	id      string
	service string
	zone    string
	version string
	address string
	engine  bool
	// work answers a request that the worker runs; nil for a short answer at once.
	work func(w http.ResponseWriter, r *http.Request, run *run)

	mu       sync.Mutex
	server   *http.Server
	born     int64
	state    string
	seq      int64
	adapters map[string]int64
	loading  map[string]int64
	runs     []*run
	orders   []order
	running  int
	// empty is set while an engine holds no model: after a restart it loads one only when it is ordered to.
	empty bool
	busy  bool
	// mute is set while the worker cannot write its entry.
	mute bool
}

// run is a request that a worker has begun to work on.
type run struct {
	id, path, model, tenant string
	at                      time.Time
	worker, version         string
}

// order is an order that reached a worker.
type order struct {
	at     time.Time
	holder string
	fence  int64
	op     string
	from   string
	status int
}

// addWorker starts a worker at a free port.
func (wo *world) addWorker(id, service, zone, version string) *worker {
	ta := &worker{wo: wo, id: id, service: service, zone: zone, version: version, engine: service == "chat"}
	wo.mu.Lock()
	wo.workers = append(wo.workers, ta)
	wo.mu.Unlock()
	listener, err := net.Listen("tcp4", wo.network+".2.1:0")
	must(err)
	ta.address = listener.Addr().String()
	ta.serve(listener)
	return ta
}

// serve begins a new lifetime.
func (ta *worker) serve(listener net.Listener) {
	ta.mu.Lock()
	ta.born, ta.state, ta.seq = time.Now().UnixMilli(), "ready", 0
	ta.adapters, ta.loading = make(map[string]int64), make(map[string]int64)
	server := &http.Server{Handler: ta}
	ta.server = server
	mute := ta.mute
	ta.mu.Unlock()
	if !mute {
		ta.report()
	}
	go func() { _ = server.Serve(listener) }()
}

// stop ends the lifetime: all connections are reset or closed.
func (ta *worker) stop() {
	ta.mu.Lock()
	server := ta.server
	ta.mu.Unlock()
	_ = server.Close()
}

// again starts the worker at its address, with another version of its software.
func (ta *worker) again(version string) {
	ta.version, ta.empty, ta.busy = version, ta.engine, false
	for {
		listener, err := net.Listen("tcp4", ta.address)
		if err == nil {
			ta.serve(listener)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// report writes the worker's entry.
func (ta *worker) report() {
	ta.mu.Lock()
	entry := map[string]any{
		"service": ta.service, "addr": ta.address, "zone": ta.zone, "version": ta.version, "slots": 64, "state": ta.state,
		"coldLeftMs": 0, "born": ta.born, "seq": ta.seq,
	}
	if ta.engine {
		entry["stage"], entry["models"] = "colocated", ta.models()
	}
	ta.mu.Unlock()
	if ta.wo.silent.Load() {
		time.AfterFunc(1200*time.Millisecond, ta.report)
		return
	}
	must(ta.wo.store.Put("servers/"+ta.id, entry))
}

// models returns what the worker holds; the lock is held.
func (ta *worker) models() []any {
	names := []string{}
	if ta.empty {
		return []any{}
	}
	for name, version := range ta.adapters {
		names = append(names, fmt.Sprintf("%s@%d", name, version))
	}
	return []any{map[string]any{"name": model, "version": 1, "adapters": names}}
}

// ServeHTTP answers a call.
func (ta *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != ta.id {
		w.Header().Set("Instance-Id", ta.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		ta.sendReport(w)
	case "/-/order":
		ta.takeOrder(w, r)
	case "/health":
		w.Header().Set("Instance-Id", ta.id)
	default:
		ta.run(w, r)
	}
}

func (ta *worker) sendReport(w http.ResponseWriter) {
	ta.mu.Lock()
	pending := []string{}
	for name, version := range ta.loading {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", model, name, version))
	}
	text := encode(map[string]any{
		"stage": "colocated", "models": ta.models(), "busy": ta.busy, "seq": ta.seq, "queued": 0, "running": ta.running,
		"kvUsed": 0, "kvTotal": 247252, "servedModels": 1, "born": ta.born, "pendingLoads": pending,
	})
	ta.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (ta *worker) takeOrder(w http.ResponseWriter, r *http.Request) {
	var od struct {
		Op, Model, Adapter, Holder string
		Version, Fence             int64
		Expected                   *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&od); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	status := ta.carryOut(od.Op, od.Model, od.Adapter, od.Holder, od.Version, od.Fence, od.Expected)
	ta.orders = append(ta.orders, order{at: time.Now(), holder: od.Holder, fence: od.Fence, op: od.Op, from: r.RemoteAddr, status: status})
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status; the lock is held.
func (ta *worker) carryOut(op, name, adapter, holder string, version, fence int64, expected *int64) int {
	_, has := ta.adapters[adapter]
	_, loading := ta.loading[adapter]
	number, err := strconv.Atoi(strings.TrimPrefix(adapter, "a"))
	known := name == model && strings.HasPrefix(adapter, "a") && err == nil && number >= 1 && number <= 3000
	if holder != "" && fence != 0 && name == model && adapter == "" && op == "load" {
		return ta.loadModel(expected)
	}
	switch {
	case holder == "" || fence == 0 || !known:
		return http.StatusBadRequest
	case expected != nil && *expected != ta.seq, ta.empty:
		return http.StatusConflict
	case op == "load" && loading:
		return http.StatusAccepted
	case op == "load" && has:
		return http.StatusOK
	case op == "load":
		ta.seq++
		ta.loading[adapter] = max(version, 1)
		born := ta.born
		time.AfterFunc(250*time.Millisecond, func() {
			ta.mu.Lock()
			if ta.born == born {
				ta.adapters[adapter] = ta.loading[adapter]
				delete(ta.loading, adapter)
			}
			ta.mu.Unlock()
			if ta.born == born && !ta.mute {
				ta.report()
			}
		})
		return http.StatusAccepted
	default:
		if has {
			ta.seq++
			delete(ta.adapters, adapter)
		}
		return http.StatusOK
	}
}

// loadModel loads the model from the worker's disk; the lock is held.
func (ta *worker) loadModel(expected *int64) int {
	switch {
	case expected != nil && *expected != ta.seq:
		return http.StatusConflict
	case !ta.empty:
		return http.StatusOK
	case ta.busy:
		return http.StatusConflict
	}
	ta.seq++
	ta.busy = true
	born := ta.born
	time.AfterFunc(520*time.Millisecond, func() {
		ta.mu.Lock()
		same := ta.born == born
		if same {
			ta.empty, ta.busy = false, false
		}
		mute := ta.mute
		ta.mu.Unlock()
		if same && !mute {
			ta.report()
		}
	})
	return http.StatusAccepted
}

func (ta *worker) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, adapter, _ := strings.Cut(r.Header.Get("Model-Name"), "/")
	ta.mu.Lock()
	if _, has := ta.adapters[adapter]; ta.engine && (ta.empty || adapter != "" && !has) {
		ta.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ru := &run{
		id: r.Header.Get("Request-Id"), path: r.URL.Path, model: r.Header.Get("Model-Name"), tenant: r.Header.Get("Tenant-Id"),
		at: time.Now(), worker: ta.id, version: ta.version,
	}
	ta.runs = append(ta.runs, ru)
	ta.running++
	ta.mu.Unlock()
	defer func() {
		ta.mu.Lock()
		ta.running--
		ta.mu.Unlock()
	}()
	w.Header().Set("Response-Seal", "seal-of-"+ta.id)
	if ta.work != nil {
		ta.work(w, r, ru)
		return
	}
	ta.wo.record.line("%s runs %.40s", ta.id, ru.id)
	if ta.engine {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
		return
	}
	_, _ = io.WriteString(w, "done")
}

// runCount returns the number of runs.
func (ta *worker) runCount() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.runs)
}
