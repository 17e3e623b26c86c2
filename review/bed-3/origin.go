//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// storeAway is how long the store is down, and beat is the time between two reports of a worker.
	storeAway = 4500 * time.Millisecond
	beat      = 1200 * time.Millisecond
	// events and eventPause are the number of events of a stream and the time between two of them.
	events     = 20
	eventPause = 100 * time.Millisecond
)

// stream writes a stream of numbered events, each with the version of the worker's software.
func (ta *worker) stream(w http.ResponseWriter, r *http.Request, ru *run) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ta.wo.record.line("%s (%s) runs %s from event %d", ta.id, ru.version, ru.id, after+1)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := after + 1; number <= events; number++ {
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: %s\n\n", number, ru.version)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// reportLater writes the worker's entry as soon as the store takes it, in steps of a beat.
func (ta *worker) reportLater(down *atomic.Bool, done <-chan struct{}) {
	for down.Load() {
		select {
		case <-done:
			return
		case <-time.After(beat):
		}
	}
	ta.report()
	ta.wo.record.line("%s has reported version %s", ta.id, ta.version)
}

// follow has requesters ask for streams at all instances. The returned function ends that and waits for their answers.
func follow(wo *world, pause time.Duration, path, adapter string) (answers map[string]answer, finish func()) {
	var mu sync.Mutex
	answers = map[string]answer{}
	done := make(chan struct{})
	var load, requests sync.WaitGroup
	var number atomic.Int64
	for _, in := range wo.instances {
		load.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				requests.Go(func() {
					id := fmt.Sprintf("s%05d", number.Add(1))
					wo.record.line("%s sent to %s", id, in.name)
					an := ask(in.front, request{path: path, id: id, adapter: adapter, tokens: "600,70", deadline: 6 * time.Second})
					wo.record.line("%s answered %d, whole %v", id, an.status, an.whole)
					mu.Lock()
					answers[id] = an
					mu.Unlock()
				})
			}
		})
	}
	return answers, func() {
		close(done)
		load.Wait()
		requests.Wait()
	}
}

// staleEngine has a worker start again with other software while the store is down, so that its entry is that of the start
// before until it can report, and end again soon after.
func staleEngine(wo *world) int {
	const service, path, adapter = "chat", "/ask/x", model + "/a1"
	var workers []*worker
	for number := range 6 {
		ta := wo.addWorker(fmt.Sprintf("%s-%d", service, number), service, []string{"zone-a", "zone-b", "zone-c"}[number%3], "v1")
		ta.work = ta.stream
		workers = append(workers, ta)
	}
	wo.addWorker("app-1", "app", "zone-a", "v1")
	routes := append(defaultRoutes(), route("follow", "/follow/", "stream", "feed", true))
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, routes...)
	for number, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		wo.add(number, zone, nil)
	}
	if !wo.startAll() {
		return unable
	}
	time.Sleep(8 * time.Second)
	answers, finish := follow(wo, 60*time.Millisecond, path, adapter)
	time.Sleep(6 * time.Second)
	first := workers[0]
	wo.record.say("%s ends", first.id)
	first.stop()
	time.Sleep(300 * time.Millisecond)
	var down atomic.Bool
	down.Store(wo.trouble)
	wo.store.SetDown(wo.trouble)
	wo.record.say("the store is down: %v", wo.trouble)
	time.Sleep(200 * time.Millisecond)
	wo.record.say("%s starts again with version v2", first.id)
	first.mute = true
	first.again("v2")
	go first.reportLater(&down, make(chan struct{}))
	time.Sleep(storeAway - 200*time.Millisecond)
	down.Store(false)
	wo.store.SetDown(false)
	wo.record.say("the store is back")
	time.Sleep(1500 * time.Millisecond)
	wo.record.say("%s ends", first.id)
	first.stop()
	time.Sleep(4 * time.Second)
	finish()
	return judgeStreams(wo, answers)
}

// staleResume has a worker of a service without an engine start again with other software while the store is down, and another
// worker end before the first one has been able to report.
func staleResume(wo *world) int {
	var workers []*worker
	for number := range 6 {
		ta := wo.addWorker(fmt.Sprintf("feed-%d", number), "feed", []string{"zone-a", "zone-b", "zone-c"}[number%3], "v1")
		ta.work = ta.stream
		workers = append(workers, ta)
	}
	routes := append(defaultRoutes(), route("follow", "/follow/", "stream", "feed", true))
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, routes...)
	for number, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		wo.add(number, zone, nil)
	}
	if !wo.startAll() {
		return unable
	}
	time.Sleep(8 * time.Second)
	answers, finish := follow(wo, 25*time.Millisecond, "/follow/x", "")
	time.Sleep(6 * time.Second)
	first, other := workers[0], workers[1]
	wo.record.say("%s ends", first.id)
	first.stop()
	time.Sleep(300 * time.Millisecond)
	var down atomic.Bool
	down.Store(wo.trouble)
	wo.store.SetDown(wo.trouble)
	wo.record.say("the store is down: %v", wo.trouble)
	time.Sleep(200 * time.Millisecond)
	wo.record.say("%s starts again with version v2", first.id)
	first.mute = true
	first.again("v2")
	go first.reportLater(&down, make(chan struct{}))
	time.Sleep(storeAway - 200*time.Millisecond)
	down.Store(false)
	wo.store.SetDown(false)
	wo.record.say("the store is back")
	time.Sleep(300 * time.Millisecond)
	wo.record.say("%s ends", other.id)
	other.stop()
	time.Sleep(4 * time.Second)
	finish()
	return judgeStreams(wo, answers)
}

// judgeStreams applies the rule ORDER to the streams.
func judgeStreams(wo *world, answers map[string]answer) int {
	counts, mixed := map[string]int{}, 0
	for id, an := range answers {
		var versions []string
		for line := range strings.Lines(an.body) {
			if version, ok := strings.CutPrefix(line, "data: "); ok && !slices.Contains(versions, strings.TrimSpace(version)) {
				versions = append(versions, strings.TrimSpace(version))
			}
		}
		counts[fmt.Sprintf("status %d, whole %v, versions %v", an.status, an.whole, versions)]++
		if len(versions) > 1 {
			mixed++
			wo.record.line("%s holds events of %v: %s", id, versions, strings.ReplaceAll(an.body, "\n", " "))
		}
	}
	for text, count := range counts {
		wo.record.say("%5d x %s", count, text)
	}
	if mixed > 2 {
		wo.record.say("BROKEN: %d streams hold events from workers of two software versions", mixed)
		return broken
	}
	wo.record.say("held: %d streams hold events from workers of two software versions", mixed)
	return held
}
