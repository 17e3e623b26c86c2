//go:build review

// Command driver runs the scripts of the review: a small deployment of the entry program with stand-ins for the platform, the workers
// and the requesters, all on loopback addresses.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lovagebank/emulator"
)

const (
	host = "sample.example"
	key  = "sample-key"
)

// errCannotRun means that the case could not be set up.
var errCannotRun = errors.New("the case could not run")

// lab is a small deployment.
type lab struct {
	dir     string
	began   time.Time
	store   *emulator.Store
	storeAt string
	servers []*http.Server
	// network is the second byte of the instances' addresses, and claim what holds it.
	network int
	claim   net.Listener

	mu        sync.Mutex
	record    *bufio.Writer
	instances []*instance
	seeds     []string
	runs      map[string][]string
	// arrivals holds when requests reached a worker, and workers the newest worker of each ID.
	arrivals map[string]map[string]time.Time
	workers  map[string]*worker
}

// newLab starts a store.
func newLab(record io.Writer) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	la := &lab{
		dir: dir, began: time.Now(), store: emulator.NewStore(), record: bufio.NewWriter(record), runs: make(map[string][]string),
		arrivals: make(map[string]map[string]time.Time), workers: make(map[string]*worker),
	}
	if err := la.claimNetwork(); err != nil {
		return nil, err
	}
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	la.storeAt = li.Addr().String()
	la.serve(li, la.store)
	return la, nil
}

// claimNetwork takes the first free network of the loopback range: 127.1 to 127.254. A listener marks it as taken, as for the project's own fleets.
func (la *lab) claimNetwork() error {
	for number := 1; number <= 254; number++ {
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:1025", number))
		if err == nil {
			la.network, la.claim = number, claim
			return nil
		}
	}
	return fmt.Errorf("%w: no loopback network is free", errCannotRun)
}

func (la *lab) serve(li net.Listener, handler http.Handler) *http.Server {
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	la.mu.Lock()
	la.servers = append(la.servers, hs)
	la.mu.Unlock()
	go func() { _ = hs.Serve(li) }()
	return hs
}

// log writes a line to the record, with the time since the start.
func (la *lab) log(format string, args ...any) {
	la.mu.Lock()
	defer la.mu.Unlock()
	fmt.Fprintf(la.record, "%8.3f s  %s\n", time.Since(la.began).Seconds(), fmt.Sprintf(format, args...))
}

// shortID is the part of an ID that identifies a request in the record.
const shortID = 16

// logReply writes what was sent, answered and run.
func (la *lab) logReply(in *instance, id string, re reply) {
	id = id[:min(len(id), shortID)]
	la.mu.Lock()
	ran := strings.Join(la.runs[id], ",")
	la.mu.Unlock()
	problem := ""
	if re.err != nil {
		problem = ", " + re.err.Error()
	}
	la.log("request %s to %s: status %d, %d bytes after %d ms%s; run by [%s]", id, in.name, re.status, len(re.body), re.took.Milliseconds(), problem, ran)
}

// ran records that a worker has begun to run a request.
func (la *lab) ran(worker, id string) {
	la.mu.Lock()
	defer la.mu.Unlock()
	id = id[:min(len(id), shortID)]
	la.runs[id] = append(la.runs[id], worker)
	if la.arrivals[worker] == nil {
		la.arrivals[worker] = make(map[string]time.Time)
	}
	la.arrivals[worker][id] = time.Now()
}

// close ends all processes and servers.
func (la *lab) close() {
	for _, in := range la.instances {
		in.kill()
	}
	la.mu.Lock()
	servers := la.servers
	la.mu.Unlock()
	for _, hs := range servers {
		_ = hs.Close()
	}
	la.store.Close()
	_ = la.claim.Close()
	la.mu.Lock()
	_ = la.record.Flush()
	la.mu.Unlock()
	_ = os.RemoveAll(la.dir)
}

// instance is a process of the entry program.
type instance struct {
	la                 *lab
	number             int
	name, ip, zone     string
	front, ready, peer string
	settings           string
	process            *exec.Cmd
	ended              chan struct{}
	endedByItself      atomic.Bool
	killed             atomic.Bool
	exit               string
}

// addInstance writes the settings of an instance, those of the machines of the small deployments, with changes.
func (la *lab) addInstance(zone string, changes map[string]string) (*instance, error) {
	number := len(la.instances)
	in := &instance{la: la, number: number, name: "front-" + strconv.Itoa(number), zone: zone}
	in.ip = fmt.Sprintf("127.%d.1.%d", la.network, 1+number)
	ports := make([]string, 0, 4)
	var held []net.Listener
	for range 4 {
		li, err := net.Listen("tcp4", in.ip+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, li)
		_, port, _ := net.SplitHostPort(li.Addr().String())
		ports = append(ports, port)
	}
	for _, li := range held {
		_ = li.Close()
	}
	in.front, in.ready, in.peer = in.ip+":"+ports[0], in.ip+":"+ports[1], in.ip+":"+ports[2]
	la.seeds = append(la.seeds, in.ip+":"+ports[3])
	values := map[string]string{
		"nodeName": in.name, "role": "entry", "machineClass": "front", "serves": "front,control", "ip": in.ip, "zone": zone,
		"region": "region-a", "zones.zone-a": "region-a", "zones.zone-b": "region-a", "zones.zone-c": "region-a",
		"listen.front": in.front, "listen.ready": in.ready, "listen.control": in.ip + ":" + ports[3],
		"internalPorts": ports[2] + "," + ports[2], "seeds": strings.Join(la.seeds[:min(len(la.seeds), 3)], ","),
		"bootstrap": "false", "limits.cpuShare": "0.4", "limits.cores": "1", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"limits.linkMbps": "1000.0", "limits.diskMb": "0", "discovery": "platform", "entry": "vip", "heartbeatMs": "1200",
		"contracts":        "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"bounds.contactMs": "3000", "bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.configApplyMs": "2000",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetExtra": "56", "bounds.quotaWindowS": "8",
		"bounds.quotaOver": "0.1", "bounds.quotaSlack": "110000", "bounds.requireFence": "false", "bounds.leaseMs": "3000",
		"platform.addr": la.storeAt, "platform.form": "kv",
	}
	for name, value := range changes {
		values[name] = value
	}
	var text strings.Builder
	for name, value := range values {
		text.WriteString(name + "=" + value + "\n")
	}
	in.settings = filepath.Join(la.dir, in.name+".conf")
	if err := os.WriteFile(in.settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	la.instances = append(la.instances, in)
	return in, nil
}

// start starts the process with the command of the deploy file.
func (in *instance) start() error {
	output, err := os.OpenFile(in.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.process = exec.Command("target/lovagebank", "entry")
	in.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + in.la.dir, "LOVAGEBANK_SETTINGS=" + in.settings}
	in.process.Stdout, in.process.Stderr = output, output
	if err := in.process.Start(); err != nil {
		return err
	}
	in.ended = make(chan struct{})
	in.killed.Store(false)
	process, ended := in.process, in.ended
	in.la.log("start %s at %s, process %d", in.name, in.front, process.Process.Pid)
	go func() {
		err := process.Wait()
		_ = output.Close()
		if !in.killed.Load() {
			in.endedByItself.Store(true)
			in.la.log("%s has ended by itself: %v", in.name, err)
		}
		close(ended)
	}()
	return nil
}

func (in *instance) kill() {
	if in.process == nil || in.process.Process == nil {
		return
	}
	in.killed.Store(true)
	_ = in.process.Process.Kill()
	<-in.ended
}

// isReady asks the readiness path.
func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Get("http://" + in.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all started instances are ready.
func (la *lab) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, in := range la.instances {
			all = all && in.isReady()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("%w: the instances were not ready", errCannotRun)
}

// memoryMB returns the resident memory of the process now, and its peak, in MB of a million bytes.
func (in *instance) memoryMB() (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kib * 1024 / 1e6
		case "VmHWM:":
			peak = kib * 1024 / 1e6
		}
	}
	return now, peak
}

// worker is a stand-in of a worker.
type worker struct {
	la                      *lab
	id, service, zone, soft string
	address                 string
	engine                  bool
	born                    int64
	slots                   int
	running, waiting        atomic.Int64
	// room holds the requests that run.
	room                      chan struct{}
	trouble, stopped, leaving atomic.Bool
	// answer writes the answer of a request that runs; nil for a short body.
	answer func(wo *worker, w http.ResponseWriter, r *http.Request)
	server *http.Server

	// seq counts the orders accepted; adapters are those that the engine holds and pending those that it loads.
	seqMu    sync.Mutex
	seq      int64
	adapters map[string]bool
	pending  map[string]bool
	inUse    map[string]int
}

// workerQueue is the number of requests that wait at a worker for room.
const workerQueue = 192

// adapterLoadTime and adapterSlots are those of the small deployments' engines.
const (
	adapterLoadTime = 250 * time.Millisecond
	adapterSlots    = 17
)

// order carries out an order for an adapter as the pages say.
func (wo *worker) order(r *http.Request) int {
	var od struct {
		Op, Model, Adapter, Holder string
		Expected, Fence            int64
	}
	if err := json.NewDecoder(r.Body).Decode(&od); err != nil || od.Holder == "" {
		return http.StatusBadRequest
	}
	wo.la.log("order to %s from %s: %s %s/%s, expected %d, fence %d", wo.id, od.Holder, od.Op, od.Model, od.Adapter, od.Expected, od.Fence)
	wo.seqMu.Lock()
	defer wo.seqMu.Unlock()
	load := od.Op == "load"
	switch {
	case od.Adapter == "" || load && wo.adapters[od.Adapter] || !load && !wo.adapters[od.Adapter]:
		return http.StatusOK
	case load && wo.pending[od.Adapter]:
		return http.StatusAccepted
	case od.Expected != wo.seq || !load && wo.inUse[od.Adapter] > 0 || load && len(wo.adapters)+len(wo.pending) >= adapterSlots:
		return http.StatusConflict
	}
	wo.seq++
	if !load {
		delete(wo.adapters, od.Adapter)
		go wo.register("ready")
		return http.StatusOK
	}
	wo.pending[od.Adapter] = true
	time.AfterFunc(adapterLoadTime, func() {
		wo.seqMu.Lock()
		delete(wo.pending, od.Adapter)
		wo.adapters[od.Adapter] = true
		wo.seqMu.Unlock()
		wo.register("ready")
	})
	return http.StatusAccepted
}

// register writes the worker's entry, unless it has stopped.
func (wo *worker) register(state string) {
	if wo.stopped.Load() {
		return
	}
	_ = wo.la.store.Put("servers/"+wo.id, wo.entry(state))
}

// begin reports whether the engine holds the adapter, and counts a request on it until end.
func (wo *worker) begin(adapter string) bool {
	wo.seqMu.Lock()
	defer wo.seqMu.Unlock()
	if adapter != "" && !wo.adapters[adapter] {
		return false
	}
	wo.inUse[adapter]++
	return true
}

func (wo *worker) end(adapter string) {
	wo.seqMu.Lock()
	defer wo.seqMu.Unlock()
	wo.inUse[adapter]--
}

// worker returns the newest worker with an ID.
func (la *lab) worker(id string) *worker {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.workers[id]
}

// arrivalsAt returns when requests have reached a worker.
func (la *lab) arrivalsAt(worker string) map[string]time.Time {
	la.mu.Lock()
	defer la.mu.Unlock()
	return maps.Clone(la.arrivals[worker])
}

// newWorker returns a worker that holds no adapters.
func newWorker(la *lab) *worker {
	return &worker{
		la: la, soft: "v1", born: time.Now().UnixMilli(), adapters: make(map[string]bool), pending: make(map[string]bool), inUse: make(map[string]int),
	}
}

// addWorker starts a worker with the first version of its software and registers it.
func (la *lab) addWorker(id, service, zone string, engine bool, slots int, answer func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	return la.addWorkerOf("v1", id, service, zone, engine, slots, answer)
}

// addWorkerOf starts a worker with a version of its software and registers it.
func (la *lab) addWorkerOf(
	software, id, service, zone string, engine bool, slots int, answer func(*worker, http.ResponseWriter, *http.Request),
) (*worker, error) {
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wo := newWorker(la)
	wo.soft = software
	wo.id, wo.service, wo.zone, wo.address, wo.engine, wo.slots, wo.answer = id, service, zone, li.Addr().String(), engine, slots, answer
	wo.room = make(chan struct{}, slots)
	wo.server = la.serve(li, wo)
	la.mu.Lock()
	la.workers[id] = wo
	la.mu.Unlock()
	return wo, la.store.Put("servers/"+id, wo.entry("ready"))
}

func (wo *worker) models() []any {
	if !wo.engine {
		return []any{}
	}
	wo.seqMu.Lock()
	defer wo.seqMu.Unlock()
	held := []string{}
	for name := range wo.adapters {
		held = append(held, name+"@1")
	}
	return []any{map[string]any{"name": "m0", "version": 1, "adapters": held}}
}

func (wo *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": wo.service, "addr": wo.address, "zone": wo.zone, "version": wo.soft, "slots": wo.slots, "state": state,
		"coldLeftMs": 0, "seq": 0, "born": wo.born, "models": wo.models(),
	}
}

// ServeHTTP answers as the pages say.
func (wo *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Instance-Id", wo.id)
	if wo.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != wo.id {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		models := wo.models()
		wo.seqMu.Lock()
		seq, loads := wo.seq, []string{}
		for name := range wo.pending {
			loads = append(loads, "m0/"+name+"@1")
		}
		wo.seqMu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": models, "busy": false, "seq": seq, "queued": 0, "running": wo.running.Load(),
			"kvUsed": 0, "kvTotal": 240000, "servedModels": 0, "born": wo.born, "pendingLoads": loads,
		})
		return
	case "/-/order":
		w.WriteHeader(wo.order(r))
		return
	case "/health":
		w.WriteHeader(http.StatusOK)
		return
	}
	if r.Header.Get("Request-Id") == "" {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, adapter, _ := strings.Cut(r.Header.Get("Model-Name"), "/")
	if !wo.begin(adapter) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer wo.end(adapter)
	if waiting := wo.waiting.Add(1); waiting > workerQueue {
		wo.waiting.Add(-1)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case wo.room <- struct{}{}:
		wo.waiting.Add(-1)
	case <-r.Context().Done():
		wo.waiting.Add(-1)
		return
	}
	defer func() { <-wo.room }()
	running := wo.running.Add(1)
	defer wo.running.Add(-1)
	wo.la.ran(wo.id, r.Header.Get("Request-Id"))
	header.Set("Instance-Load", fmt.Sprintf("%d,0,%d", running, wo.slots))
	header.Set("Response-Seal", "seal-"+r.Header.Get("Request-Id"))
	if wo.answer != nil {
		wo.answer(wo, w, r)
		return
	}
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Request-Id"))
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 600, "priority": 0,
		"service": service, "attempts": attempts, "resumable": resumable, "sticky": kind == "stream", "targetGapMs": 400,
	}
}

// configure writes a configuration.
func (la *lab) configure(version int, routes ...any) error {
	return la.store.Put("op/config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "bodega", "healthPath": "/health", "maxConns": 110},
			map[string]any{"name": "asesor", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 247252, "adapterSlots": 17, "weightsMb": 75000.0, "loadsPerS": 7.6,
				"models": []any{map[string]any{"name": "m0", "weightsMb": 72700.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 66.0}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "sample", "apiKeys": []string{key}, "billingUnit": "tokens", "uncachedTokens": 200, "ratePerS": 1e6, "burst": 1e6,
		}},
	})
}

// reply is what a requester got.
type reply struct {
	status int
	body   string
	seal   string
	err    error
	took   time.Duration
}

// send sends a request on a connection of its own.
func send(address, method, path, id string, deadline time.Duration, header http.Header, body string) reply {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	rq.Host = host
	for name, values := range header {
		rq.Header[name] = values
	}
	rq.Header.Set("Request-Id", id)
	rq.Header.Set("X-Api-Key", key)
	rq.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	rs, err := transport.RoundTrip(rq)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	return reply{status: rs.StatusCode, body: string(text), seal: rs.Header.Get("Response-Seal"), err: err, took: time.Since(began)}
}
