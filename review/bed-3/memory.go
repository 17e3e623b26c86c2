//go:build review3

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attack is what a client sends that keeps to the sizes that are allowed, and to nothing else.
type attack struct {
	// clients send one request after the other, until count have been sent or most has passed.
	clients, count int
	most           time.Duration
	make           func(number int) request
}

// peak is the largest resident memory of an instance.
type peak struct {
	in   *instance
	most atomic.Int64
}

// misuse starts three instances, has the first attacked, and reports whether it stays within the memory of its machine.
func misuse(wo *world, at attack) int {
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		wo.addWorker("chat-"+zone, "chat", zone, "v1")
	}
	wo.addWorker("app-1", "app", "zone-a", "v1")
	wo.configure(1, []map[string]any{tenant("good", key, 127343), tenant("other", "other-key", 127343)}, defaultRoutes()...)
	for number, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		wo.add(number, zone, nil)
	}
	if !wo.startAll() {
		return unable
	}
	time.Sleep(3 * time.Second)
	if !warm(wo) {
		return unable
	}
	limit := int64(memoryMB) << 20
	attacked, done := wo.instances[0], make(chan struct{})
	peaks := []*peak{}
	for _, in := range wo.instances {
		peaks = append(peaks, &peak{in: in})
	}
	wo.record.say("resident before: %d MB", attacked.resident()>>20)
	var watch sync.WaitGroup
	watch.Go(func() {
		for tick := 0; ; tick++ {
			for _, pe := range peaks {
				now := pe.in.resident()
				pe.most.Store(max(pe.most.Load(), now))
				if tick%50 == 0 {
					wo.record.line("%s resident %d MB", pe.in.name, now>>20)
				}
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	var sent, ok, refused, failed atomic.Int64
	var next atomic.Int64
	began := time.Now()
	over := func() bool { return time.Since(began) > at.most || peaks[0].most.Load() > 2*limit }
	var clients sync.WaitGroup
	for range at.clients {
		clients.Go(func() {
			for !over() {
				number := next.Add(1)
				if number > int64(at.count) {
					return
				}
				an := ask(attacked.front, at.make(int(number)))
				sent.Add(1)
				wo.record.line("request %d to %s answered %d", number, attacked.name, an.status)
				switch {
				case an.status == 200:
					ok.Add(1)
				case an.status > 0:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	ordinary, served := 0, 0
	for !over() && next.Load() < int64(at.count) {
		an := ask(attacked.front, request{path: "/ask/x", key: "other-key", id: fmt.Sprintf("ordinary-%d", ordinary), adapter: model + "/a1", tokens: "600,70"})
		ordinary++
		if an.status == 200 && an.whole {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	wo.record.say("the client sent %d requests in %.1f s: %d answered 200, %d refused, %d without an answer", sent.Load(),
		time.Since(began).Seconds(), ok.Load(), refused.Load(), failed.Load())
	for _, ta := range wo.workers {
		wo.record.say("%s ran %d requests", ta.id, ta.runCount())
	}
	wo.record.say("ordinary requests at the same instance meanwhile: %d of %d served", served, ordinary)
	time.Sleep(5 * time.Second)
	wo.record.say("resident 5 s after the last request: %d MB", attacked.resident()>>20)
	close(done)
	watch.Wait()
	for _, pe := range peaks {
		wo.record.say("%s: at most %d MB resident, limits.memoryMb is %d, running: %v", pe.in.name, pe.most.Load()>>20, memoryMB, pe.in.running())
	}
	for _, pe := range peaks {
		if pe.most.Load() > limit || !pe.in.running() {
			wo.record.say("BROKEN: %s does not stay within the memory of its machine", pe.in.name)
			return broken
		}
	}
	wo.record.say("held")
	return held
}

// warm has the adapter a1 loaded, and reports whether requests are served.
func warm(wo *world) bool {
	for _, in := range wo.instances {
		good := false
		for try := 0; try < 40 && !good; try++ {
			an := ask(in.front, request{path: "/ask/x", id: fmt.Sprintf("warm-%s-%d", in.name, try), adapter: model + "/a1", tokens: "600,70"})
			good = an.status == 200 && an.whole
			if !good {
				time.Sleep(200 * time.Millisecond)
			}
		}
		if !good {
			wo.record.say("%s serves nothing", in.name)
			return false
		}
	}
	return true
}

// fieldBytes is the length of the long field: a header with it stays below the limit of 16,384 bytes.
const fieldBytes = 15600

// unique returns a text of the given length that no other request has.
func unique(number, length int) string {
	text := fmt.Sprintf("%08x", number)
	return text + strings.Repeat("f", max(length-len(text), 0))
}

// longNames plays a client that names adapters that there are not, with names as long as the limit of a header allows.
func longNames(wo *world) int {
	length := 16
	if wo.trouble {
		length = fieldBytes
	}
	return misuse(wo, attack{clients: 100, count: 1 << 30, most: 30 * time.Second, make: func(number int) request {
		return request{path: "/ask/x", id: fmt.Sprintf("n%d", number), adapter: model + "/" + unique(number, length), deadline: 100 * time.Millisecond}
	}})
}
