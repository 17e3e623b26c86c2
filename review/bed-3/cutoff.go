//go:build review3

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// number returns a number of the environment.
func environment(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// cutFromWorkers has one machine cut off from all workers for eight seconds: open connections are reset, new ones refused.
func cutFromWorkers(wo *world) int {
	const cutFor, contact = 8 * time.Second, 3 * time.Second
	nw := newNetwork(wo)
	mixed := os.Getenv("MIX") == "all"
	for number := range environment("WORKERS", 3) {
		service := "app"
		if mixed && number%5 != 4 {
			service = "chat"
		}
		ta := wo.addWorker(fmt.Sprintf("%s-%d", service, number), service, "zone-w", "v1")
		if service == "app" {
			ta.work = func(w http.ResponseWriter, r *http.Request, ru *run) {
				wo.record.line("%s runs %s", ta.id, ru.id)
				time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
				w.Header().Set("Content-Length", "4")
				_, _ = io.WriteString(w, "done")
			}
		}
		nw.place(ta.address, "zone-w")
	}
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, defaultRoutes()...)
	for number, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		nw.addNode(number, zone, nil)
	}
	if !wo.startAll() {
		return unable
	}
	time.Sleep(8 * time.Second)
	if mixed && !warm(wo) {
		return unable
	}
	pause := time.Duration(environment("PAUSE_MS", 45)) * time.Millisecond
	var counting atomic.Bool
	var tries, served [3]atomic.Int64
	done := make(chan struct{})
	var load, requests sync.WaitGroup
	var number atomic.Int64
	for at, in := range wo.instances {
		load.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				requests.Go(func() {
					serial, counted := number.Add(1), counting.Load()
					id := fmt.Sprintf("c%05d", serial)
					rq := request{path: "/ask/x", id: id, adapter: fmt.Sprintf("%s/a%d", model, 1+serial%3), tokens: "600,70", deadline: 5 * time.Second}
					if serial%4 == 0 || !mixed {
						rq = request{method: http.MethodGet, path: "/check/x", id: id, deadline: 3 * time.Second}
					}
					an := ask(in.front, rq)
					wo.record.line("%s sent to %s: %d, counted %v", id, in.name, an.status, counted)
					if counted {
						tries[at].Add(1)
						if an.status == http.StatusOK && an.whole {
							served[at].Add(1)
						}
					}
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	var cut []*link
	nw.mu.Lock()
	for k, li := range nw.links {
		if from, address, _ := strings.Cut(k, " "); from == "zone-a" && nw.zones[address] == "zone-w" {
			cut = append(cut, li)
		}
	}
	nw.mu.Unlock()
	for _, li := range cut {
		li.setCut(wo.trouble)
	}
	wo.record.say("zone-a is cut off from %d workers: %v", len(cut), wo.trouble)
	time.Sleep(contact)
	counting.Store(true)
	time.Sleep(cutFor - contact)
	counting.Store(false)
	for _, li := range cut {
		li.setCut(false)
	}
	time.Sleep(2 * time.Second)
	close(done)
	load.Wait()
	requests.Wait()
	share := func(at int) float64 { return float64(served[at].Load()) / float64(max(tries[at].Load(), 1)) }
	for at, in := range wo.instances {
		wo.record.say("%s: %d of %d first tries served", in.name, served[at].Load(), tries[at].Load())
	}
	others := (share(1) + share(2)) / 2
	failed := tries[0].Load() - served[0].Load()
	all := tries[0].Load() + tries[1].Load() + tries[2].Load()
	if share(0) < others*2/3 && failed > 10+all/50 {
		wo.record.say("BROKEN: served %.2f at the cut machine, %.2f at the others; %d failed there", share(0), others, failed)
		return broken
	}
	wo.record.say("held")
	return held
}
