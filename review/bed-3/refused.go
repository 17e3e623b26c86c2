//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// refusedOrders is no case: a client names adapters that there are not, while others ask for adapters that have to be loaded. Its
// result stands in REPORT-3.md.
func refusedOrders(wo *world) int {
	for number := range 6 {
		wo.addWorker(fmt.Sprintf("chat-%d", number), "chat", fmt.Sprintf("zone-%c", 'a'+number%3), "v1")
	}
	wo.configure(1, []map[string]any{tenant("good", key, 127343), tenant("other", "other-key", 127343)}, defaultRoutes()...)
	for number, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		wo.add(number, zone, nil)
	}
	if !wo.startAll() {
		return unable
	}
	time.Sleep(8 * time.Second)
	if !warm(wo) {
		return unable
	}
	var bogus atomic.Int64
	stop := make(chan struct{})
	if wo.trouble {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(bogusPause()):
				}
				go ask(wo.instances[0].front, request{path: "/ask/x", id: fmt.Sprintf("b%d", bogus.Add(1)), adapter: fmt.Sprintf("%s/z%d", model, rand.IntN(1<<30)), deadline: 3 * time.Second})
			}
		}()
	}
	time.Sleep(2 * time.Second)
	var okCount, bad atomic.Int64
	for n := range 150 {
		go func() {
			an := ask(wo.instances[1+n%2].front, request{path: "/ask/x", key: "other-key", id: fmt.Sprintf("o%d", n), adapter: fmt.Sprintf("%s/a%d", model, 1+rand.IntN(3000)), tokens: "600,70", deadline: 5 * time.Second})
			if an.status == 200 {
				okCount.Add(1)
			} else {
				bad.Add(1)
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wo.record.say("bogus %d; ordinary cold adapters: %d served, %d not", bogus.Load(), okCount.Load(), bad.Load())
	return held
}

// bogusPause is the time between two requests of the client; BOGUS_MS sets it in milliseconds.
func bogusPause() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("BOGUS_MS")); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return 20 * time.Millisecond
}
