//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// drainTime is bounds.drainMs, and leavingServe how long after the store has accepted its leaving the worker serves: that and a little longer.
	drainTime    = 2 * time.Second
	leavingServe = 3 * time.Second
	// cutInterval is the time between two cuts of the waiting watches.
	cutInterval = 1500 * time.Millisecond
)

// cutWatches removes the entry of a worker that leaves without a word, as pages allow, while the store cuts watches that are waiting. Nothing
// else is wrong. Requests that are sent later than drainMs after the store's ack must not reach that worker.
func cutWatches(wo *world, trouble bool) (int, error) {
	var workers []*worker
	for number, zone := range []string{"gt-central-a", "gt-central-b", "gt-central-c"} {
		wk, err := wo.addWorker(fmt.Sprintf("i-bodega%d", number), "bodega", zone, 6, false, 1200*time.Millisecond)
		if err != nil {
			return 0, err
		}
		workers = append(workers, wk)
	}
	if err := wo.configure(1); err != nil {
		return 0, err
	}
	zones := []string{"gt-central-a", "gt-central-b", "gt-central-c"}
	if err := wo.addEntries(map[string]int{zones[0]: 2, zones[1]: 1, zones[2]: 1}, zones...); err != nil {
		return 0, err
	}
	// Calm for longer than contactMs, so that all machines are in touch and the store is stable.
	time.Sleep(6 * time.Second)
	single := os.Getenv("CUTS") == "1"
	stop := make(chan struct{})
	var cutting sync.WaitGroup
	if trouble {
		cutting.Go(func() {
			for {
				wo.record.line("the store cuts the watches that wait: %d so far", wo.gate.cutAll())
				select {
				case <-stop:
					return
				case <-time.After(cutInterval):
				}
				if single {
					return
				}
			}
		})
	}
	if single {
		time.Sleep(100 * time.Millisecond)
	} else {
		time.Sleep(4 * time.Second)
	}
	gone := workers[0]
	gone.leaving.Store(true)
	wo.store.Remove("servers/" + gone.id)
	acked := time.Now()
	wo.record.line("the store has removed the entry of %s, which leaves", gone.id)
	// No requests until the bound has passed, as in a quiet minute: an answer would tell that the worker leaves.
	results := make(map[string]string)
	var mu sync.Mutex
	var sending sync.WaitGroup
	sent := make(map[string]time.Time)
	for step := range 6 {
		time.Sleep(time.Until(acked.Add(drainTime + 60*time.Millisecond + time.Duration(step)*50*time.Millisecond)))
		for _, en := range wo.entries {
			id := fmt.Sprintf("%08x%08x", step, len(sent))
			sent[id] = time.Now()
			sending.Go(func() {
				result := orderWith(en.front, id, "hi")
				mu.Lock()
				defer mu.Unlock()
				results[id] = en.name + ": " + result
			})
		}
	}
	time.Sleep(time.Until(acked.Add(leavingServe)))
	gone.exit()
	wo.record.line("%s has ended", gone.id)
	sending.Wait()
	close(stop)
	cutting.Wait()
	code := held
	for _, wk := range workers {
		for _, ru := range wk.all() {
			at, ok := sent[ru.id]
			if !ok {
				continue
			}
			late := at.Sub(acked)
			wo.record.line("request %s, sent %d ms after the ack, ran at %s: %s; answer at %s", ru.id, late.Milliseconds(), wk.id, ru.ended, results[ru.id])
			if wk == gone && late > drainTime {
				code = broken
			}
		}
	}
	return code, nil
}
