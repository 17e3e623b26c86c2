//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeCalls lets a case follow the calls to the store.
type storeCalls struct {
	// renewed receives the failure domain of each renewal of a lease that reaches the store.
	renewed chan string
}

func (sc *storeCalls) record(zone string, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/-/kv-keep/") {
		return
	}
	select {
	case sc.renewed <- zone:
	default:
	}
}

// await waits for the next renewal from a failure domain; false if there is none in time.
func (sc *storeCalls) await(zone string, most time.Duration) bool {
	for {
		select {
		case <-sc.renewed:
			continue
		default:
		}
		break
	}
	timeout := time.After(most)
	for {
		select {
		case got := <-sc.renewed:
			if got == zone {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// lapsedLeases has the store fall silent and lose all leases meanwhile, and a process start again just after its return.
func lapsedLeases(wo *world) int {
	nw := newNetwork(wo)
	nw.calls = &storeCalls{renewed: make(chan string, 64)}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for number := range 9 {
		wo.addWorker(fmt.Sprintf("chat-%d", number), "chat", zones[number%3], "v1")
	}
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, defaultRoutes()...)
	for number, zone := range zones {
		nw.addNode(number, zone, nil)
	}
	first, again := wo.instances[0], wo.instances[1]
	first.start()
	if !first.awaitReady(20 * time.Second) {
		return unable
	}
	time.Sleep(4 * time.Second)
	for _, in := range wo.instances[1:] {
		in.start()
	}
	for _, in := range wo.instances[1:] {
		if !in.awaitReady(20 * time.Second) {
			return unable
		}
	}
	finish := askForAdapters(wo, 10*time.Millisecond)
	time.Sleep(6 * time.Second)
	if !nw.calls.await("zone-a", 8*time.Second) {
		wo.record.say("no renewal")
		return unable
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	if wo.trouble {
		wo.silent.Store(true)
	}
	wo.record.say("the store is silent: %v", wo.trouble)
	time.Sleep(time.Second)
	wo.record.say("%s is killed", again.name)
	again.kill()
	again.settle("bootstrap", "false")
	if wo.trouble {
		nw.calls.await("zone-a", 4500*time.Millisecond-time.Since(began))
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(100 * time.Millisecond)
	if wo.trouble {
		wo.store.EndLeases()
		wo.silent.Store(false)
	}
	back := time.Now()
	wo.record.say("the store is back after %.1f s, without the leases", back.Sub(began).Seconds())
	again.start()
	time.Sleep(12 * time.Second)
	finish()
	time.Sleep(time.Second)
	return judgeHolders(wo, back)
}

// settle changes a line of an instance's settings.
func (in *instance) settle(name, value string) {
	text, err := os.ReadFile(in.settings)
	must(err)
	var lines []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, name+"=") {
			line = name + "=" + value + "\n"
		}
		lines = append(lines, line)
	}
	must(os.WriteFile(in.settings, []byte(strings.Join(lines, "")), 0o600))
}

// askForAdapters has requesters ask all instances for adapters by chance. The returned function ends that.
func askForAdapters(wo *world, pause time.Duration) (finish func()) {
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
					id, adapter := fmt.Sprintf("r%d", number.Add(1)), fmt.Sprintf("%s/a%d", model, 1+rand.IntN(3000))
					an := ask(in.front, request{path: "/ask/x", id: id, adapter: adapter, tokens: "600,70", deadline: 1500 * time.Millisecond})
					wo.record.line("%s for %s sent to %s: %d", id, adapter, in.name, an.status)
				})
			}
		})
	}
	return func() {
		close(done)
		load.Wait()
		requests.Wait()
	}
}

// readLog returns what an instance has logged.
func readLog(in *instance) string {
	text, err := os.ReadFile(in.settings + ".log")
	must(err)
	return string(text)
}
