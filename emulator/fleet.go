package emulator

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Host is the host of all routes.
	Host = "sample.example"
	// Key is the key of the sample organisation.
	Key = "sample-key"
	// defaultEngines, defaultApplications and defaultZones are the sizes of the sample deployment.
	defaultEngines      = 4
	defaultApplications = 2
	defaultZones        = 2
	// readyPatience bounds the wait for an instance to become ready.
	readyPatience = 30 * time.Second
	readyStep     = 50 * time.Millisecond
)

// Fleet is a store, targets and entry instances as processes of their own.
type Fleet struct {
	op      Options
	network *network
	store   *Store
	server  *http.Server
	address string
	ledger  *RunLog
	entries map[string]*Instance

	mu      sync.Mutex
	targets map[string]*Target

	// seeds are the control addresses of the instances started so far.
	seeds []string
}

// AddressOverride gives the address to use in place of one that a link goes to, such as that of a proxy. A link's name is
// "store/IP" for an instance's way to the store and "target/ID" for the way to a target.
type AddressOverride func(link, address string) (string, error)

// Instance is an entry instance.
type Instance struct {
	process *exec.Cmd
	ended   chan error
	callers string
	ready   string
	run     func() error
}

// Options set a Fleet up.
type Options struct {
	// Program is the built lovagebank, and Folder takes settings and logs.
	Program string
	Folder  string
	// AddressOverride leads links over other addresses; nil for none.
	AddressOverride AddressOverride
	// Engines, Applications and Zones are the deployment's sizes; 0 for the defaults.
	Engines      int
	Applications int
	Zones        int
	// Plain is a deployment without organisations and keys, whose targets tell neither load nor health.
	Plain bool
}

func (op Options) withDefaults() Options {
	if op.AddressOverride == nil {
		op.AddressOverride = func(_, address string) (string, error) { return address, nil }
	}
	for _, size := range []struct {
		value    *int
		fallback int
	}{{&op.Engines, defaultEngines}, {&op.Applications, defaultApplications}, {&op.Zones, defaultZones}} {
		if *size.value == 0 {
			*size.value = size.fallback
		}
	}
	return op
}

// NewFleet starts a store and targets.
func NewFleet(op Options) (*Fleet, error) {
	ne, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		ne.release()
		return nil, err
	}
	fl := &Fleet{
		op: op.withDefaults(), network: ne, store: NewStore(), address: listener.Addr().String(), ledger: &RunLog{},
		targets: make(map[string]*Target), entries: make(map[string]*Instance),
	}
	fl.server = &http.Server{Handler: fl.store, ReadHeaderTimeout: time.Second}
	go func() { _ = fl.server.Serve(listener) }()
	for number := range fl.op.Engines {
		if err := fl.AddTarget("engine-"+strconv.Itoa(number), "engines", true, fl.zone(number)); err != nil {
			return nil, err
		}
	}
	for number := range fl.op.Applications {
		if err := fl.AddTarget("application-"+strconv.Itoa(number), "applications", false, fl.zone(number)); err != nil {
			return nil, err
		}
	}
	return fl, fl.Configure(1, Key)
}

func (fl *Fleet) zone(number int) string { return "zone-" + strconv.Itoa(number%fl.op.Zones) }

// AddTarget starts a target and registers it.
func (fl *Fleet) AddTarget(id, service string, engine bool, zone string) error {
	ta, err := newTarget(id, service, engine, fl.ledger)
	if err != nil {
		return err
	}
	ta.zone, ta.silent = zone, fl.op.Plain
	return fl.register(ta)
}

func (fl *Fleet) register(ta *Target) error {
	address, err := fl.op.AddressOverride("target/"+ta.id, ta.address)
	if err != nil {
		return err
	}
	fl.mu.Lock()
	fl.targets[ta.id] = ta
	fl.mu.Unlock()
	return fl.store.Put("servers/"+ta.id, ta.entry(address))
}

// RestartTarget ends a target and starts it again under its ID, empty and at another address.
func (fl *Fleet) RestartTarget(id string) error {
	old := fl.Target(id)
	old.Crash()
	ta, err := newTarget(id, old.service, old.engine, fl.ledger)
	if err != nil {
		return err
	}
	ta.zone, ta.silent, ta.born = old.zone, old.silent, old.born+1
	return fl.register(ta)
}

// TargetIDs are the targets' IDs, sorted.
func (fl *Fleet) TargetIDs() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Sorted(maps.Keys(fl.targets))
}

// Target returns a target.
func (fl *Fleet) Target(id string) *Target {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.targets[id]
}

// Store returns the store.
func (fl *Fleet) Store() *Store { return fl.store }

// Runs returns what the targets have run.
func (fl *Fleet) Runs() []Run { return fl.ledger.Runs() }

// Configure writes a version of the operator's configuration in which one key is valid.
func (fl *Fleet) Configure(version int, key string) error {
	route := func(name, prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 800,
			"priority": 0, "service": service, "attempts": 2, "resumable": resumable, "sticky": service == "engines",
		}
	}
	tenants := []any{map[string]any{
		"name": "sample", "apiKeys": []string{key}, "billingUnit": "tokens", "uncachedTokens": 10, "ratePerS": 1e6, "burst": 1e6,
	}}
	health := "/health"
	if fl.op.Plain {
		tenants, health = []any{}, ""
	}
	return fl.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("ask", "/ask/", "stream", "engines", true),
			route("order", "/order/", "unsafe", "applications", false),
			route("check", "/check/", "safe", "applications", false),
		},
		"services": []any{
			map[string]any{"name": "applications", "healthPath": health, "maxConns": 100},
			map[string]any{"name": "engines", "healthPath": health, "maxConns": 100, "engine": map[string]any{
				"slots": 8, "adapterSlots": AdapterSlots, "weightsMb": 1000.0, "loadsPerS": 5.0,
				"models": []any{map[string]any{"name": Model, "weightsMb": 500.0, "loadS": 0.5, "adapters": 100, "adapterMb": 10.0}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

// IP is the address of an entry instance.
func (fl *Fleet) IP(number int) string { return fl.network.ip(number) }

// StartInstance starts an entry instance; number names it and picks its address.
func (fl *Fleet) StartInstance(number int) (*Instance, error) {
	ip := fl.IP(number)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	store, err := fl.op.AddressOverride("store/"+ip, fl.address)
	if err != nil {
		return nil, err
	}
	en := &Instance{callers: net.JoinHostPort(ip, ports[0]), ready: net.JoinHostPort(ip, ports[1])}
	path := filepath.Join(fl.op.Folder, fmt.Sprintf("entry-%d.conf", number))
	settings := strings.Join([]string{
		"nodeName=entry-" + strconv.Itoa(number), "ip=" + ip, "zone=" + fl.zone(number),
		"listen.front=" + en.callers, "listen.ready=" + en.ready,
		"internalPorts=" + ports[2] + "," + ports[2], "platform.addr=" + store, "limits.memoryMb=284",
		"listen.control=" + net.JoinHostPort(ip, ports[3]), "seeds=" + strings.Join(fl.seeds, ","), "",
	}, "\n")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	en.run = func() error { return en.start(fl.op.Program, path) }
	fl.entries[ip] = en
	fl.seeds = append(fl.seeds, net.JoinHostPort(ip, ports[3]))
	return en, en.run()
}

// freePorts returns ports that nobody listens on now; all instances call each other at their own addresses.
func freePorts(ip string, count int) ([]string, error) {
	ports := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		_, port, err := net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

func (en *Instance) start(program, settings string) error {
	output, err := os.OpenFile(settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	en.process = exec.Command(program, "entry", "--settings", settings, "--metrics-port", "0")
	en.process.Stdout, en.process.Stderr = output, output
	if err := en.process.Start(); err != nil {
		return err
	}
	process, ended := en.process, make(chan error, 1)
	en.ended = ended
	go func() {
		err := process.Wait()
		_ = output.Close()
		ended <- err
	}()
	return en.WaitReady()
}

// PID is the process's number.
func (en *Instance) PID() int { return en.process.Process.Pid }

// Address is where callers connect.
func (en *Instance) Address() string { return en.callers }

// Ready tells whether the instance says that it is ready.
func (en *Instance) Ready() bool {
	rs, err := http.Get("http://" + en.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// WaitReady waits until the instance is ready.
func (en *Instance) WaitReady() error {
	for until := time.Now().Add(readyPatience); time.Now().Before(until); time.Sleep(readyStep) {
		if en.Ready() {
			return nil
		}
	}
	return fmt.Errorf("the instance at %s did not become ready", en.callers)
}

// Signal sends the process a signal.
func (en *Instance) Signal(sg os.Signal) error { return en.process.Process.Signal(sg) }

// Wait waits for the process to end.
func (en *Instance) Wait() error { return <-en.ended }

// Restart starts the instance again at its addresses.
func (en *Instance) Restart() error { return en.run() }

// Close ends all processes and listeners that the fleet started.
func (fl *Fleet) Close() {
	for _, en := range fl.entries {
		if en.process != nil && en.process.Process != nil {
			_ = en.process.Process.Kill()
		}
	}
	for _, id := range fl.TargetIDs() {
		fl.Target(id).Crash()
	}
	_ = fl.server.Close()
	fl.store.Close()
	fl.network.release()
}
