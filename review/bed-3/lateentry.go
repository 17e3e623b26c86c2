//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

// lateWrite loses the answer to the next write of an instance's own entry, and has the store do it later.
type lateWrite struct {
	wo    *world
	key   string
	delay time.Duration
	armed atomic.Bool
	// arrived is closed when the write has arrived, and done when the store has done it.
	arrived chan struct{}
	done    chan struct{}
}

// take takes a call; it returns false for all others.
func (lw *lateWrite) take(r *http.Request) bool {
	if r.URL.Path != "/-/kv-txn" || !lw.armed.Load() {
		return false
	}
	text, err := io.ReadAll(r.Body)
	must(err)
	r.Body = io.NopCloser(bytes.NewReader(text))
	var tx struct{ Puts []struct{ Key string } }
	if json.Unmarshal(text, &tx) != nil || len(tx.Puts) != 1 || tx.Puts[0].Key != lw.key || !lw.armed.CompareAndSwap(true, false) {
		return false
	}
	lw.wo.record.say("the write of %s arrives and is not answered", lw.key)
	close(lw.arrived)
	time.AfterFunc(lw.delay, func() {
		answer := httptest.NewRecorder()
		lw.wo.store.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/-/kv-txn", bytes.NewReader(text)))
		lw.wo.record.say("the store does that write after %.1f s: status %d", lw.delay.Seconds(), answer.Code)
		close(lw.done)
	})
	return true
}

// lateEntry has a machine's process killed twice in a row while the store loses answers: the first process's write of its entry
// is done after the second process has written its own.
func lateEntry(wo *world) int {
	nw := newNetwork(wo)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for number := range 12 {
		wo.addWorker(fmt.Sprintf("chat-%d", number), "chat", []string{"zone-a", "zone-a", "zone-a", "zone-a", "zone-b", "zone-c"}[number%6], "v1")
	}
	wo.configure(1, []map[string]any{tenant("good", key, 0)}, defaultRoutes()...)
	for number, zone := range zones {
		nw.addNode(number, zone, nil)
	}
	if !wo.startAll() {
		return unable
	}
	finish := askForAdapters(wo, 10*time.Millisecond)
	time.Sleep(8 * time.Second)
	in := wo.instances[0]
	in.settle("bootstrap", "false")
	late := &lateWrite{
		wo: wo, key: "lovagebank/instances/" + in.ip, delay: 4 * time.Second, arrived: make(chan struct{}), done: make(chan struct{}),
	}
	nw.late = late
	late.armed.Store(wo.trouble)
	wo.record.say("%s is killed", in.name)
	in.kill()
	time.Sleep(500 * time.Millisecond)
	in.start()
	if wo.trouble {
		select {
		case <-late.arrived:
		case <-time.After(10 * time.Second):
			wo.record.say("no write of the entry")
			return unable
		}
	}
	time.Sleep(200 * time.Millisecond)
	wo.record.say("%s is killed again", in.name)
	in.kill()
	time.Sleep(500 * time.Millisecond)
	in.start()
	if !in.awaitReady(10 * time.Second) {
		return unable
	}
	wo.record.say("%s is ready", in.name)
	back := time.Now()
	time.Sleep(30 * time.Second)
	finish()
	time.Sleep(time.Second)
	for line := range strings.Lines(readLog(in)) {
		for _, word := range []string{"registered", "claim failed", "target lost", "lease ended"} {
			if strings.Contains(line, word) {
				wo.record.line("%s: %s", in.name, strings.TrimSpace(line))
			}
		}
	}
	return judgeHolders(wo, back)
}
