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
	"syscall"
	"time"
)

// relayedOrders is no case: it has one machine cut off from the workers, and the machines that relay for it killed, frozen and
// cut off from it, and looks for orders that ran twice, or that were refused and ran.
func relayedOrders(wo *world) int {
	nw := newNetwork(wo)
	var workers []*worker
	for number := range 15 {
		ta := wo.addWorker(fmt.Sprintf("app-%d", number), "app", "zone-w", "v1")
		ta.work = func(w http.ResponseWriter, r *http.Request, _ *run) {
			time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
			w.Header().Set("Content-Length", "4")
			_, _ = io.WriteString(w, "done")
		}
		nw.place(ta.address, "zone-w")
		workers = append(workers, ta)
	}
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, defaultRoutes()...)
	for number, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-d"} {
		nw.addNode(number, zone, map[string]string{"bootstrap": "false"})
	}
	if !wo.startAll() {
		return unable
	}
	time.Sleep(5 * time.Second)
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	answers := map[string]answer{}
	done := make(chan struct{})
	var load, requests sync.WaitGroup
	var number atomic.Int64
	for _, in := range wo.instances {
		load.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(30 * time.Millisecond):
				}
				requests.Go(func() {
					id := fmt.Sprintf("o%05d", number.Add(1))
					an := ask(in.front, request{path: "/order/x", id: id, body: "order " + id, deadline: 3 * time.Second})
					mu.Lock()
					answers[id] = an
					mu.Unlock()
				})
			}
		})
	}
	for round := range 6 {
		var cut []*link
		nw.mu.Lock()
		for k, li := range nw.links {
			if from, address, _ := strings.Cut(k, " "); from == "zone-a" && nw.zones[address] == "zone-w" {
				cut = append(cut, li)
			}
		}
		nw.mu.Unlock()
		for _, li := range cut {
			li.setCut(true)
		}
		wo.record.line("cut %d", round)
		for range 3 {
			time.Sleep(time.Duration(800+random.IntN(1200)) * time.Millisecond)
			in := wo.instances[1+random.IntN(3)]
			switch random.IntN(3) {
			case 0:
				wo.record.line("kill %s", in.name)
				in.kill()
				in.start()
			case 1:
				in.signal(syscall.SIGSTOP)
				go func() {
					time.Sleep(1500 * time.Millisecond)
					in.signal(syscall.SIGCONT)
				}()
			case 2:
				nw.cutPeers("zone-a", in)
			}
		}
		for _, li := range cut {
			li.setCut(false)
		}
		time.Sleep(3 * time.Second)
	}
	close(done)
	load.Wait()
	requests.Wait()
	time.Sleep(500 * time.Millisecond)
	runs, statuses, faults := map[string]int{}, map[int]int{}, 0
	for _, ta := range workers {
		for _, ru := range ta.runs {
			runs[ru.id]++
		}
	}
	for id, an := range answers {
		statuses[an.status]++
		switch {
		case runs[id] > 1:
			faults++
			wo.record.say("%s ran %d times", id, runs[id])
		case (an.status == 503 || an.status == 429) && runs[id] > 0:
			faults++
			wo.record.say("%s was answered %d and ran", id, an.status)
		case an.status == 200 && (runs[id] != 1 || an.body != "done" || an.header.Get("Request-Id") != id):
			faults++
			wo.record.say("%s was answered 200 and ran %d times: %q", id, runs[id], an.body)
		}
	}
	wo.record.say("%d orders, answers by status %v, faults %d", len(answers), statuses, faults)
	if faults > 0 {
		return broken
	}
	return held
}

// cutPeers resets the connections between a failure domain and a machine for a moment.
func (nw *network) cutPeers(zone string, in *instance) {
	li := nw.linkOf(zone, in.ip+":7600")
	li.setCut(true)
	time.Sleep(100 * time.Millisecond)
	li.setCut(false)
}
