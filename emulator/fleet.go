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
	// Host is the host name of all routes.
	Host = "sample.example"
	// Key is the API key of the sample organisation.
	Key = "sample-key"
	// defaultEngines, defaultApplications and defaultZones are the default sizes of the sample deployment.
	defaultEngines      = 4
	defaultApplications = 2
	// DefaultZones is the default number of failure domains; instance N is in the one with the number N modulo theirs.
	DefaultZones = 2
	// healthPath is the path of the targets' health check.
	healthPath = "/health"
	// defaultMemoryMB and defaultMaxBodyBytes are the default limits of the instances.
	defaultMemoryMB     = 284
	defaultMaxBodyBytes = 64 << 10
	// maxReadyWait is the maximum wait for an instance to become ready.
	maxReadyWait      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Fleet runs a store, targets and entry instances; each instance is a separate process.
type Fleet struct {
	op      Options
	network *network
	store   *Store
	server  *http.Server
	address string
	views   map[string]*storeView
	runLog  *RunLog
	entries map[string]*Instance
	// crashing holds the parts of prompts that crash engines.
	crashing *crashingParts
	// evacuations are the failure domains that have been evacuated.
	evacuations *evacuations
	// closing is closed by Close, and restarts are the targets that will be back after a crash.
	closing  chan struct{}
	restarts sync.WaitGroup

	mu         sync.Mutex
	targets    map[string]*Target
	restarting map[string]bool
	// domainAddresses are the addresses of the targets for the instances of each failure domain, by target.
	domainAddresses map[string]map[string]string
	// linkAddresses are the addresses of the links from failure domains to targets, by domain and target.
	linkAddresses map[string]string

	// seeds are the control addresses of the instances that have been started.
	seeds []string
}

// AddressOverride returns the address that replaces the address of a link, such as the address of a proxy. The name of a link is
// "store/IP" for the link from an instance to the store and "target/ID" for the link to a target.
type AddressOverride func(link, address string) (string, error)

// Instance is an entry instance that runs as a child process.
type Instance struct {
	process       *exec.Cmd
	exited        chan error
	callerAddress string
	readyAddress  string
	launch        func() error
}

// Options configures a Fleet.
type Options struct {
	// DomainLink makes a link from the instances of a failure domain to a target, so that the path can be changed; nil
	// makes none.
	DomainLink func(tp TargetPath) error
	// Program is the path of the lovagebank binary, and Folder receives the settings files and logs.
	Program string
	Folder  string
	// AddressOverride replaces the addresses of links; nil leaves them unchanged.
	AddressOverride AddressOverride
	// Engines, Applications and Zones are the sizes of the deployment; 0 selects the default.
	Engines      int
	Applications int
	Zones        int
	// Software lists the versions of the engines' software; engine N has the one at N modulo their number. None selects v1.
	Software []string
	// StreamEvents is the number of events of each stream; 0 selects 6.
	StreamEvents int
	// RouteTimeout is the timeout of all routes; 0 selects 5 s.
	RouteTimeout time.Duration
	// PrefixCache describes how engines prefill and cache prompts; zero for engines that take the same time for each.
	PrefixCache PrefixCache
	// Listen opens the listeners of the store and the targets; nil listens on TCP ports.
	Listen Listen
	// MemoryMB is the memory limit of the instances in MB; 0 selects 284. MaxBodyBytes limits request bodies; 0 selects 64 KiB.
	MemoryMB     int
	MaxBodyBytes int
	// Contracts are the contracts that the instances' settings name.
	Contracts []string
	// Plain selects a deployment without organisations and keys, whose targets report neither load nor health.
	Plain bool
	// Places selects a deployment whose targets are cold for a time after their start, and whose failure domains belong
	// to regions, one each.
	Places bool
}

func (op Options) withDefaults() Options {
	if op.Listen == nil {
		op.Listen = net.Listen
	}
	if op.AddressOverride == nil {
		op.AddressOverride = func(_, address string) (string, error) { return address, nil }
	}
	for _, size := range []struct {
		value    *int
		fallback int
	}{
		{&op.Engines, defaultEngines},
		{&op.Applications, defaultApplications},
		{&op.Zones, DefaultZones},
		{&op.StreamEvents, defaultStreamEvents},
		{&op.MemoryMB, defaultMemoryMB},
		{&op.MaxBodyBytes, defaultMaxBodyBytes},
	} {
		if *size.value == 0 {
			*size.value = size.fallback
		}
	}
	if op.RouteTimeout == 0 {
		op.RouteTimeout = defaultRouteTimeout
	}
	return op
}

// NewFleet claims a loopback network, starts a store and the targets, and writes the first configuration. It returns an
// error if no network is free, or if a target cannot be started or registered.
func NewFleet(op Options) (*Fleet, error) {
	op = op.withDefaults()
	ne, err := claimNetwork(op.Listen)
	if err != nil {
		return nil, err
	}
	listener, err := op.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		ne.release()
		return nil, err
	}
	fl := &Fleet{
		op: op, network: ne, store: NewStore(), address: listener.Addr().String(), runLog: &RunLog{}, views: make(map[string]*storeView),
		targets: make(map[string]*Target), entries: make(map[string]*Instance), restarting: make(map[string]bool),
		domainAddresses: make(map[string]map[string]string), linkAddresses: make(map[string]string),
		evacuations: &evacuations{since: make(map[string]time.Time)},
		crashing:    &crashingParts{parts: make(map[string]*crashingPart)}, closing: make(chan struct{}),
	}
	fl.server = &http.Server{Handler: fl.store, ReadHeaderTimeout: time.Second}
	go func() { _ = fl.server.Serve(listener) }()
	for number := range fl.op.Engines {
		if err := fl.AddEngine(number, fl.op.softwareOf(number)); err != nil {
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

// Zone returns the failure domain of the instance or target with the given number.
func (fl *Fleet) Zone(number int) string { return fl.zone(number) }

func (fl *Fleet) zone(number int) string { return "zone-" + strconv.Itoa(number%fl.op.Zones) }

// softwareOf returns the version of the software of the engine with the given number.
func (op Options) softwareOf(number int) string {
	if len(op.Software) == 0 {
		return defaultSoftware
	}
	return op.Software[number%len(op.Software)]
}

// AddEngine starts an engine with the given version of the software and registers it in the store.
func (fl *Fleet) AddEngine(number int, software string) error {
	return fl.addTarget("engine-"+strconv.Itoa(number), "engines", true, fl.zone(number), software)
}

// AddTarget starts a target and registers it in the store.
func (fl *Fleet) AddTarget(id, service string, engine bool, zone string) error {
	return fl.addTarget(id, service, engine, zone, defaultSoftware)
}

func (fl *Fleet) addTarget(id, service string, engine bool, zone, software string) error {
	ta, err := fl.newTarget(id, service, engine)
	if err != nil {
		return err
	}
	ta.zone, ta.region, ta.omitsLoad, ta.software = zone, fl.region(zone), fl.op.Plain, software
	return fl.register(ta)
}

// RemoveTarget stops a target for good and removes its entry from the store.
func (fl *Fleet) RemoveTarget(id string) {
	ta := fl.Target(id)
	if ta == nil {
		return
	}
	ta.Crash()
	fl.mu.Lock()
	delete(fl.targets, id)
	fl.mu.Unlock()
	fl.store.Remove("servers/" + id)
}

func (fl *Fleet) register(ta *Target) error {
	address, err := fl.op.AddressOverride("target/"+ta.id, ta.address)
	if err != nil {
		return err
	}
	domainAddresses, err := fl.linkDomains(ta.id, address)
	if err != nil {
		return err
	}
	fl.mu.Lock()
	fl.targets[ta.id] = ta
	fl.domainAddresses[ta.id] = domainAddresses
	fl.mu.Unlock()
	return fl.store.Put("servers/"+ta.id, ta.registration(address))
}

// RestartTarget stops a target and starts it again with the same ID, without adapters and at another address. It does
// nothing if the target has been removed.
func (fl *Fleet) RestartTarget(id string) error {
	old := fl.Target(id)
	if old == nil {
		return nil
	}
	old.Crash()
	ta, err := fl.newTarget(id, old.service, old.engine)
	if err != nil {
		return err
	}
	ta.software, ta.brittle = old.software, old.brittleAfterRestart()
	if before := old.coldBefore(); len(before.spans) > 0 {
		ta.cold = coldness{spans: append(before.spans, ta.cold.spans...), arrivals: before.arrivals}
	}
	ta.region = old.region
	ta.zone, ta.omitsLoad, ta.startNumber = old.zone, old.omitsLoad, old.startNumber+1
	return fl.register(ta)
}

// TargetIDs returns the sorted IDs of the targets.
func (fl *Fleet) TargetIDs() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Sorted(maps.Keys(fl.targets))
}

// Target returns the target with the given ID, or nil.
func (fl *Fleet) Target(id string) *Target {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.targets[id]
}

// SetStreamEvents sets the number of events of the streams that begin from now on at the targets that there are.
func (fl *Fleet) SetStreamEvents(events int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ta := range fl.targets {
		ta.mu.Lock()
		ta.events = events
		ta.mu.Unlock()
	}
}

// StoreAddress returns the address of the store.
func (fl *Fleet) StoreAddress() string { return fl.address }

// Store returns the store of the fleet.
func (fl *Fleet) Store() *Store { return fl.store }

// Runs returns the requests that the targets have run.
func (fl *Fleet) Runs() []Run { return fl.runLog.Runs() }

// Configure writes a version of the operator's configuration in which only the given API key is valid. It has further
// routes with resumable streams at the given prefixes.
func (fl *Fleet) Configure(version int, key string, prefixes ...string) error {
	route := func(name, prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeoutMs": fl.op.RouteTimeout.Milliseconds(), "targetLatencyMs": 800,
			"priority": 0, "service": service, "attempts": 2, "resumable": resumable, "sticky": service == "engines",
		}
	}
	tenants := []any{map[string]any{
		"name": "sample", "apiKeys": []string{key}, "billingUnit": "tokens", "uncachedTokens": 10, "ratePerS": 1e6, "burst": 1e6,
	}}
	health := healthPath
	if fl.op.Plain {
		tenants, health = []any{}, ""
	}
	local := route("local", LocalPath, "safe", "applications", false)
	cold := 0.0
	if fl.op.Places {
		local["allowedRegions"], cold = []string{LocalRegion}, coldTime.Seconds()
	}
	routes := make([]any, 0, len(prefixes))
	for number, prefix := range prefixes {
		routes = append(routes, route(fmt.Sprint("ask-", number), prefix, "stream", "engines", true))
	}
	routes = append(routes,
		route("ask", "/ask/", "stream", "engines", true),
		route("tell", "/tell/", "stream", "engines", false),
		route("order", "/order/", "unsafe", "applications", false),
		route("check", "/check/", "safe", "applications", false),
		local,
	)
	return fl.store.Put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "applications", "healthPath": health, "maxConns": 100, "coldS": cold, "coldPerS": coldRate},
			map[string]any{"name": "engines", "healthPath": health, "maxConns": 100, "coldS": cold, "coldPerS": coldRate, "engine": map[string]any{
				"slots": 8, "kvCacheTokens": fl.op.PrefixCache.Tokens, "adapterSlots": AdapterSlots, "weightsMb": 1000.0, "loadsPerS": 5.0,
				"models": []any{map[string]any{"name": Model, "weightsMb": 500.0, "loadS": 0.5, "adapters": 100, "adapterMb": 10.0}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": fl.op.MaxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

// IP returns the IP address of an entry instance.
func (fl *Fleet) IP(number int) string { return fl.network.ip(number) }

// StartInstance starts an entry instance and waits until it is ready. The number determines its name and its IP address.
func (fl *Fleet) StartInstance(number int) (*Instance, error) {
	en, settings, err := fl.newInstance(number)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(fl.op.Folder, fmt.Sprintf("entry-%d.conf", number))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	en.launch = func() error { return en.start(fl.op.Program, path) }
	fl.entries[fl.IP(number)] = en
	return en, en.launch()
}

// newInstance returns an entry instance that has not been started, and the text of its settings.
func (fl *Fleet) newInstance(number int) (*Instance, string, error) {
	ip := fl.IP(number)
	ports, err := fl.freePorts(ip, 4)
	if err != nil {
		return nil, "", err
	}
	view, err := fl.storeView(fl.zone(number))
	if err != nil {
		return nil, "", err
	}
	store, err := fl.op.AddressOverride("store/"+ip, view)
	if err != nil {
		return nil, "", err
	}
	en := &Instance{callerAddress: net.JoinHostPort(ip, ports[0]), readyAddress: net.JoinHostPort(ip, ports[1])}
	settings := strings.Join([]string{
		"nodeName=entry-" + strconv.Itoa(number), "ip=" + ip, "zone=" + fl.zone(number),
		"listen.front=" + en.callerAddress, "listen.ready=" + en.readyAddress,
		"internalPorts=" + ports[2] + "," + ports[2], "platform.addr=" + store, "limits.memoryMb=" + strconv.Itoa(fl.op.MemoryMB),
		"listen.control=" + net.JoinHostPort(ip, ports[3]), "seeds=" + strings.Join(fl.seeds, ","), fl.placeSettings(number),
		"contracts=" + strings.Join(fl.contracts(), ","), "",
	}, "\n")
	fl.seeds = append(fl.seeds, net.JoinHostPort(ip, ports[3]))
	return en, settings, nil
}

// LocalRegion is the only region that requests below LocalPath may reach, in fleets with regions.
const (
	LocalRegion = "region-of-zone-0"
	LocalPath   = "/local/"
)

// region returns the region of a failure domain; empty in fleets without regions.
func (fl *Fleet) region(zone string) string {
	if !fl.op.Places {
		return ""
	}
	return "region-of-" + zone
}

// contracts returns the contracts that the instances' settings name.
func (fl *Fleet) contracts() []string {
	if fl.op.Places {
		return append([]string{"places"}, fl.op.Contracts...)
	}
	return fl.op.Contracts
}

// placeSettings returns the lines of the settings on regions, cold targets and evacuations.
func (fl *Fleet) placeSettings(number int) string {
	if !fl.op.Places {
		return ""
	}
	lines := []string{
		"region=" + fl.region(fl.zone(number)), fmt.Sprintf("bounds.coldOver=%g", coldOver),
		fmt.Sprintf("bounds.coldSlack=%d", coldSlack), fmt.Sprintf("bounds.evacMs=%d", evacuationNotice.Milliseconds()),
	}
	for zone := range fl.op.Zones {
		lines = append(lines, "zones."+fl.zone(zone)+"="+fl.region(fl.zone(zone)))
	}
	return strings.Join(lines, "\n")
}

// Settings returns the settings and the callers' address of an instance that runs in the same process as the fleet.
func (fl *Fleet) Settings(number int) (settings []byte, callers string, err error) {
	en, text, err := fl.newInstance(number)
	if err != nil {
		return nil, "", err
	}
	return []byte(text), en.callerAddress, nil
}

// freePorts returns ports of the IP address that have no listener at present. Instances call each other at their own addresses.
func (fl *Fleet) freePorts(ip string, count int) ([]string, error) {
	ports := make([]string, 0, count)
	for range count {
		listener, err := fl.op.Listen("tcp4", net.JoinHostPort(ip, "0"))
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
	en.exited = ended
	go func() {
		err := process.Wait()
		_ = output.Close()
		ended <- err
	}()
	return en.WaitReady()
}

// PID returns the process ID.
func (en *Instance) PID() int { return en.process.Process.Pid }

// ReadyAddress returns the host and port of the readiness endpoint.
func (en *Instance) ReadyAddress() string { return en.readyAddress }

// Address returns the host and port for callers.
func (en *Instance) Address() string { return en.callerAddress }

// Ready reports whether the readiness endpoint of the instance returns 200.
func (en *Instance) Ready() bool {
	rs, err := http.Get("http://" + en.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// WaitReady waits until the instance is ready. It returns an error after 30 s.
func (en *Instance) WaitReady() error {
	for end := time.Now().Add(maxReadyWait); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if en.Ready() {
			return nil
		}
	}
	return fmt.Errorf("the instance at %s did not become ready", en.callerAddress)
}

// Signal sends a signal to the process.
func (en *Instance) Signal(sg os.Signal) error { return en.process.Process.Signal(sg) }

// Wait waits until the process exits and returns its exit error.
func (en *Instance) Wait() error { return <-en.exited }

// Restart starts the instance again at the same addresses and waits until it is ready.
func (en *Instance) Restart() error { return en.launch() }

// Close kills all processes and closes all listeners that the fleet started.
func (fl *Fleet) Close() {
	close(fl.closing)
	fl.restarts.Wait()
	for _, en := range fl.entries {
		if en.process != nil && en.process.Process != nil {
			_ = en.process.Process.Kill()
		}
	}
	for _, id := range fl.TargetIDs() {
		fl.Target(id).Crash()
	}
	_ = fl.server.Close()
	for _, view := range fl.views {
		_ = view.server.Close()
	}
	fl.store.Close()
	fl.network.release()
}
