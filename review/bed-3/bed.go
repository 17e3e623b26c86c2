//go:build review3

// Command bed-3 plays the cases of the third review. It starts the program of the deploy file as separate processes, before
// stand-ins of the store, the workers and the requesters, all on loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lovagebank/emulator"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// The names of the deployment that all cases use.
const (
	host     = "review.example"
	key      = "review-key"
	model    = "m0"
	memoryMB = 284
	// longest is the longest time that a case may take.
	longest = 115 * time.Second
)

// world is a small deployment: a store, workers, and entry instances as processes.
type world struct {
	folder  string
	network string
	record  *record
	store   *emulator.Store
	server  *http.Server
	address string
	trouble bool
	// silent is set while the store answers nobody.
	silent atomic.Bool

	mu        sync.Mutex
	instances []*instance
	workers   []*worker
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (re *record) line(format string, values ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f  %s\n", time.Since(re.begun).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the standard output.
func (re *record) say(format string, values ...any) {
	re.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newWorld starts the store. The processes find their settings in a temporary folder.
func newWorld(recordPath string) *world {
	file, err := os.Create(recordPath)
	must(err)
	folder, err := os.MkdirTemp("", "lovagebank-review-")
	must(err)
	wo := &world{
		folder: folder, record: &record{file: file, begun: time.Now()}, store: emulator.NewStore(),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	wo.network = freeNetwork()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	wo.address = listener.Addr().String()
	wo.server = &http.Server{Handler: wo.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = wo.server.Serve(listener) }()
	return wo
}

// claim is open while this run uses its loopback addresses.
var claim net.Listener

// freeNetwork returns the first two bytes of loopback addresses that no other run uses.
func freeNetwork() string {
	for number := 201; number < 255; number++ {
		network := fmt.Sprintf("127.%d", number)
		if listener, err := net.Listen("tcp4", network+".0.1:1026"); err == nil {
			claim = listener
			return network
		}
	}
	panic("no free loopback network")
}

// close ends all processes and removes the folder.
func (wo *world) close() {
	for _, in := range wo.instances {
		in.kill()
	}
	for _, ta := range wo.workers {
		ta.stop()
	}
	_ = wo.server.Close()
	wo.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wo.folder)
	} else {
		fmt.Println("folder", wo.folder)
	}
	_ = wo.record.file.Close()
}

// configuration is the operator's configuration, in the form of PROTOCOL.md.
func (wo *world) configure(version int, tenants []map[string]any, routes ...map[string]any) {
	must(wo.store.Put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/health", "maxConns": 400},
			map[string]any{"name": "feed", "healthPath": "/health", "maxConns": 400},
			map[string]any{"name": "chat", "healthPath": "/health", "maxConns": 400, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 247252, "adapterSlots": 17, "weightsMb": 75000.0, "loadsPerS": 7.6,
				"models": []any{map[string]any{"name": model, "weightsMb": 72700.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 66.0}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}))
}

// tenant returns a tenant with the allowance of one of the sheets.
func tenant(name, apiKey string, rate float64) map[string]any {
	return map[string]any{
		"name": name, "apiKeys": []string{apiKey}, "priority": 0, "billingUnit": "tokens", "uncachedTokens": 200, "ratePerS": rate, "burst": rate,
	}
}

// route returns a route with the figures of the sheets.
func route(name, prefix, kind, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 6000, "targetLatencyMs": 1000, "priority": 0,
		"service": service, "attempts": 2, "public": false, "sticky": service == "chat", "resumable": resumable, "targetGapMs": 400,
	}
}

// defaultRoutes are the routes of most cases.
func defaultRoutes() []map[string]any {
	return []map[string]any{
		route("ask", "/ask/", "stream", "chat", true),
		route("tell", "/tell/", "stream", "chat", false),
		route("order", "/order/", "unsafe", "app", false),
		route("check", "/check/", "safe", "app", false),
	}
}

// instance is an entry instance.
type instance struct {
	wo       *world
	name     string
	ip       string
	zone     string
	front    string
	ready    string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
}

// command returns the words of the deploy file's run command.
func command() []string {
	text, err := os.ReadFile("deploy/system.toml")
	must(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`))
		}
	}
	panic("the deploy file has no run command")
}

// add prepares an instance; start starts it.
func (wo *world) add(number int, zone string, values map[string]string) *instance {
	ip := fmt.Sprintf("%s.1.%d", wo.network, 10+number)
	in := &instance{wo: wo, name: fmt.Sprintf("front-%s-%d", zone, number), ip: ip, zone: zone, front: ip + ":8221", ready: ip + ":8224"}
	in.settings = filepath.Join(wo.folder, in.name+".conf")
	fields := map[string]string{
		"nodeName": in.name, "role": "entry", "machineClass": "front", "serves": "front,control", "ip": ip, "zone": zone, "region": "area",
		"zones.zone-a": "area", "zones.zone-b": "area", "zones.zone-c": "area",
		"listen.front": in.front, "listen.ready": in.ready, "listen.control": ip + ":8229", "internalPorts": "7600,7615",
		"seeds":     fmt.Sprintf("%s.1.10:8229,%s.1.11:8229,%s.1.12:8229", wo.network, wo.network, wo.network),
		"bootstrap": "true", "inTolerance": "false", "limits.cpuShare": "0.4", "limits.cores": "1",
		"limits.memoryMb": strconv.Itoa(memoryMB), "limits.maxFds": "4100", "limits.linkMbps": "1000.0", "limits.diskMb": "0",
		"discovery": "platform", "entry": "vip", "heartbeatMs": "1200",
		"contracts":         "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"tolerate.machines": "2", "tolerate.zones": "1", "tolerate.regions": "0",
		"bounds.seedLagS": "3", "bounds.addrReuseS": "2", "bounds.contactMs": "3000", "bounds.ackMs": "4000", "bounds.catchUpS": "4",
		"bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.lossSlackMs": "200", "bounds.configApplyMs": "2000",
		"bounds.rollbackSlackMs": "250", "bounds.maxStretchMs": "5000", "bounds.strictRevoke": "false", "bounds.revokeMs": "5000",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetExtra": "56", "bounds.quotaWindowS": "8",
		"bounds.quotaOver": "0.1", "bounds.quotaSlack": "110000", "bounds.recoverS": "12", "bounds.deliverySlackMs": "120",
		"bounds.retryAfterS": "0", "bounds.requireFence": "false", "bounds.leaseMs": "3000", "bounds.thawSlackMs": "300",
		"bounds.ceilingWindowS": "5", "bounds.ceilingOver": "1.1", "bounds.version_ms": "5000",
		"platform.addr": wo.address, "platform.form": "kv", "platform.writesPerS": "400", "platform.readsPerS": "2000",
		"platform.historyWindowS": "20", "platform.valueBytes": "1048576", "platform.minTtlMs": "1000",
	}
	for name, value := range values {
		fields[name] = value
	}
	var text strings.Builder
	for name, value := range fields {
		text.WriteString(name + "=" + value + "\n")
	}
	must(os.WriteFile(in.settings, []byte(text.String()), 0o600))
	wo.instances = append(wo.instances, in)
	return in
}

// start starts the process with the command of the deploy file.
func (in *instance) start() {
	words := command()
	output, err := os.OpenFile(in.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	in.process = exec.Command(words[0], words[1:]...)
	in.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LOVAGEBANK_SETTINGS=" + in.settings}
	in.process.Stdout, in.process.Stderr = output, output
	must(in.process.Start())
	ended, process := make(chan struct{}), in.process
	in.ended = ended
	in.wo.record.line("%s started, process %d", in.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		_ = output.Close()
		in.wo.record.line("%s ended: %v", in.name, err)
		close(ended)
	}()
}

// awaitReady waits until the instance says that it is ready.
func (in *instance) awaitReady(most time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		rs, err := client.Get("http://" + in.ready + "/-/ready")
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func (in *instance) running() bool {
	if in.ended == nil {
		return false
	}
	select {
	case <-in.ended:
		return false
	default:
		return true
	}
}

func (in *instance) kill() {
	if in.running() {
		_ = in.process.Process.Signal(syscall.SIGCONT)
		_ = in.process.Process.Kill()
		<-in.ended
	}
}

func (in *instance) signal(sg syscall.Signal) {
	in.wo.record.line("%s gets signal %s", in.name, sg)
	_ = in.process.Process.Signal(sg)
}

// resident returns the resident memory of the process in bytes; 0 if it has ended.
func (in *instance) resident() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// startAll starts the instances and waits until they are ready.
func (wo *world) startAll() bool {
	for _, in := range wo.instances {
		in.start()
	}
	for _, in := range wo.instances {
		if !in.awaitReady(20 * time.Second) {
			wo.record.say("%s did not become ready", in.name)
			return false
		}
	}
	return true
}

// answer is what a requester received.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is true if the answer came to its end in order.
	whole bool
	err   error
}

// request is what a requester sends.
type request struct {
	method, path, id, key, adapter, tokens, lastEvent, resumes, body string
	deadline                                                         time.Duration
}

// ask sends a request on a connection of its own and reads the answer to its end.
func ask(address string, rq request) answer {
	deadline := rq.deadline
	if deadline == 0 {
		deadline = 5 * time.Second
	}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := conn.Write([]byte(rq.text(deadline))); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), rq.method)
}

func readAnswer(reader *bufio.Reader, method string) answer {
	rs, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := rs.Body.Read(buffer)
		body.Write(buffer[:count])
		if err != nil {
			whole := err.Error() == "EOF"
			if whole {
				err = nil
			}
			return answer{status: rs.StatusCode, header: rs.Header, body: body.String(), whole: whole, err: err}
		}
	}
}

// text returns the request as written in HTTP/1.1.
func (rq request) text(deadline time.Duration) string {
	method, apiKey := rq.method, rq.key
	if method == "" {
		method = http.MethodPost
	}
	if apiKey == "" {
		apiKey = key
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		method, rq.path, host, rq.id, deadline.Milliseconds(), apiKey)
	for _, field := range [][2]string{
		{"Model-Name", rq.adapter}, {"Token-Counts", rq.tokens}, {"Last-Event-Id", rq.lastEvent}, {"Resumes", rq.resumes},
	} {
		if field[1] != "" {
			fmt.Fprintf(&text, "%s: %s\r\n", field[0], field[1])
		}
	}
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(rq.body))
	}
	text.WriteString("\r\n" + rq.body)
	return text.String()
}

// encode returns the JSON of a value.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	must(err)
	return text
}

func main() {
	cases := map[string]func(*world) int{
		"long-names": longNames, "two-holders": twoHolders, "stale-engine": staleEngine, "stale-resume": staleResume, "lapsed-leases": lapsedLeases, "refused-orders": refusedOrders, "relayed-orders": relayedOrders, "late-entry": lateEntry, "cut-from-workers": cutFromWorkers,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed-3 CASE RECORD")
		os.Exit(unable)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case. Whatever ends it, all processes are ended.
func play(run func(*world) int, path string) (code int) {
	wo := newWorld(path)
	defer wo.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		wo.record.say("could not run: ended after %.0f s", time.Since(wo.record.begun).Seconds())
		wo.close()
		os.Exit(unable)
	}()
	defer func() {
		if problem := recover(); problem != nil {
			wo.record.say("could not run: %v", problem)
			code = unable
		}
	}()
	return run(wo)
}
