//go:build review

package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// newTime is how long the new version has been serving beside the old one when the operator adds the route, and killAfter how much later a
	// machine is killed.
	newTime   = 6 * time.Second
	killAfter = 5 * time.Second
	// longEvents is the number of events of a stream: it lasts for 12 s.
	longEvents = 240
)

// split plays a route that gets a more specific one beside it while workers of two versions of the software serve, and a machine that is killed
// some seconds later. Requesters take up the streams that this has broken off, once, at the other machine.
func split(la *lab, trouble bool) (bool, error) {
	askPath, askDeadline, askEvents = "/ask/long/", 15*time.Second, longEvents
	for number := range 2 {
		if _, err := la.addWorker(fmt.Sprintf("i-old%d", number), "asesor", "zone-"+string(rune('a'+number%2)), true, 64, versionedStream); err != nil {
			return false, err
		}
	}
	general := route("ask", "/ask/", "stream", "asesor", 15000, 2, true)
	if err := la.configure(1, general); err != nil {
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
	la.log("two workers with v1 serve")
	time.Sleep(5 * time.Second)
	for number := range 3 {
		if _, err := la.addWorkerOf("v2", fmt.Sprintf("i-new%d", number), "asesor", "zone-"+string(rune('a'+number%2)), true, 64, versionedStream); err != nil {
			return false, err
		}
	}
	la.log("three workers with v2 serve beside them")
	began := time.Now()
	var all sync.WaitGroup
	all.Go(func() {
		time.Sleep(newTime)
		if err := la.configure(2, general, route("ask-long", "/ask/long/", "stream", "asesor", 15000, 2, true)); err != nil {
			la.log("not configured: %v", err)
		}
		la.log("the operator has added the route /ask/long/")
		time.Sleep(killAfter)
		if trouble {
			la.log("%s is killed", la.instances[0].name)
			la.instances[0].kill()
		}
	})
	var mu sync.Mutex
	mixed := 0
	counts := map[string]int{}
	for number := 0; time.Since(began) < newTime+killAfter; number++ {
		time.Sleep(time.Second / 10)
		number := number
		all.Go(func() {
			kind, versions := takeLong(la, la.instances[0], la.instances[1], number)
			mu.Lock()
			defer mu.Unlock()
			counts[kind]++
			if len(versions) > 1 {
				mixed++
			}
		})
	}
	all.Wait()
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		la.log("%5d streams: %s", counts[kind], kind)
	}
	la.log("%d streams hold events from workers of two versions", mixed)
	return mixed > 2, nil
}

// takeLong asks an instance for a stream and, if that breaks off, takes it up at another one.
func takeLong(la *lab, in, other *instance, number int) (kind string, versions map[string]int) {
	id, again := fmt.Sprintf("%016x", 0x5c41d07b00000000+number), fmt.Sprintf("%016x", 0x6c41d07b00000000+number)
	began, sentAt := time.Now(), time.Since(la.began)
	versions, last, status, err := readStream(in.front, id, "", 0, askDeadline)
	la.mu.Lock()
	ran := strings.Join(la.runs[id], ",")
	la.mu.Unlock()
	la.log("stream %s to %s at %.3f s: status %d, %v events, last %d, %v; run by [%s]", id, in.name, sentAt.Seconds(), status, versions, last, err, ran)
	switch {
	case last == longEvents:
		return "whole at once", versions
	case last == 0:
		return fmt.Sprintf("none, status %d", status), versions
	}
	time.Sleep(100 * time.Millisecond)
	more, lastMore, statusMore, errMore := readStream(other.front, again, id, last, askDeadline-time.Since(began))
	first := maps.Clone(versions)
	for version, count := range more {
		versions[version] += count
	}
	la.mu.Lock()
	ran = strings.Join(la.runs[again], ",")
	la.mu.Unlock()
	la.log("stream %s: %v events; %s took it up after event %d at %s: status %d, %v events, last %d, %v; run by [%s]",
		id, first, again, last, other.name, statusMore, more, lastMore, errMore, ran)
	return fmt.Sprintf("broken off, then status %d, whole %v, versions %d", statusMore, lastMore == longEvents, len(versions)), versions
}
