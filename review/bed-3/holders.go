//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutLength is how long the failure domain is cut off, and leaseMs and thawSlack are bounds of the sheets.
	cutLength = 30 * time.Second
	leaseMs   = 3 * time.Second
	thawSlack = 300 * time.Millisecond
)

// twoHolders has the only machine of a failure domain, which holds workers of the others, cut off for cutLength.
func twoHolders(wo *world) int {
	nw := newNetwork(wo)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for number := range 9 {
		zone := zones[1+number%2]
		ta := wo.addWorker(fmt.Sprintf("chat-%d", number), "chat", zone, "v1")
		nw.place(ta.address, zone)
	}
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, defaultRoutes()...)
	for number, zone := range zones {
		nw.addNode(number, zone, map[string]string{
			"region": "region-of-" + zone, "zones.zone-a": "region-of-zone-a", "zones.zone-b": "region-of-zone-b", "zones.zone-c": "region-of-zone-c",
		})
	}
	// The machine of zone-a starts first, as after a restart of the others, and holds the workers.
	first := wo.instances[0]
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
	var answers [3][6]atomic.Int64
	done := make(chan struct{})
	var load sync.WaitGroup
	var number atomic.Int64
	for at, in := range wo.instances {
		load.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(8 * time.Millisecond):
				}
				go func() {
					an := ask(in.front, request{
						path: "/ask/x", id: fmt.Sprintf("r%d", number.Add(1)), adapter: fmt.Sprintf("%s/a%d", model, 1+rand.IntN(3000)),
						tokens: "600,70", deadline: 1500 * time.Millisecond,
					})
					answers[at][an.status/100].Add(1)
				}()
			}
		})
	}
	time.Sleep(6 * time.Second)
	wo.record.say("zone-a is cut off: %v", wo.trouble)
	if wo.trouble {
		nw.cutOff("zone-a", true)
	}
	time.Sleep(cutLength)
	healed := time.Now()
	if wo.trouble {
		nw.cutOff("zone-a", false)
	}
	wo.record.say("healed")
	time.Sleep(8 * time.Second)
	close(done)
	load.Wait()
	time.Sleep(2 * time.Second)
	for at, in := range wo.instances {
		wo.record.say("%s: %d answered 2xx, %d 4xx, %d 5xx, %d without an answer", in.name, answers[at][2].Load(), answers[at][4].Load(),
			answers[at][5].Load(), answers[at][0].Load())
	}
	return judgeHolders(wo, healed)
}

// judgeHolders applies the rule ONE to the orders that have reached the workers.
func judgeHolders(wo *world, healed time.Time) int {
	faults := 0
	for _, ta := range wo.workers {
		ta.mu.Lock()
		orders := slices.Clone(ta.orders)
		ta.mu.Unlock()
		var last order
		highest := order{}
		byHolder := map[string]int{}
		for _, od := range orders {
			byHolder[od.holder]++
			since := od.at.Sub(healed)
			excused := since > -thawSlack && since < thawSlack
			switch {
			case excused:
			case od.fence < highest.fence:
				faults++
				wo.record.say("%s: order of %s with epoch %d came %.3f s after the heal, %.3f s after one of %s with epoch %d", ta.id, od.holder,
					od.fence, since.Seconds(), od.at.Sub(highest.at).Seconds(), highest.holder, highest.fence)
			case last.holder != "" && last.holder != od.holder && od.at.Sub(last.at) < leaseMs:
				faults++
				wo.record.say("%s: order of %s %.3f s after one of %s", ta.id, od.holder, od.at.Sub(last.at).Seconds(), last.holder)
			}
			if od.fence >= highest.fence {
				highest = od
			}
			last = od
			wo.record.line("%s order of %s epoch %d %s status %d, %.3f s after the heal", ta.id, od.holder, od.fence, od.op, od.status, since.Seconds())
		}
		wo.record.line("%s orders by holder: %v", ta.id, byHolder)
		fmt.Println(ta.id, byHolder)
	}
	if faults > 0 {
		wo.record.say("BROKEN: %d orders of two holders", faults)
		return broken
	}
	wo.record.say("held")
	return held
}
