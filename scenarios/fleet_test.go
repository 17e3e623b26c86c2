package scenarios

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lovagebank/authenticator"
	"lovagebank/faker"
)

const (
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	peerSecret   = "a-secret-of-the-scenarios"
)

type fleetKey struct{}

// process is one running program of a fleet.
type process struct {
	cmd       *exec.Cmd
	exitError chan error
	done      chan struct{}
}

// fleet holds the processes of one scenario: a store, a list, engines, workers and entry instances.
type fleet struct {
	folder    string
	processes map[string]*process
	listings  []faker.Listing
	store     string
	list      string
	// The operator's token and its hash, and the callers' keys by organisation.
	operatorToken string
	operatorHash  string
	keys          map[string]string
}

func newFleet(folder string) *fleet {
	token, hash := authenticator.NewKey()
	return &fleet{
		folder: folder, processes: make(map[string]*process), keys: make(map[string]string),
		operatorToken: token, operatorHash: fmt.Sprintf("%x", hash),
	}
}

// startFleet is the command "fleet N [engine-options...]". It starts N instances in failure domains a, b and c in turn,
// an engine in each domain, and a worker for each of the services stock and orders.
func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	fl := ts.Value(fleetKey{}).(*fleet)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	domains := []string{"a", "b", "c"}[:min(count, 3)]
	fl.store = "http://" + fl.startStandin(ts, "store", "store")
	for _, domain := range domains {
		fl.startEngine(ts, domain, args[1:])
	}
	fl.startWorker(ts, "stock")
	fl.startWorker(ts, "orders")
	addresses := make([]instanceAddresses, count)
	for index := range addresses {
		addresses[index] = reserveAddresses(ts)
		fl.register(faker.ServiceNameInstances, fmt.Sprintf("instance-%d", index+1), addresses[index].peer, map[string]string{
			"failure-domain": domains[index%len(domains)], "region": "r1",
		})
	}
	listings, err := json.Marshal(fl.listings)
	ts.Check(err)
	path := filepath.Join(fl.folder, "listings.json")
	ts.Check(os.WriteFile(path, listings, 0o600))
	fl.list = "http://" + fl.startStandin(ts, "list", "list", "--listings", path)
	for index, address := range addresses {
		fl.startInstance(ts, index+1, domains, address)
	}
	ts.Setenv("STORE_URL", fl.store)
	ts.Setenv("OPERATOR_TOKEN", fl.operatorToken)
}

// startStandin starts a stand-in process and returns the address that it prints.
func (fl *fleet) startStandin(ts *testscript.TestScript, name, kind string, args ...string) string {
	cmd := exec.Command(filepath.Join(binaries, "standin"), append([]string{kind}, args...)...)
	output, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	fl.trackProcess(name, cmd)
	line, err := bufio.NewReader(output).ReadString('\n')
	ts.Check(err)
	return strings.TrimSpace(line)
}

func (fl *fleet) trackProcess(name string, cmd *exec.Cmd) {
	pr := &process{cmd: cmd, exitError: make(chan error, 1), done: make(chan struct{})}
	fl.processes[name] = pr
	go func() {
		pr.exitError <- cmd.Wait()
		close(pr.done)
	}()
}

func (fl *fleet) register(list, id, address string, meta map[string]string) {
	fl.listings = append(fl.listings, faker.Listing{Name: list, ID: id, Address: address, Meta: meta})
}

func (fl *fleet) startEngine(ts *testscript.TestScript, domain string, options []string) {
	id := "engine-" + domain
	args := append([]string{"--id", id, "--domain", domain, "--base", "base-7b"}, options...)
	fl.register(faker.ServiceNameEngines, id, fl.startStandin(ts, id, "engine", args...), map[string]string{
		"failure-domain": domain, "region": "r1", "base": "base-7b", "slots": "4", "batch": "8", "state": "live",
	})
}

func (fl *fleet) startWorker(ts *testscript.TestScript, service string) {
	id := "worker-" + service
	address := fl.startStandin(ts, id, "worker", "--id", id, "--service", service)
	fl.register(faker.ServiceNameServices, id, address, map[string]string{
		"failure-domain": "a", "region": "r1", "service": service, "state": "live",
	})
	ts.Setenv(strings.ToUpper(service)+"_WORKER_URL", "http://"+address)
}

// instanceAddresses are the listening addresses of one instance.
type instanceAddresses struct {
	caller, peer, operator string
}

// The ports of instances lie below the ephemeral port range of the system, because an outgoing connection could take a
// port between its reservation and its use.
const (
	firstPort     = 20000
	portsPerRange = 100
	portRanges    = 100
)

var nextPort atomic.Int64

// reserveAddresses returns addresses whose ports are free now and that no other scenario of this process uses.
func reserveAddresses(ts *testscript.TestScript) instanceAddresses {
	var picked [3]string
	for index := range picked {
		picked[index] = freeAddress(ts)
	}
	return instanceAddresses{caller: picked[0], peer: picked[1], operator: picked[2]}
}

func freeAddress(ts *testscript.TestScript) string {
	base := int64(firstPort + os.Getpid()%portRanges*portsPerRange)
	for range portsPerRange {
		address := fmt.Sprintf("127.0.0.1:%d", base+nextPort.Add(1)%portsPerRange)
		if socket, err := net.Listen("tcp", address); err == nil {
			_ = socket.Close()
			return address
		}
	}
	ts.Fatalf("no free port")
	return ""
}

func (fl *fleet) startInstance(ts *testscript.TestScript, number int, domains []string, address instanceAddresses) {
	name := fmt.Sprintf("instance-%d", number)
	settings := fmt.Sprintf(`[instance]
id = %s
failure-domain = %s
region = r1
failure-domains = %s

[listen]
caller = %s
peer = %s
operator = %s

[platform]
store = %s
list = %s

[peers]
secret = %s

[operators]
credentials = scenario:%s

[limits]
drain-time = 20s
drain-notice = 1s
`, name, domains[(number-1)%len(domains)], strings.Join(domains, ", "), address.caller, address.peer, address.operator,
		fl.store, fl.list, peerSecret, fl.operatorHash)
	path := filepath.Join(fl.folder, name+".ini")
	ts.Check(os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.Command(filepath.Join(binaries, "lovagebank"), "serve", "--settings", path)
	logs, err := os.Create(filepath.Join(fl.folder, name+".log"))
	ts.Check(err)
	cmd.Stderr = logs
	ts.Check(cmd.Start())
	_ = logs.Close()
	fl.trackProcess(name, cmd)
	ts.Setenv(fmt.Sprintf("URL_%d", number), "http://"+address.caller)
	ts.Setenv(fmt.Sprintf("OPERATOR_URL_%d", number), "http://"+address.operator)
}

// awaitReady waits until every entry instance answers its readiness check.
func awaitReady(ts *testscript.TestScript) {
	deadline := time.Now().Add(startTimeout)
	for number := 1; ts.Getenv(fmt.Sprintf("URL_%d", number)) != ""; number++ {
		url := ts.Getenv(fmt.Sprintf("URL_%d", number)) + "/readyz"
		for !answersOK(url) {
			if time.Now().After(deadline) {
				logs, _ := os.ReadFile(ts.MkAbs(fmt.Sprintf("instance-%d.log", number)))
				ts.Fatalf("instance %d is not ready; its log:\n%s", number, logs)
			}
			time.Sleep(pollInterval)
		}
	}
}

func answersOK(url string) bool {
	response, err := http.Get(url) //nolint:noctx // the scenario's deadline bounds the call
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// endProcess is the command "end NAME SIGNAL". It signals a process and waits for its exit. With "!", the process must
// exit with an error.
func endProcess(ts *testscript.TestScript, neg bool, args []string) {
	fl := ts.Value(fleetKey{}).(*fleet)
	pr, ok := fl.processes[args[0]]
	if !ok {
		ts.Fatalf("no process %s", args[0])
	}
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "INT": syscall.SIGINT}
	ts.Check(pr.cmd.Process.Signal(signals[args[1]]))
	select {
	case err := <-pr.exitError:
		if (err != nil) != neg {
			ts.Fatalf("%s exited with %v", args[0], err)
		}
	case <-time.After(startTimeout):
		ts.Fatalf("%s did not exit", args[0])
	}
	delete(fl.processes, args[0])
}

// endProcessAtOnce is the command "end-at-once NAME". It sends SIGTERM repeatedly: a second signal ends a draining
// process at once, which must exit with an error.
func endProcessAtOnce(ts *testscript.TestScript, _ bool, args []string) {
	fl := ts.Value(fleetKey{}).(*fleet)
	pr, ok := fl.processes[args[0]]
	if !ok {
		ts.Fatalf("no process %s", args[0])
	}
	ts.Check(pr.cmd.Process.Signal(syscall.SIGTERM))
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		select {
		case err := <-pr.exitError:
			if err == nil {
				ts.Fatalf("%s exited without an error, as after a drain", args[0])
			}
			delete(fl.processes, args[0])
			return
		default:
			_ = pr.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	ts.Fatalf("%s did not exit", args[0])
}

func (fl *fleet) killAll() {
	for _, pr := range fl.processes {
		_ = pr.cmd.Process.Kill()
		<-pr.done
	}
}
