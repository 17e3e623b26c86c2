//go:build review2

// Package bed runs the project's program before stand-ins of the users' platform: a store, workers and requesters. All of
// them are on loopback addresses. The store is the project's own stand-in.
package bed

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagebank/emulator"
)

const (
	// Contact, DrainNotice and ConfigApply are contactMs, drainMs and configApplyMs of the site's sheet.
	Contact     = 3 * time.Second
	DrainNotice = 2 * time.Second
	ConfigApply = 2 * time.Second
	// Grace is graceS.
	Grace = 8 * time.Second
	// HeartbeatTime is heartbeatMs.
	HeartbeatTime = 1200 * time.Millisecond
	// Host and Key are those of the sample requesters.
	Host = "bed.example"
	Key  = "bed-key-1"
	// Tenant is the tenant that holds the key.
	Tenant = "tenant-1"
)

// Bed is a small installation.
type Bed struct {
	Store     *emulator.Store
	Instances []*Instance
	server    *http.Server
	address   string
	folder    string
	network   string
	record    *os.File
	recordMu  sync.Mutex
	began     time.Time

	mu      sync.Mutex
	workers map[string]*Worker
	refuse  func(*http.Request) int
}

// Refuse sets a function that returns the status with which the store refuses a call; 0 for none.
func (bd *Bed) Refuse(refuse func(*http.Request) int) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.refuse = refuse
}

func (bd *Bed) serveStore(w http.ResponseWriter, r *http.Request) {
	bd.mu.Lock()
	refuse := bd.refuse
	bd.mu.Unlock()
	if refuse != nil {
		if status := refuse(r); status != 0 {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "{}")
			return
		}
	}
	bd.Store.ServeHTTP(w, r)
}

// Instance is a machine of the system.
type Instance struct {
	bed      *Bed
	Number   int
	IP       string
	Zone     string
	settings string
	log      string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// out holds the spans in which the machine is not in touch: from an impairment to Contact after it.
	out []Span
	// Exits counts the ends of the process that the driver did not cause.
	Exits int
	told  bool
}

// Span is a span of time. A zero end means that it lasts.
type Span struct{ From, To time.Time }

// New starts the store. record is the path of the record of what was sent, answered and run.
func New(record string) (*Bed, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lovagebank-review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bd := &Bed{
		Store: emulator.NewStore(), address: listener.Addr().String(), folder: folder, record: file, began: time.Now(),
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), workers: make(map[string]*Worker),
	}
	bd.server = &http.Server{Handler: http.HandlerFunc(bd.serveStore), ReadHeaderTimeout: time.Second}
	go func() { _ = bd.server.Serve(listener) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		bd.Close()
		os.Exit(2)
	}()
	return bd, nil
}

// Record writes a line to the record.
func (bd *Bed) Record(format string, arguments ...any) {
	bd.recordMu.Lock()
	defer bd.recordMu.Unlock()
	fmt.Fprintf(bd.record, "%9.3f s  %s\n", time.Since(bd.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Say writes a line to the record and to standard output.
func (bd *Bed) Say(format string, arguments ...any) {
	bd.Record(format, arguments...)
	fmt.Printf("%9.3f s  %s\n", time.Since(bd.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close ends all processes and servers that the bed started.
func (bd *Bed) Close() {
	for _, in := range bd.Instances {
		in.mu.Lock()
		process, ended := in.process, in.ended
		in.told = true
		in.mu.Unlock()
		if process != nil {
			_ = process.Process.Signal(syscall.SIGCONT)
			_ = process.Process.Kill()
			<-ended
		}
	}
	for _, wo := range bd.Workers() {
		wo.stop()
	}
	_ = bd.server.Close()
	bd.Store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(bd.folder))
	}
	_ = os.RemoveAll(bd.folder)
	_ = bd.record.Close()
}

func freePorts(ip string, count int) ([]string, error) {
	var ports []string
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// StartInstances starts a number of machines in a number of zones, and waits until they are ready.
func (bd *Bed) StartInstances(count, zones int, extra ...string) error {
	ports, err := freePorts(bd.network+"2", 5)
	if err != nil {
		return err
	}
	var seeds []string
	for number := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%s", bd.network, number+2, ports[4]))
	}
	for number := range count {
		in := &Instance{bed: bd, Number: number, IP: bd.network + strconv.Itoa(number+2), Zone: "zone-" + strconv.Itoa(number%zones)}
		lines := []string{
			"nodeName=front-" + in.Zone + "-" + strconv.Itoa(number), "role=entry", "machineClass=front", "serves=front,control",
			"ip=" + in.IP, "zone=" + in.Zone, "region=region-0",
			"listen.front=" + in.IP + ":" + ports[0], "listen.ready=" + in.IP + ":" + ports[1], "listen.control=" + in.IP + ":" + ports[4],
			"internalPorts=" + ports[2] + "," + ports[3], "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "inTolerance=false",
			"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
			"discovery=platform", "entry=vip", "heartbeatMs=1200",
			"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
			"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.addrReuseS=2",
			"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
			"bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
			"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
			"bounds.budgetExtra=54", "bounds.quotaWindowS=8", "bounds.quotaOver=0.1", "bounds.quotaSlack=110000", "bounds.recoverS=12",
			"bounds.deliverySlackMs=120", "bounds.retryAfterS=0", "bounds.requireFence=false", "bounds.leaseMs=3000",
			"bounds.thawSlackMs=300", "bounds.ceilingWindowS=5", "bounds.ceilingOver=1.1", "bounds.version_ms=5000",
			"platform.addr=" + bd.address, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
			"platform.historyWindowS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000",
		}
		for zone := range zones {
			lines = append(lines, fmt.Sprintf("zones.zone-%d=region-0", zone))
		}
		lines = append(append(lines, extra...), "")
		in.settings = filepath.Join(bd.folder, fmt.Sprintf("node-%d.conf", number))
		in.log = filepath.Join(bd.folder, fmt.Sprintf("node-%d.log", number))
		if err := os.WriteFile(in.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			return err
		}
		bd.Instances = append(bd.Instances, in)
		if err := in.Start(); err != nil {
			return err
		}
	}
	for _, in := range bd.Instances {
		if !in.AwaitReady(20 * time.Second) {
			return fmt.Errorf("machine %d is not ready", in.Number)
		}
	}
	return nil
}

// Front returns the address for requesters.
func (in *Instance) Front() string { return in.setting("listen.front") }

func (in *Instance) setting(name string) string {
	text, _ := os.ReadFile(in.settings)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+"="); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Start starts the process, by the command of the deploy file.
func (in *Instance) Start() error {
	output, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/lovagebank", "entry")
	process.Env = append(os.Environ(), "LOVAGEBANK_SETTINGS="+in.settings)
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	in.mu.Lock()
	in.process, in.ended, in.told = process, ended, false
	now := time.Now()
	if n := len(in.out); n > 0 && in.out[n-1].To.IsZero() {
		in.out[n-1].To = now.Add(Contact)
	} else {
		in.out = append(in.out, Span{now, now.Add(Contact)})
	}
	in.mu.Unlock()
	in.bed.Record("machine %d: process %d starts", in.Number, process.Process.Pid)
	go func() {
		_ = process.Wait()
		_ = output.Close()
		in.mu.Lock()
		if !in.told {
			in.Exits++
			in.bed.Say("machine %d: its process ended by itself: %v", in.Number, process.ProcessState)
		}
		in.mu.Unlock()
		close(ended)
	}()
	return nil
}

// impaired begins a span in which the machine is not in touch; the lock is held.
func (in *Instance) impaired() {
	if n := len(in.out); n > 0 && in.out[n-1].To.IsZero() {
		return
	}
	in.out = append(in.out, Span{From: time.Now()})
}

// Healed ends such a span, Contact from now.
func (in *Instance) Healed() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if n := len(in.out); n > 0 && in.out[n-1].To.IsZero() {
		in.out[n-1].To = time.Now().Add(Contact)
	}
}

// Signal sends a signal to the process. Any but SIGCONT and SIGHUP takes the machine out of touch.
func (in *Instance) Signal(sg syscall.Signal) {
	in.mu.Lock()
	in.impaired()
	if sg == syscall.SIGTERM || sg == syscall.SIGKILL {
		in.told = true
	}
	process := in.process
	in.mu.Unlock()
	in.bed.Record("machine %d: %v", in.Number, sg)
	_ = process.Process.Signal(sg)
}

// Ended returns a channel that is closed when the process has ended.
func (in *Instance) Ended() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ended
}

// InTouch reports whether the machine was in touch at a time.
func (in *Instance) InTouch(at time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, sp := range in.out {
		if !at.Before(sp.From) && (sp.To.IsZero() || at.Before(sp.To)) {
			return false
		}
	}
	return true
}

// Term stops the process with SIGTERM, kills it after Grace, and starts it again after a short delay.
func (in *Instance) Term(delay time.Duration) error {
	in.Signal(syscall.SIGTERM)
	select {
	case <-in.Ended():
	case <-time.After(Grace):
		in.Signal(syscall.SIGKILL)
		<-in.Ended()
	}
	time.Sleep(delay)
	return in.Start()
}

// Ready reports whether the machine says that it is ready.
func (in *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Get("http://" + in.setting("listen.ready") + "/-/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// AwaitReady waits until the machine is ready.
func (in *Instance) AwaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if in.Ready() {
			return true
		}
	}
	return false
}

// Route describes a route.
type Route struct {
	Name, Prefix, Kind, Service string
	Attempts, TimeoutMs         int
	Resumable                   bool
}

// Configure writes the operator's configuration. A service of model workers is named SERVICE/MODEL.
func (bd *Bed) Configure(version int, routes []Route, services ...string) error {
	var rts, svs []any
	for _, rt := range routes {
		entry := map[string]any{
			"name": rt.Name, "host": Host, "prefix": rt.Prefix, "kind": rt.Kind, "timeoutMs": rt.TimeoutMs, "targetLatencyMs": 600,
			"priority": 0, "service": rt.Service, "attempts": rt.Attempts, "public": false, "sticky": false, "resumable": rt.Resumable,
		}
		if rt.Kind == "stream" {
			entry["targetGapMs"] = 500
		}
		rts = append(rts, entry)
	}
	for _, name := range services {
		name, model, _ := strings.Cut(name, "/")
		service := map[string]any{"name": name, "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tls": false}
		if model != "" {
			service["engine"] = map[string]any{
				"slots": 24, "kvCacheTokens": 207140, "weightsMb": 75000.0, "adapterSlots": 12, "loadsPerS": 6.2,
				"models": []any{map[string]any{"name": model, "weightsMb": 72700.0, "loadS": 2.1, "adapters": 3000, "adapterMb": 66.0}},
			}
		}
		svs = append(svs, service)
	}
	return bd.Store.Put("op/config", map[string]any{
		"version": version, "routes": rts, "services": svs,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": Tenant, "apiKeys": []string{Key}, "priority": 1, "billingUnit": "tokens", "uncachedTokens": 200, "ratePerS": 0, "burst": 0,
		}},
	})
}

// Worker is a worker of a service without models.
type Worker struct {
	bed     *Bed
	ID      string
	Service string
	Zone    string
	Version string
	Slots   int
	// Run answers a request that the worker has begun to run. If it returns false, the worker crashes.
	Run func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// Model is the base model that a model worker holds from its start; empty for a worker of another service. It has no
	// adapters, and takes no orders.
	Model string
	// Reject decides whether a request is turned away, with the seconds of Retry-After, below 0 for none; 0 for no. Nil turns none
	// away.
	Reject func(r *http.Request) float64
	// Head adds header fields to all answers; nil for none.
	Head func(http.Header)

	mu      sync.Mutex
	server  *http.Server
	address string
	born    int64
	state   string
	beat    int64
	running int
	up      bool
	silent  bool
}

// Away is how long a worker that has crashed is away.
const Away = 1500 * time.Millisecond

// AddWorker starts a worker and registers it.
func (bd *Bed) AddWorker(wo *Worker) error {
	wo.bed, wo.state = bd, "ready"
	bd.mu.Lock()
	bd.workers[wo.ID] = wo
	bd.mu.Unlock()
	if err := wo.start(); err != nil {
		return err
	}
	go func() {
		for {
			time.Sleep(HeartbeatTime)
			wo.mu.Lock()
			silent := wo.silent
			wo.mu.Unlock()
			if !silent {
				wo.Register()
			}
		}
	}()
	return nil
}

// Workers returns all workers.
func (bd *Bed) Workers() []*Worker {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	var workers []*Worker
	for _, wo := range bd.workers {
		workers = append(workers, wo)
	}
	return workers
}

func (wo *Worker) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: wo, IdleTimeout: 5 * time.Second}
	wo.mu.Lock()
	wo.server, wo.address, wo.born, wo.up, wo.running = server, listener.Addr().String(), time.Now().UnixMilli(), true, 0
	wo.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	wo.Register()
	return nil
}

// Register writes the worker's entry, as its status report does.
func (wo *Worker) Register() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if !wo.up {
		return
	}
	wo.beat++
	entry := map[string]any{
		"service": wo.Service, "addr": wo.address, "zone": wo.Zone, "version": wo.Version, "slots": wo.Slots, "state": wo.state,
		"coldLeftMs": 0, "seq": 0, "born": wo.born,
	}
	if wo.Model != "" {
		entry["stage"], entry["models"] = "colocated", wo.models()
	}
	_ = wo.bed.Store.Put("servers/"+wo.ID, entry)
}

func (wo *Worker) models() []any {
	return []any{map[string]any{"name": wo.Model, "version": 1, "adapters": []string{}}}
}

// engineCalls answers the calls of a model worker's own interface; false for other requests.
func (wo *Worker) engineCalls(w http.ResponseWriter, r *http.Request) bool {
	if wo.Model == "" || !strings.HasPrefix(r.URL.Path, "/-/") {
		return false
	}
	if r.URL.Path != "/-/report" {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	wo.mu.Lock()
	report := map[string]any{
		"stage": "colocated", "models": wo.models(), "busy": false, "seq": 0, "queued": max(wo.running-wo.Slots, 0),
		"running": min(wo.running, wo.Slots), "kvUsed": 1000 * min(wo.running, wo.Slots), "kvTotal": 207140, "servedModels": 0, "born": wo.born,
	}
	wo.mu.Unlock()
	text, _ := json.Marshal(report)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
	return true
}

// CutFromStore partitions the worker from the store for a time: its status reports do not arrive, and its entry is removed
// after three intervals of silence, and is back after the cut. The worker goes on serving.
func (wo *Worker) CutFromStore(length time.Duration) {
	wo.mu.Lock()
	wo.up, wo.silent = false, true
	wo.mu.Unlock()
	time.AfterFunc(3*HeartbeatTime, func() {
		wo.bed.Say("the entry of worker %s is removed, after three intervals of silence", wo.ID)
		wo.bed.Store.Remove("servers/" + wo.ID)
	})
	time.AfterFunc(length, func() {
		wo.mu.Lock()
		wo.up, wo.silent = true, false
		wo.mu.Unlock()
		wo.Register()
		wo.bed.Say("the entry of worker %s is back, of the same start", wo.ID)
	})
}

// Deregister ends the worker's status reports and removes its entry. The worker goes on serving.
func (wo *Worker) Deregister() {
	wo.mu.Lock()
	wo.silent, wo.up = true, false
	wo.mu.Unlock()
	wo.bed.Store.Remove("servers/" + wo.ID)
}

func (wo *Worker) stop() {
	wo.mu.Lock()
	server := wo.server
	wo.up = false
	wo.mu.Unlock()
	_ = server.Close()
}

// Crash ends the worker; it is back after Away under its ID, at another address.
func (wo *Worker) Crash() {
	wo.mu.Lock()
	up := wo.up
	wo.mu.Unlock()
	if !up {
		return
	}
	wo.stop()
	time.AfterFunc(Away, func() { _ = wo.start() })
}

// ServeHTTP answers a request.
func (wo *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Keep-Alive", "timeout=5")
	if wo.Head != nil {
		wo.Head(header)
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != wo.ID {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", wo.ID)
		w.WriteHeader(http.StatusOK)
		return
	}
	if wo.engineCalls(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	wo.mu.Lock()
	full := wo.running >= 4*wo.Slots
	if !full {
		wo.running++
	}
	load := fmt.Sprintf("%d,%d,%d", min(wo.running, wo.Slots), max(wo.running-wo.Slots, 0), wo.Slots)
	wo.mu.Unlock()
	header.Set("Instance-Load", load)
	if full {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		wo.mu.Lock()
		wo.running--
		wo.mu.Unlock()
	}()
	if wo.Reject != nil {
		if seconds := wo.Reject(r); seconds != 0 {
			header.Set("Not-Executed", "1")
			if seconds > 0 {
				header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 1, 64))
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	header.Set("Response-Seal", "seal-"+strconv.Itoa(len(body)))
	if !wo.Run(w, r, body) {
		wo.Crash()
		panic(http.ErrAbortHandler)
	}
}
