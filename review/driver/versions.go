//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents = 40
	streamGap    = 50 * time.Millisecond
)

// askPath, askDeadline and askEvents are those of the streams of a case.
var (
	askPath     = "/ask/"
	askDeadline = 6 * time.Second
	askEvents   = streamEvents
)

// versionedStream sends events that name the worker's software version, from the one after Last-Event-Id on.
func versionedStream(wo *worker, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= askEvents; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, wo.soft); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamGap):
		}
	}
}

// stop ends a worker at once: its port and its connections are closed.
func (wo *worker) stop() {
	wo.stopped.Store(true)
	_ = wo.server.Close()
}

// restart starts a worker again under its ID and at its address, with another version of its software, and writes its entry.
func (wo *worker) restart(software string) (*worker, error) {
	var li net.Listener
	var err error
	for range 50 {
		if li, err = net.Listen("tcp4", wo.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	next := newWorker(wo.la)
	next.id, next.service, next.zone, next.soft, next.address = wo.id, wo.service, wo.zone, software, wo.address
	next.engine, next.slots, next.answer = wo.engine, wo.slots, wo.answer
	next.room = make(chan struct{}, wo.slots)
	next.server = wo.la.serve(li, next)
	return next, wo.la.store.Put("servers/"+wo.id, next.entry("ready"))
}

// readStream sends a request with the given time left and returns the versions of its events and whether it came whole.
func readStream(address, id, resumes string, after int, left time.Duration) (versions map[string]int, last int, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+askPath+id, strings.NewReader("body of "+id))
	if err != nil {
		return nil, 0, 0, err
	}
	rq.Host = host
	rq.Header = http.Header{
		"Request-Id": {id}, "X-Api-Key": {key}, "Deadline-Ms": {strconv.FormatInt(left.Milliseconds(), 10)}, "Model-Name": {"m0"}, "Token-Counts": {"600,200"},
	}
	if resumes != "" {
		rq.Header.Set("Last-Event-Id", strconv.Itoa(after))
		rq.Header.Set("Resumes", resumes)
	}
	rs, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(rq)
	if err != nil {
		return nil, 0, 0, err
	}
	defer func() { _ = rs.Body.Close() }()
	versions = map[string]int{}
	lines := bufio.NewScanner(rs.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
		if _, version, ok := strings.Cut(lines.Text(), " of "); ok {
			versions[version]++
		}
	}
	return versions, last, rs.StatusCode, lines.Err()
}

const (
	// upgrades is the number of upgrades, upgradePause the time from one to the next, and downTime how long a worker is away.
	upgrades     = 3
	upgradePause = 11 * time.Second
	downTime     = 2 * time.Second
	// startStep is the time between the starts of two workers.
	startStep = 40 * time.Millisecond
	// streamRate is the number of new streams a second at each machine.
	streamRate = 15
	// reconnect and reconnectSpread are how long a requester waits until it takes a stream up: 2 to 2.8 s.
	reconnect       = 2000
	reconnectSpread = 800
)

// upgrade plays upgrades in place: all workers of the service stop and start again, each under its ID and at its address, with the next version
// of their software. Requesters take up the streams that this has broken off, once.
func upgrade(la *lab, trouble bool) (bool, error) {
	workers := make([]*worker, 4)
	for number := range workers {
		wo, err := la.addWorker(fmt.Sprintf("i-engine%d", number), "asesor", "zone-"+string(rune('a'+number%2)), true, 64, versionedStream)
		if err != nil {
			return false, err
		}
		workers[number] = wo
	}
	if err := la.configure(1, route("queued-ask", "/ask/", "stream", "asesor", 6000, 2, true)); err != nil {
		return false, err
	}
	for number := range 2 {
		in, err := la.addInstance("zone-"+string(rune('a'+number)), nil)
		if err != nil {
			return false, err
		}
		if err := in.start(); err != nil {
			return false, err
		}
	}
	if err := la.awaitReady(); err != nil {
		return false, err
	}
	stop := time.Now().Add(5*time.Second + upgrades*upgradePause)
	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			time.Sleep(5 * time.Second)
			for version := 2; version < 2+upgrades; version++ {
				restartAll(la, workers, "v"+strconv.Itoa(version))
				time.Sleep(upgradePause - downTime)
			}
		})
	}
	var mu sync.Mutex
	mixed := 0
	counts := map[string]int{}
	for number := 0; time.Now().Before(stop); number++ {
		time.Sleep(time.Second / streamRate)
		for at, in := range la.instances {
			other := la.instances[1-at]
			number := len(la.instances)*number + at
			all.Go(func() {
				kind, versions := takeStream(la, in, other, number)
				mu.Lock()
				defer mu.Unlock()
				counts[kind]++
				if len(versions) > 1 {
					mixed++
				}
			})
		}
	}
	all.Wait()
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		la.log("%5d streams: %s", counts[kind], kind)
	}
	la.log("%d streams hold events from workers of two versions", mixed)
	return mixed > 2, nil
}

// restartAll stops all workers and starts them again.
func restartAll(la *lab, workers []*worker, software string) {
	for _, wo := range workers {
		wo.stop()
	}
	la.log("all workers have stopped")
	time.Sleep(downTime)
	for at, wo := range workers {
		next, err := wo.restart(software)
		if err != nil {
			la.log("worker %s not restarted: %v", wo.id, err)
			continue
		}
		workers[at] = next
		la.log("worker %s is back with %s, born %d", next.id, next.soft, next.born)
		time.Sleep(startStep)
	}
}

// takeStream asks an instance for a stream and, if that breaks off, takes it up once at another one. It returns how that went, and how many
// events came from each version.
func takeStream(la *lab, in, other *instance, number int) (kind string, versions map[string]int) {
	id, again := fmt.Sprintf("%016x", 0x5c41d07b00000000+number), fmt.Sprintf("%016x", 0x6c41d07b00000000+number)
	began := time.Now()
	versions, last, status, err := readStream(in.front, id, "", 0, askDeadline)
	la.mu.Lock()
	ran := strings.Join(la.runs[id], ",")
	la.mu.Unlock()
	la.log("stream %s to %s: status %d, %v events, last %d, %v; run by [%s]", id, in.name, status, versions, last, err, ran)
	switch {
	case last == streamEvents:
		return "whole at once", versions
	case last == 0:
		return fmt.Sprintf("none, status %d", status), versions
	}
	time.Sleep(time.Duration(reconnect+number*131%reconnectSpread) * time.Millisecond)
	sentAt := time.Since(la.began)
	more, lastMore, statusMore, errMore := readStream(other.front, again, id, last, askDeadline-time.Since(began))
	first := maps.Clone(versions)
	for version, count := range more {
		versions[version] += count
	}
	if len(versions) > 1 {
		la.log("stream %s of %s: %v events, ended with %v; %s took it up after event %d at %.3f s, at %s: status %d, %v events, last %d, ended with %v",
			id, in.name, first, err, again, last, sentAt.Seconds(), other.name, statusMore, more, lastMore, errMore)
	}
	return fmt.Sprintf("broken off, then status %d, whole %v, versions %d", statusMore, lastMore == streamEvents, len(versions)), versions
}
