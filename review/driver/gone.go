//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// gate serves the store for one instance and can refuse its calls.
type gate struct {
	store   http.Handler
	refuses atomic.Bool

	mu  sync.Mutex
	cut chan struct{}
}

// refuse has all calls answered with 503 from now on, also the watches that wait.
func (ga *gate) refuse(refuses bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.refuses.Store(refuses)
	if refuses {
		close(ga.cut)
	} else {
		ga.cut = make(chan struct{})
	}
}

func (ga *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ga.mu.Lock()
	cut := ga.cut
	ga.mu.Unlock()
	if !ga.refuses.Load() && r.URL.Path != "/-/kv-watch" {
		ga.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	answered := make(chan struct{})
	if !ga.refuses.Load() {
		go func() {
			ga.store.ServeHTTP(answer, r)
			close(answered)
		}()
	}
	select {
	case <-cut:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":"try later"}`))
	case <-answered:
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}
}

// gatedStore starts an address of the store for one instance.
func (la *lab) gatedStore() (*gate, string, error) {
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	ga := &gate{store: la.store, cut: make(chan struct{})}
	la.serve(li, ga)
	return ga, li.Addr().String(), nil
}

const (
	// goneRounds is the number of times at which the store refuses some instances, and goneStep the time from one to the next.
	goneRounds = 8
	goneStep   = 12 * time.Second
	// refuseTime is how long the store refuses them, and goneInstances the number of instances.
	refuseTime    = 4 * time.Second
	goneInstances = 8
	// firstLeave is the time from the end of that to the first removal of an entry, leaveGap the time to the next one, and leavers their number.
	firstLeave = 300 * time.Millisecond
	leaveGap   = 400 * time.Millisecond
	leavers    = 3
	// orderStart is the time from the end of the refusals to the first order, more than contactMs: all instances are in touch again.
	orderStart = 3300 * time.Millisecond
	// lateTime is drainMs.
	lateTime = 2 * time.Second
	// orderTime is how long a worker works on an order, and goneWorkers the number of workers.
	orderTime   = 300 * time.Millisecond
	goneWorkers = 8
)

// order works on an order.
func order(_ *worker, w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(orderTime):
	case <-r.Context().Done():
	}
	_, _ = fmt.Fprint(w, "done ", r.Header.Get("Request-Id"))
}

// goneWorker starts a worker of the case.
func goneWorker(la *lab, number int) error {
	_, err := la.addWorker(fmt.Sprintf("i-app%d", number), "bodega", "zone-"+string(rune('a'+number%3)), false, 8, order)
	return err
}

// gone plays workers that leave, and are replaced, just after the store has refused the calls of three of eight instances for some seconds.
func gone(la *lab, trouble bool) (bool, error) {
	for number := range goneWorkers {
		if err := goneWorker(la, number); err != nil {
			return false, err
		}
	}
	if err := la.configure(1, route("stock-order", "/order/", "unsafe", "bodega", 3000, 2, false)); err != nil {
		return false, err
	}
	gates := make([]*gate, goneInstances)
	for number := range gates {
		ga, at, err := la.gatedStore()
		if err != nil {
			return false, err
		}
		gates[number] = ga
		in, err := la.addInstance("zone-"+string(rune('a'+number%3)), map[string]string{"platform.addr": at})
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
	time.Sleep(4 * time.Second)
	late, lost := 0, 0
	for round := range goneRounds {
		began := time.Now()
		la.refuseSome(gates, round, trouble)
		acks := make(map[string]time.Time)
		for number := round * leavers; number < (round+1)*leavers; number++ {
			if number == round*leavers {
				time.Sleep(firstLeave)
			} else {
				time.Sleep(leaveGap)
			}
			id := fmt.Sprintf("i-app%d", number)
			la.worker(id).leaving.Store(true)
			la.store.Remove("servers/" + id)
			acks[id] = time.Now()
			la.log("the entry of %s is removed", id)
			if err := goneWorker(la, goneWorkers+number); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(refuseTime + orderStart)))
		roundLate, roundLost := la.sendOrders(round, acks)
		late, lost = late+roundLate, lost+roundLost
		time.Sleep(time.Until(began.Add(goneStep)))
	}
	la.log("%d orders reached workers later than %v after their entries were removed; %d of these were lost", late, lateTime, lost)
	kept := la.keptEntries()
	la.log("removals that an instance has held back and never carried out, by its log: %d", kept)
	return late > 0, nil
}

// refuseSome has the store refuse three instances for the time of a refusal.
func (la *lab) refuseSome(gates []*gate, round int, trouble bool) {
	refused := []int{round, (round + 1 + round%2*2) % len(gates), (round + 4) % len(gates)}
	for _, at := range refused {
		if trouble {
			gates[at].refuse(true)
			la.log("the store refuses the calls of %s with 503", la.instances[at].name)
		}
	}
	time.Sleep(refuseTime)
	for _, at := range refused {
		if trouble {
			gates[at].refuse(false)
			la.log("the store answers %s again", la.instances[at].name)
		}
	}
}

// sendOrders sends orders to all instances and then ends the workers that have left. It returns how many orders have reached these late, and how
// many of those have not been answered with a success.
func (la *lab) sendOrders(round int, acks map[string]time.Time) (late, lost int) {
	const waves = 8
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	for wave := range waves {
		for at, in := range la.instances {
			id := fmt.Sprintf("%016x", 0x5c41d07b00000000+(round*waves+wave)*len(la.instances)+at)
			all.Go(func() {
				re := send(in.front, http.MethodPost, "/order/"+id, id, 3*time.Second, nil, "body")
				la.logReply(in, id, re)
				mu.Lock()
				defer mu.Unlock()
				statuses[id] = re.status
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	for id := range acks {
		la.worker(id).stop()
		la.log("%s has exited", id)
	}
	all.Wait()
	for worker, ack := range acks {
		for id, at := range la.arrivalsAt(worker) {
			if after := at.Sub(ack); after > lateTime {
				la.log("order %s reached %s %.3f s after its entry was removed, and was answered %d", id, worker, after.Seconds(), statuses[id])
				late++
				if statuses[id] != http.StatusOK {
					lost++
				}
			}
		}
	}
	return late, lost
}

// keptEntries counts the removals of workers' entries that instances have held back and not carried out since, by their logs.
func (la *lab) keptEntries() int {
	kept := 0
	for _, in := range la.instances {
		text, _ := os.ReadFile(in.settings + ".log")
		held := make(map[string]bool)
		for _, line := range strings.Split(string(text), "\n") {
			if _, after, ok := strings.Cut(line, "removal of key deferred"); ok {
				if _, id, ok := strings.Cut(after, "key=servers/"); ok {
					held[strings.Fields(id)[0]] = true
				}
			}
			if _, after, ok := strings.Cut(line, `"target removed"`); ok {
				if _, id, ok := strings.Cut(after, "target="); ok {
					delete(held, strings.Fields(id)[0])
				}
			}
		}
		kept += len(held)
	}
	return kept
}
