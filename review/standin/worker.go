//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is an application or a model engine that holds the base model.
type worker struct {
	id      string
	service string
	zone    string
	slots   int
	// dealer is sent as the header X-Dealer of each answer; empty for none.
	dealer string
	// queue is how many requests may wait beside those that run.
	queue  int
	engine bool
	born   int64
	// work is how long an application's request runs.
	work time.Duration
	// stream is how long a stream lasts after its first event.
	stream  time.Duration
	world   *world
	server  *http.Server
	address string
	running atomic.Int64
	leaving atomic.Bool

	mu   sync.Mutex
	runs []run
}

// run is a request that the worker has begun to run.
type run struct {
	id    string
	at    time.Time
	ended string
}

func (wo *world) addWorker(id, service, zone string, slots int, engine bool, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &worker{
		id: id, service: service, zone: zone, slots: slots, engine: engine, work: work, world: wo, address: listener.Addr().String(),
		born: time.Now().UnixMilli(),
	}
	wk.server = &http.Server{Handler: wk}
	go func() { _ = wk.server.Serve(listener) }()
	wo.closers = append(wo.closers, func() { _ = wk.server.Close() })
	return wk, wk.register("ready")
}

// register writes the worker's entry.
func (wk *worker) register(state string) error {
	entry := map[string]any{
		"service": wk.service, "addr": wk.address, "zone": wk.zone, "version": "v1", "slots": wk.slots, "state": state, "coldLeftMs": 0,
		"seq": 1, "born": wk.born,
	}
	if wk.engine {
		entry["stage"], entry["models"] = "colocated", []any{map[string]any{"name": "base", "version": 1, "adapters": []string{}}}
	}
	return wk.world.store.Put("servers/"+wk.id, entry)
}

func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != wk.id {
		header.Set("Instance-Id", wk.id)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("Instance-Load", fmt.Sprintf("%d,0,%d", wk.running.Load(), wk.slots))
	if wk.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	switch r.URL.Path {
	case "/health":
		header.Set("Instance-Id", wk.id)
		return
	case "/-/report":
		header.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": "base", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
			"queued": 0, "running": wk.running.Load(), "kvUsed": 0, "kvTotal": 247252, "servedModels": 0,
		})
		return
	case "/-/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if int(wk.running.Add(1)) > wk.slots+wk.queue {
		wk.running.Add(-1)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer wk.running.Add(-1)
	at := wk.begin(id)
	header.Set("Response-Seal", "seal-"+strconv.Itoa(at))
	if wk.dealer != "" {
		header.Set("X-Dealer", wk.dealer)
	}
	if wk.engine {
		header.Set("Weight-Versions", "1")
		header.Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		if wk.stream > 0 {
			wk.sendEvents(w, r)
		}
		wk.end(at, "whole")
		return
	}
	select {
	case <-time.After(wk.work):
		wk.end(at, "whole")
		_, _ = io.WriteString(w, "answer")
	case <-r.Context().Done():
		wk.end(at, "cut off")
	}
}

// sendEvents sends the other events of a stream, at even intervals.
func (wk *worker) sendEvents(w http.ResponseWriter, r *http.Request) {
	const events = 14
	for number := 2; number <= events; number++ {
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(wk.stream / (events - 1)):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", number)
	}
}

func (wk *worker) begin(id string) int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.runs = append(wk.runs, run{id: id, at: time.Now(), ended: "running"})
	return len(wk.runs) - 1
}

func (wk *worker) end(at int, how string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.runs[at].ended = how
}

func (wk *worker) all() []run {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]run(nil), wk.runs...)
}

// exit ends the worker at once, with whatever it is running.
func (wk *worker) exit() { _ = wk.server.Close() }
