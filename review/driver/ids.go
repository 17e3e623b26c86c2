//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// idBytes is the length of the client's request IDs: with it, a header stays below the configuration's limit of 16,384 bytes.
	idBytes = 15000
	// idRate is the number of requests a second of the client, and idTime how long it goes on.
	idRate = 200
	idTime = 95 * time.Second
)

// shortStream sends two events.
func shortStream(_ *worker, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
}

// ids plays a client whose requests for short resumable streams bear long IDs of their own.
func ids(la *lab, trouble bool) (bool, error) {
	for number := range 4 {
		if _, err := la.addWorker(fmt.Sprintf("i-engine%d", number), "asesor", "zone-"+string(rune('a'+number%2)), true, 64, shortStream); err != nil {
			return false, err
		}
	}
	if err := la.configure(1, route("ask", "/ask/", "stream", "asesor", 5000, 2, true)); err != nil {
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
	in := la.instances[0]
	length := 16
	if trouble {
		length = idBytes
	}
	la.log("the client sends %d requests a second to %s, each with an ID of %d bytes", idRate, in.name, length)
	var platform sync.WaitGroup
	done := make(chan struct{})
	ends := 0
	platform.Go(func() { ends = enforceMemory(la, in, done) })
	var requests sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	ticker := time.NewTicker(time.Second / idRate)
	defer ticker.Stop()
	number := 0
	for began := time.Now(); time.Since(began) < idTime; number++ {
		<-ticker.C
		number := number
		id := fmt.Sprintf("%016x", number)
		id += strings.Repeat("0", length-len(id))
		requests.Go(func() {
			header := http.Header{"Model-Name": {"m0"}, "Token-Counts": {"10,10"}}
			re := send(in.front, "POST", "/ask/1", id, 5*time.Second, header, "b")
			if number%200 == 0 || re.err != nil || re.status != http.StatusOK {
				la.logReply(in, id, re)
			}
			mu.Lock()
			defer mu.Unlock()
			counts[replyKind(re)]++
		})
	}
	requests.Wait()
	close(done)
	platform.Wait()
	la.log("%d requests; answers: %v", number, counts)
	la.log("%s: the platform ended %d of its processes for their memory", in.name, ends)
	return ends > 0, nil
}
