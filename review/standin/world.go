//go:build review

// Command standin plays the cases of the review that are scripts: a store, workers and requesters on loopback addresses around real
// processes of the entry instance.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagebank/emulator"
)

const (
	host   = "ficu95.example"
	apiKey = "i9n73hh2b9wu3fexd9dn"
	// memoryMB is the memory limit of a machine, as in the settings of the deploy page.
	memoryMB = 284
)

// world is a small deployment: the store, workers and entry instances.
type world struct {
	folder  string
	block   string
	store   *emulator.Store
	gate    *watchGate
	address string
	// views are the addresses of the store for the machines of single zones; the others use address.
	views   map[string]string
	entries []*entry
	record  *record
	closers []func()
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (re *record) line(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.file, "%8.3f "+format+"\n", append([]any{time.Since(re.began).Seconds()}, args...)...)
}

// watchGate passes calls to the store. It can cut the watches that are waiting: their connections end without an answer.
type watchGate struct {
	next http.Handler
	mu   sync.Mutex
	cut  chan struct{}
	cuts int
	// refuse answers a call itself if it returns true.
	refuse func(w http.ResponseWriter, r *http.Request) bool
}

func (wg *watchGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wg.refuse != nil && wg.refuse(w, r) {
		return
	}
	if r.URL.Path != "/-/kv-watch" {
		wg.next.ServeHTTP(w, r)
		return
	}
	wg.mu.Lock()
	cut := wg.cut
	wg.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer, done := httptest.NewRecorder(), make(chan struct{})
	short := time.After(headDelay)
	go func() {
		defer close(done)
		wg.next.ServeHTTP(answer, r.WithContext(ctx))
	}()
	// A watch that waits has the head of its answer at once, and the body when there are events or the wait ends.
	headSent := false
	select {
	case <-done:
	case <-short:
		headSent = true
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	select {
	case <-done:
		if !headSent {
			for name, values := range answer.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(answer.Code)
		}
		_, _ = w.Write(answer.Body.Bytes())
	case <-cut:
		wg.mu.Lock()
		wg.cuts++
		wg.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// headDelay is how long the store takes to find that it has no event to answer a watch with.
const headDelay = 30 * time.Millisecond

// cutAll cuts all watches that are waiting, and returns how many have been cut so far.
func (wg *watchGate) cutAll() int {
	wg.mu.Lock()
	defer wg.mu.Unlock()
	close(wg.cut)
	wg.cut = make(chan struct{})
	return wg.cuts
}

func newWorld(folder string, re *record) (*world, error) {
	wo := &world{
		folder: folder, record: re, store: emulator.NewStore(),
		block: fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), 1+rand.IntN(250)),
	}
	wo.gate = &watchGate{next: wo.store, cut: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wo.address = listener.Addr().String()
	server := &http.Server{Handler: wo.gate}
	go func() { _ = server.Serve(listener) }()
	wo.closers = append(wo.closers, func() { _ = server.Close() }, wo.store.Close)
	return wo, nil
}

// close ends all processes and servers of the world.
func (wo *world) close() {
	for _, en := range wo.entries {
		en.kill()
	}
	for at := len(wo.closers) - 1; at >= 0; at-- {
		wo.closers[at]()
	}
}

// entry is a process of the entry instance.
type entry struct {
	name    string
	ip      string
	front   string
	ready   string
	path    string
	log     string
	process *exec.Cmd
	exited  chan struct{}
}

func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addEntries starts instances, the given number in each zone, and waits until all are ready.
func (wo *world) addEntries(zones map[string]int, zoneNames ...string) error {
	var control []string
	for _, zone := range zoneNames {
		for range zones[zone] {
			en, err := wo.newEntry(zone, len(wo.entries)+1)
			if err != nil {
				return err
			}
			wo.entries = append(wo.entries, en)
		}
	}
	for _, en := range wo.entries {
		text, err := os.ReadFile(en.path)
		if err != nil {
			return err
		}
		for _, line := range strings.Split(string(text), "\n") {
			if address, ok := strings.CutPrefix(line, "listen.control="); ok && len(control) < 3 {
				control = append(control, address)
			}
		}
	}
	for _, en := range wo.entries {
		file, err := os.OpenFile(en.path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		fmt.Fprintf(file, "seeds=%s\n", strings.Join(control, ","))
		_ = file.Close()
		if err := en.start(); err != nil {
			return err
		}
	}
	for _, en := range wo.entries {
		if err := en.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (wo *world) newEntry(zone string, number int) (*entry, error) {
	ip := fmt.Sprintf("%s.%d", wo.block, number)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	en := &entry{
		name: fmt.Sprintf("front-%s-%d", zone, number), ip: ip,
		front: net.JoinHostPort(ip, strconv.Itoa(ports[0])), ready: net.JoinHostPort(ip, strconv.Itoa(ports[1])),
		path: filepath.Join(wo.folder, fmt.Sprintf("node-%d.conf", number)), log: filepath.Join(wo.folder, fmt.Sprintf("node-%d.log", number)),
	}
	store := wo.address
	if view, ok := wo.views[zone]; ok {
		store = view
	}
	settings := fmt.Sprintf(`nodeName=%s
role=entry
machineClass=front
serves=front,control
ip=%s
zone=%s
region=gt-central
zones.gt-central-a=gt-central
zones.gt-central-b=gt-central
zones.gt-central-c=gt-central
listen.front=%s
listen.ready=%s
listen.control=%s
internalPorts=%d,%d
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtra=56
bounds.quotaWindowS=8
bounds.quotaOver=0.1
bounds.quotaSlack=110000
bounds.recoverS=12
bounds.deliverySlackMs=120
bounds.retryAfterS=0
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.ceilingWindowS=5
bounds.ceilingOver=1.1
bounds.version_ms=5000
platform.addr=%s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyWindowS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
`, en.name, ip, zone, en.front, en.ready, net.JoinHostPort(ip, strconv.Itoa(ports[2])), ports[3], ports[3], memoryMB, store)
	return en, os.WriteFile(en.path, []byte(settings), 0o600)
}

// start starts the process with the command of the deploy file; the settings' path is in its environment.
func (en *entry) start() error {
	output, err := os.OpenFile(en.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	en.process = exec.Command("target/lovagebank", "entry")
	en.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LOVAGEBANK_SETTINGS=" + en.path}
	en.process.Stdout, en.process.Stderr = output, output
	en.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := en.process.Start(); err != nil {
		return err
	}
	process, exited := en.process, make(chan struct{})
	en.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (en *entry) kill() {
	if en.process == nil || en.process.Process == nil {
		return
	}
	_ = en.process.Process.Kill()
	<-en.exited
}

func (en *entry) awaitReady(most time.Duration) error {
	until := time.Now().Add(most)
	for time.Now().Before(until) {
		if en.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %s", en.name, most)
}

func (en *entry) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Get("http://" + en.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// residentBytes returns the resident memory of the process, as the kernel reports it.
func (en *entry) residentBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", en.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// configure writes a configuration with an application route of each kind and a resumable and a plain stream route.
func (wo *world) configure(version int) error {
	route := func(name, prefix, kind, service string, timeout, objective, attempts int, resumable bool) map[string]any {
		ro := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": objective, "priority": 0,
			"service": service, "attempts": attempts, "public": false, "sticky": kind == "stream", "resumable": resumable,
		}
		if kind == "stream" {
			ro["targetGapMs"] = 400
		}
		return ro
	}
	return wo.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("queued", "/queued/", "stream", "asesor", 6000, 1000, 2, true),
			route("ask", "/ask/", "stream", "asesor", 5000, 600, 1, false),
			route("order", "/order/", "unsafe", "bodega", 3000, 300, 1, false),
			route("check", "/check/", "safe", "bodega", 3000, 300, 2, false),
		},
		"services": []any{
			map[string]any{"name": "bodega", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "asesor", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 247252, "weightsMb": 75300.0, "adapterSlots": 17, "loadsPerS": 7.6,
				"models": []any{map[string]any{"name": "base", "weightsMb": 72700.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 66.0}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "billingUnit": "tokens", "uncachedTokens": 200,
			"ratePerS": 127343, "burst": 127343,
		}},
	})
}
