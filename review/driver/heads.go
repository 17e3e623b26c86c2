//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamAnswer sends a few events over a tenth of a second or, in trouble, a head without end.
func streamAnswer(wo *worker, w http.ResponseWriter, r *http.Request) {
	if wo.trouble.Load() {
		endlessHead(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= 8; number++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(12 * time.Millisecond)
	}
}

// manyFields are the first lines of a head: fields with short names and no values.
var manyFields = func() []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	text := []byte("HTTP/1.1 200 OK\r\n")
	for number := 0; len(text) < headBytes; number++ {
		name := []byte{letters[number%len(letters)]}
		for rest := number / len(letters); rest > 0; rest /= len(letters) + 1 {
			name = append(name, letters[(rest-1)%(len(letters)+1)%len(letters)])
		}
		text = append(append(text, name...), ':', '\n')
	}
	return text
}()

// headBytes is what a worker in trouble sends of a head at once.
const headBytes = 63000

// endlessHead sends a head without end, of many short lines: the first ones at once, the others slowly.
func endlessHead(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(manyFields); err != nil {
		return
	}
	for number := 0; ; number++ {
		time.Sleep(50 * time.Millisecond)
		if _, err := conn.Write([]byte("z:\n")); err != nil {
			return
		}
	}
}

const (
	// spell is how long the workers are in trouble at a time, and spells how often.
	spell  = 6500 * time.Millisecond
	spells = 4
	// headStreams is the number of streams a second at each machine.
	headStreams = 62
	// endsToBreak is the number of ends of a machine's processes, and machinesToBreak that of such machines, that break the rule.
	endsToBreak     = 3
	machinesToBreak = 2
)

// heads plays workers in trouble that answer with a head without end.
func heads(la *lab, trouble bool) (bool, error) {
	var workers []*worker
	for number := range 12 {
		wo, err := la.addWorker(fmt.Sprintf("i-engine%d", number), "asesor", "zone-"+string(rune('a'+number%3)), true, 64, streamAnswer)
		if err != nil {
			return false, err
		}
		workers = append(workers, wo)
	}
	if err := la.configure(1, route("ask", "/ask/", "stream", "asesor", 5000, 1, false)); err != nil {
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
	stop := time.Now().Add(4*time.Second + spells*(spell+4500*time.Millisecond))
	var platform sync.WaitGroup
	done := make(chan struct{})
	ends := make([]int, len(la.instances))
	for at, in := range la.instances {
		platform.Go(func() { ends[at] = enforceMemory(la, in, done) })
	}
	if trouble {
		go func() {
			time.Sleep(4 * time.Second)
			for range spells {
				setTrouble(la, workers, true)
				time.Sleep(spell)
				setTrouble(la, workers, false)
				time.Sleep(4500 * time.Millisecond)
			}
		}()
	}
	var requests sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	ticker := time.NewTicker(time.Second / headStreams)
	defer ticker.Stop()
	for number := 0; time.Now().Before(stop); {
		<-ticker.C
		for _, in := range la.instances {
			number++
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+number)
			requests.Go(func() {
				header := http.Header{"Model-Name": {"m0"}, "Token-Counts": {"600,80"}}
				re := send(in.front, "POST", "/ask/"+id, id, 5*time.Second, header, strings.Repeat("b", 1300))
				la.logReply(in, id, re)
				mu.Lock()
				defer mu.Unlock()
				counts[replyKind(re)]++
			})
		}
	}
	requests.Wait()
	close(done)
	platform.Wait()
	la.log("answers: %v", counts)
	machines := 0
	for at, in := range la.instances {
		la.log("%s: the platform ended %d of its processes for their memory", in.name, ends[at])
		if ends[at] >= endsToBreak {
			machines++
		}
	}
	return machines >= machinesToBreak, nil
}

// replyKind names the kind of an answer for the record.
func replyKind(re reply) string {
	switch {
	case re.err == nil && re.status == http.StatusOK:
		return "whole"
	case re.err != nil && re.status == 0 && re.took > 4900*time.Millisecond:
		return "none by the deadline"
	case re.err != nil:
		return "connection closed"
	default:
		return strconv.Itoa(re.status)
	}
}

func setTrouble(la *lab, workers []*worker, trouble bool) {
	for _, wo := range workers {
		wo.trouble.Store(trouble)
	}
	la.log("the workers are in trouble: %v", trouble)
}

// enforceMemory ends the process of an instance once it exceeds the memory of its machine, and starts it again, as the platform does. It
// returns how often.
func enforceMemory(la *lab, in *instance, done chan struct{}) int {
	const limit = memoryMb << 20
	ends, logged := 0, time.Now()
	for {
		select {
		case <-done:
			return ends
		case <-time.After(50 * time.Millisecond):
		}
		now, peak := in.memoryMB()
		if time.Since(logged) > time.Second {
			logged = time.Now()
			la.log("%s holds %.0f MB (1e6 bytes), at most %.0f", in.name, now, peak)
		}
		if now*1e6 <= limit {
			continue
		}
		la.log("%s holds %.0f MB (1e6 bytes), over its %d MiB: the platform ends it", in.name, now, memoryMb)
		ends++
		in.kill()
		time.Sleep(500 * time.Millisecond)
		if err := in.start(); err != nil {
			la.log("%s not started: %v", in.name, err)
			return ends
		}
	}
}

// memoryMb is limits.memoryMb of the small deployments' machines.
const memoryMb = 284
