package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovagebank/emulator"
)

// Violation is a broken promise.
type Violation struct {
	// Promise names it.
	Promise string
	// Detail was seen.
	Detail string
}

// checker holds what callers and targets saw against the promises.
type checker struct {
	fleet   *emulator.Fleet
	callers *callers
	faults  *faultLog

	mu         sync.Mutex
	violations []Violation
	known      map[string]bool
	checked    map[string]int
	// checkedRuns and checkedAnswers are how many were looked at before.
	checkedRuns    int
	checkedAnswers int
	orderRuns      map[string]int
	refused        map[string]int
	// served are the keys that each instance has served, and withdrawn when it first refused one of these.
	served    map[string]bool
	withdrawn map[string]time.Time
}

func newChecker(fl *emulator.Fleet, ca *callers, faults *faultLog) *checker {
	return &checker{
		fleet: fl, callers: ca, faults: faults, known: make(map[string]bool), checked: make(map[string]int),
		orderRuns: make(map[string]int), refused: make(map[string]int), served: make(map[string]bool),
		withdrawn: make(map[string]time.Time),
	}
}

// expect counts a check of a promise, and notes a violation once.
func (ch *checker) expect(promise string, kept bool, what string) {
	ch.checked[promise]++
	if kept || ch.known[promise+what] {
		return
	}
	ch.known[promise+what] = true
	ch.violations = append(ch.violations, Violation{Promise: promise, Detail: what})
}

// check looks at all that happened since the last look.
func (ch *checker) check() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	answers := ch.callers.since(ch.checkedAnswers)
	runs := ch.fleet.Runs()
	for _, an := range answers {
		ch.checkAnswer(an)
	}
	for _, ru := range runs[ch.checkedRuns:] {
		ch.checkRun(ru)
	}
	ch.checkedAnswers += len(answers)
	ch.checkedRuns = len(runs)
	for _, id := range ch.fleet.TargetIDs() {
		ta := ch.fleet.Target(id)
		ch.expect("no target is ordered beyond its slots", ta.MaxAdapters() <= emulator.AdapterSlots, fmt.Sprintf("%s held %d", id, ta.MaxAdapters()))
		ch.expect("no order of a superseded holder takes effect", ta.StaleOrders() == 0, fmt.Sprintf("%s took %d", id, ta.StaleOrders()))
	}
}

func (ch *checker) checkAnswer(an answer) {
	ch.expect("an answer that looks whole is right", an.wrong == "", an.wrong)
	spared := ch.faults.touched(an.instance, an.begun, an.ended)
	ch.expect("a request ends by its deadline", !an.late() || spared, fmt.Sprintf("%s at instance %d took %v: status %d, %v", an.id, an.instance, an.ended.Sub(an.begun), an.status, an.broken))
	if strings.HasPrefix(an.path, "/order/") && an.refusedAsNotRun() {
		ch.refused[an.id] = an.status
		ch.expect("what is refused as not run has not run", ch.orderRuns[an.id] == 0, fmt.Sprintf("%s was refused with %d", an.id, an.status))
	}
	ch.checkKey(an)
}

// checkKey looks for an instance that refused a key which it had served, and then serves it again.
func (ch *checker) checkKey(an answer) {
	key := fmt.Sprintf("%s at instance %d", an.key, an.instance)
	at, withdrawn := ch.withdrawn[key]
	switch an.status {
	case http.StatusOK:
		ch.served[key] = true
		reverted := withdrawn && an.begun.After(at) && !ch.faults.touched(an.instance, time.Time{}, an.ended)
		ch.expect("a configuration never reverts", !reverted, an.id+" was served with "+key)
	case http.StatusUnauthorized:
		if ch.served[key] && !withdrawn {
			ch.withdrawn[key] = an.ended
		}
	}
}

func (ch *checker) checkRun(ru emulator.Run) {
	ch.expect("no target sees a key", !ru.ReceivedKey, ru.ID)
	ch.expect("a request runs for its own organisation", ru.Organisation == "sample", ru.ID+" "+ru.Organisation)
	if !strings.HasPrefix(ru.Path, "/order/") {
		return
	}
	ch.orderRuns[ru.ID]++
	ch.expect("an order runs once", ch.orderRuns[ru.ID] == 1, ru.ID)
	ch.expect("what is refused as not run has not run", ch.refused[ru.ID] == 0, fmt.Sprintf("%s ran after its refusal", ru.ID))
}

// note adds a violation that was seen elsewhere.
func (ch *checker) note(promise string, kept bool, what string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.expect(promise, kept, what)
}

// faultLog remembers when each instance was stopped, paused or replaced.
type faultLog struct {
	mu    sync.Mutex
	spans map[int][]span
}

type span struct{ from, to time.Time }

// begin notes a fault of an instance; the returned function ends it.
func (fl *faultLog) begin(instance int) func() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	index := len(fl.spans[instance])
	fl.spans[instance] = append(fl.spans[instance], span{from: time.Now()})
	return func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.spans[instance][index].to = time.Now()
	}
}

// touched tells whether an instance had a fault in a time.
func (fl *faultLog) touched(instance int, from, to time.Time) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, sp := range fl.spans[instance] {
		if sp.from.Before(to) && (sp.to.IsZero() || sp.to.After(from)) {
			return true
		}
	}
	return false
}
