package soaker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagebank/emulator"
)

// Violation is a broken promise.
type Violation struct {
	// Promise is the name of the promise.
	Promise string
	// Detail describes the observation that breaks the promise.
	Detail string
}

// checker compares what callers and targets observed with the promises.
type checker struct {
	fleet   *emulator.Fleet
	callers *callers
	faults  *faultLog

	mu         sync.Mutex
	violations []Violation
	// recorded is the set of violations found so far, and checkCounts counts the checks by promise.
	recorded    map[string]bool
	checkCounts map[string]int
	// checkedRuns and checkedAnswers are the numbers of runs and answers that earlier checks covered.
	checkedRuns    int
	checkedAnswers int
	orderRuns      map[string]int
	refused        map[string]int
	// served holds each pair of key and instance for which a request succeeded. withdrawn holds the time at which the
	// instance first refused such a key.
	served    map[string]bool
	withdrawn map[string]time.Time
}

func newChecker(fl *emulator.Fleet, ca *callers, faults *faultLog) *checker {
	return &checker{
		fleet: fl, callers: ca, faults: faults, recorded: make(map[string]bool), checkCounts: make(map[string]int),
		orderRuns: make(map[string]int), refused: make(map[string]int), served: make(map[string]bool),
		withdrawn: make(map[string]time.Time),
	}
}

// expect counts a check of a promise and records a violation if the promise is not kept. Equal violations are recorded
// once. The caller holds the mutex.
func (ch *checker) expect(promise string, kept bool, what string) {
	ch.checkCounts[promise]++
	if kept || ch.recorded[promise+what] {
		return
	}
	ch.recorded[promise+what] = true
	ch.violations = append(ch.violations, Violation{Promise: promise, Detail: what})
}

// check evaluates all answers and runs since the previous check, and the state of the targets.
func (ch *checker) check() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	answers := ch.callers.answersAfter(ch.checkedAnswers)
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
		ch.expect("no target is ordered beyond its slots", ta.MaxAdapters() <= emulator.AdapterSlots,
			fmt.Sprintf("%s held %d", id, ta.MaxAdapters()))
		ch.expect("no order of a superseded holder takes effect", ta.StaleOrders() == 0,
			fmt.Sprintf("%s took %d", id, ta.StaleOrders()))
	}
}

func (ch *checker) checkAnswer(an answer) {
	ch.expect(wholePromise, an.mismatch == "" || ch.mayBePart(an), an.mismatch)
	ch.checkFraming(an)
	faulted := ch.faults.overlaps(an.instance, an.started, an.ended)
	ch.expect("a request ends by its deadline", !an.late() || faulted,
		fmt.Sprintf("%s at instance %d took %v: status %d, %v", an.id, an.instance, an.ended.Sub(an.started), an.status, an.sendErr))
	if strings.HasPrefix(an.path, "/order/") && an.refusedAsNotRun() {
		ch.refused[an.id] = an.status
		ch.expect("what is refused as not run has not run", ch.orderRuns[an.id] == 0,
			fmt.Sprintf("%s was refused with %d", an.id, an.status))
	}
	ch.checkKey(an)
}

// checkKey detects an instance that serves a key again after refusing it, which means that its configuration reverted.
func (ch *checker) checkKey(an answer) {
	key := fmt.Sprintf("%s at instance %d", an.key, an.instance)
	at, withdrawn := ch.withdrawn[key]
	switch an.status {
	case http.StatusOK:
		ch.served[key] = true
		reverted := withdrawn && an.started.After(at) && !ch.faults.overlaps(an.instance, time.Time{}, an.ended)
		ch.expect("a configuration never reverts", !reverted, an.id+" was served with "+key)
	case http.StatusUnauthorized:
		if ch.served[key] && !withdrawn {
			ch.withdrawn[key] = an.ended
		}
	}
}

func (ch *checker) checkRun(ru emulator.Run) {
	ch.expect("no target sees a key", !ru.ReceivedKey, ru.ID)
	ch.checkRegion(ru)
	ch.expect("a request runs for its own organisation", ru.Organisation == "sample", ru.ID+" "+ru.Organisation)
	if !strings.HasPrefix(ru.Path, "/order/") {
		return
	}
	ch.orderRuns[ru.ID]++
	ch.expect("an order runs once", ch.orderRuns[ru.ID] == 1, ru.ID)
	ch.expect("what is refused as not run has not run", ch.refused[ru.ID] == 0, fmt.Sprintf("%s ran after its refusal", ru.ID))
}

// expectLocking counts a check made outside the checker and records a violation if the promise is not kept.
func (ch *checker) expectLocking(promise string, kept bool, what string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.expect(promise, kept, what)
}

// faultLog records the time spans in which each instance was stopped, paused or replaced.
type faultLog struct {
	mu    sync.Mutex
	spans map[int][]span
}

type span struct{ from, to time.Time }

// begin records the start of a fault of an instance; the returned function records its end.
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

// anyOverlaps reports whether a fault of any instance, of the store or of a link overlaps the span between from and to.
func (fl *faultLog) anyOverlaps(from, to time.Time) bool {
	fl.mu.Lock()
	instances := slices.Collect(maps.Keys(fl.spans))
	fl.mu.Unlock()
	return slices.ContainsFunc(instances, func(instance int) bool { return fl.overlaps(instance, from, to) })
}

// overlaps reports whether a fault of the instance overlaps the span between from and to.
func (fl *faultLog) overlaps(instance int, from, to time.Time) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, sp := range fl.spans[instance] {
		if sp.from.Before(to) && (sp.to.IsZero() || sp.to.After(from)) {
			return true
		}
	}
	return false
}
