//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	poisonWorkers = 8
	// poisonBack is how long a worker that has crashed is away.
	poisonBack = 2 * time.Second
	// poisonWork is how long a sound order runs.
	poisonWork = 300 * time.Millisecond
	// inTouch is bounds.contactMs and a little more: how long after its start a machine counts as in touch.
	inTouch = 3300 * time.Millisecond
	// poisonPause is the time between two times at which the request comes again within one round.
	poisonPause = 700 * time.Millisecond
	poisonBody  = "this order crashes workers"
	soundBody   = "a sound order"
	// mostRetries is how often the request may reach workers once it has crashed the third.
	mostRetries = 3
)

// poisonedWorker is an application worker that crashes when it begins to run the one request.
type poisonedWorker struct {
	wo     *world
	number int
	state  *poisonState

	mu     sync.Mutex
	start  int
	server *http.Server
	id     string
	entry  map[string]any
}

// runningAt is where the request last ran without harm.
type runningAt struct {
	worker *poisonedWorker
	server *http.Server
	id     string
}

// poisonState is what the workers of the case share.
type poisonState struct {
	mu       sync.Mutex
	arrivals []time.Time
	// harmless is true while the workers' software runs the request without a crash.
	harmless atomic.Bool
	busy     atomic.Pointer[runningAt]
	// lostRuns counts the sound orders that were running at a worker that crashed.
	lostRuns atomic.Int64
}

func (pw *poisonedWorker) begin() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	pw.mu.Lock()
	pw.start++
	id, server := fmt.Sprintf("i-bodega%d-%d", pw.number, pw.start), &http.Server{}
	pw.server = server
	pw.mu.Unlock()
	var running atomic.Int64
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { pw.serve(w, r, id, server, &running) })
	go func() { _ = server.Serve(listener) }()
	entry := map[string]any{
		"service": "bodega", "addr": listener.Addr().String(), "zone": "gt-central-" + string(rune('a'+pw.number%3)), "version": "v1",
		"slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
	pw.mu.Lock()
	pw.id, pw.entry = id, entry
	pw.mu.Unlock()
	return pw.wo.store.Put("servers/"+id, entry)
}

func (pw *poisonedWorker) serve(w http.ResponseWriter, r *http.Request, id string, server *http.Server, running *atomic.Int64) {
	header := w.Header()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		header.Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	header.Set("Response-Seal", "seal-"+r.Header.Get("Request-Id"))
	if string(body) == poisonBody && pw.state.harmless.Load() {
		pw.wo.record.line("%s runs the request without harm", id)
		pw.state.busy.Store(&runningAt{worker: pw, server: server, id: id})
	} else if string(body) == poisonBody {
		pw.state.mu.Lock()
		pw.state.arrivals = append(pw.state.arrivals, time.Now())
		count := len(pw.state.arrivals)
		pw.state.mu.Unlock()
		lost := running.Load()
		pw.state.lostRuns.Add(lost)
		pw.wo.record.line("the request reaches %s (arrival %d), which crashes with %d sound orders running", id, count, lost)
		go pw.crash(server, id)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	running.Add(1)
	defer running.Add(-1)
	select {
	case <-time.After(poisonWork):
		header.Set("Instance-Load", fmt.Sprintf("%d,0,6", running.Load()-1))
		_, _ = io.WriteString(w, "answer")
	case <-r.Context().Done():
	}
}

// crash ends the worker at once. It sends nothing, and is back after some seconds as a new lifetime with a new id.
func (pw *poisonedWorker) crash(server *http.Server, id string) {
	_ = server.Close()
	time.Sleep(poisonBack)
	pw.wo.store.Remove("servers/" + id)
	if err := pw.begin(); err != nil {
		pw.wo.record.line("%s is not back: %v", id, err)
	}
}

// restart stops a machine as the platform does, and starts it again.
func (wo *world) restart(en *entry) error {
	wo.record.line("SIGTERM to %s", en.name)
	if err := en.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-en.exited:
	case <-time.After(8 * time.Second):
		en.kill()
	}
	if err := en.start(); err != nil {
		return err
	}
	if err := en.awaitReady(10 * time.Second); err != nil {
		return err
	}
	wo.record.line("%s is back", en.name)
	return nil
}

// poison plays a rolling restart of the machines while a request that crashes workers comes again and again.
func poison(wo *world, trouble bool) (int, error) {
	state := &poisonState{}
	var workers []*poisonedWorker
	for number := range poisonWorkers {
		pw := &poisonedWorker{wo: wo, number: number, state: state}
		if err := pw.begin(); err != nil {
			return 0, err
		}
		workers = append(workers, pw)
		wo.closers = append(wo.closers, func() {
			pw.mu.Lock()
			defer pw.mu.Unlock()
			_ = pw.server.Close()
		})
	}
	if err := wo.configure(1); err != nil {
		return 0, err
	}
	zones := []string{"gt-central-a", "gt-central-b", "gt-central-c"}
	if err := wo.addEntries(map[string]int{zones[0]: 1, zones[1]: 1, zones[2]: 1}, zones...); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var background sync.WaitGroup
	var served, refused, failed atomic.Int64
	background.Go(func() { sendSound(wo, stop, &served, &refused, &failed) })
	if os.Getenv("MODE") == "software" {
		retries, err := newSoftware(wo, state, workers, trouble)
		close(stop)
		background.Wait()
		wo.record.line("%d sound orders were running at workers that crashed", state.lostRuns.Load())
		wo.record.line("the request reached workers %d times, later than contactMs after its third crash; %d are allowed", retries, mostRetries)
		if err == nil && retries > mostRetries {
			return broken, nil
		}
		return held, err
	}
	attempt := 0
	come := func(en *entry) {
		attempt++
		result := orderWith(en.front, fmt.Sprintf("aaaa%012x", attempt), poisonBody)
		wo.record.line("the request comes at %s: %s", en.name, result)
		time.Sleep(poisonPause)
	}
	for range 3 {
		come(wo.entries[0])
	}
	state.mu.Lock()
	third := time.Now()
	if len(state.arrivals) >= 3 {
		third = state.arrivals[2]
	}
	state.mu.Unlock()
	time.Sleep(inTouch)
	round := func() {
		for _, en := range wo.entries {
			come(en)
		}
	}
	round()
	if os.Getenv("MODE") == "minute" {
		comeTogether(wo, third)
	}
	for _, en := range wo.entries {
		if os.Getenv("MODE") == "minute" {
			break
		}
		if trouble {
			if err := wo.restart(en); err != nil {
				return 0, err
			}
		} else {
			time.Sleep(inTouch)
		}
		time.Sleep(inTouch)
		round()
	}
	close(stop)
	background.Wait()
	retries := 0
	for _, at := range state.arrivals {
		if at.After(third.Add(3 * time.Second)) {
			retries++
		}
	}
	wo.record.line("sound orders: %d served, %d refused, %d failed; %d were running at workers that crashed", served.Load(), refused.Load(),
		failed.Load(), state.lostRuns.Load())
	wo.record.line("the request reached workers %d times, later than contactMs after its third crash; %d are allowed", retries, mostRetries)
	if len(state.arrivals) < 3 {
		return 0, fmt.Errorf("the request reached workers %d times only", len(state.arrivals))
	}
	if retries > mostRetries {
		return broken, nil
	}
	return held, nil
}

// release replaces all workers by ones whose software crashes when it begins to run the request: a new one starts, then the old one drains and ends.
func release(wo *world, workers []*poisonedWorker) error {
	for _, pw := range workers {
		pw.mu.Lock()
		old, id, entry := pw.server, pw.id, pw.entry
		pw.mu.Unlock()
		if err := pw.begin(); err != nil {
			return err
		}
		entry["state"] = "draining"
		if err := wo.store.Put("servers/"+id, entry); err != nil {
			return err
		}
		go func() {
			time.Sleep(drainTime + 500*time.Millisecond)
			wo.store.Remove("servers/" + id)
			_ = old.Close()
		}()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(drainTime + time.Second)
	return nil
}

// newSoftware plays a release whose software crashes on a request that ran well before, and during which a worker once crashed by itself.
func newSoftware(wo *world, state *poisonState, workers []*poisonedWorker, trouble bool) (int, error) {
	en := wo.entries[0]
	attempt := 0
	come := func() {
		attempt++
		result := orderWith(en.front, fmt.Sprintf("dddd%012x", attempt), poisonBody)
		wo.record.line("the request comes at %s: %s", en.name, result)
		time.Sleep(poisonPause)
	}
	state.harmless.Store(true)
	if trouble {
		go func() {
			time.Sleep(poisonWork / 2)
			at := state.busy.Load()
			wo.record.line("%s crashes for a reason of its own", at.id)
			at.worker.crash(at.server, at.id)
		}()
	}
	come()
	come()
	time.Sleep(poisonBack + inTouch)
	if err := release(wo, workers); err != nil {
		return 0, err
	}
	state.harmless.Store(false)
	wo.record.line("all workers have the new software")
	for range 3 {
		come()
	}
	time.Sleep(inTouch)
	for range 10 {
		come()
	}
	return max(len(state.arrivals)-3, 0), nil
}

// comeTogether has the request come twice at each machine at once, a minute after its third crash. Nothing is restarted.
func comeTogether(wo *world, third time.Time) {
	const after, times = 61 * time.Second, 2
	time.Sleep(time.Until(third.Add(after)))
	var requests sync.WaitGroup
	for number, en := range wo.entries {
		for time := range times {
			requests.Go(func() {
				wo.record.line("the request comes at %s: %s", en.name, orderWith(en.front, fmt.Sprintf("cccc%06x%06x", number, time), poisonBody))
			})
		}
	}
	requests.Wait()
	time.Sleep(time.Second)
}

// sendSound sends sound orders to machines that are ready, as the platform does.
func sendSound(wo *world, stop chan struct{}, served, refused, failed *atomic.Int64) {
	var orders sync.WaitGroup
	defer orders.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		en := wo.entries[number%len(wo.entries)]
		if number%3 == 0 && !en.isReady() {
			continue
		}
		orders.Go(func() {
			switch result := orderWith(en.front, fmt.Sprintf("bbbb%012x", number), soundBody); {
			case result == "200":
				served.Add(1)
			case result == "503" || strings.Contains(result, "refused"):
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
	}
}

// orderWith sends an unsafe request with a body on a new connection and returns how it was answered.
func orderWith(address, id, body string) string {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /order/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nX-Api-Key: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", host, id, apiKey, len(body), body)
	if err != nil {
		return err.Error()
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	_ = rs.Body.Close()
	return strconv.Itoa(rs.StatusCode)
}
