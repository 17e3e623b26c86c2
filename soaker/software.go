package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lovagebank/emulator"
)

// softwareVersions are the versions of the engines' software. All of them serve from the start.
var softwareVersions = []string{"v1", "v2"}

const (
	// streamEvents is the number of events of each stream, enough for faults to break streams off.
	streamEvents = 20
	// maxTakeUps limits the tries to take a stream up again, and takeUpPause is the pause before each.
	maxTakeUps  = 6
	takeUpPause = 300 * time.Millisecond
)

const (
	// meanSoftwareGap is the mean time between two replacements of an engine.
	meanSoftwareGap = 3 * time.Second
	// softwareSeed makes the random sequence of the replacements independent of the other faults of the same seed.
	softwareSeed = 4 << 32
	// replacementNumbers is added to the number of the engine that is replaced first; the new ones have IDs of their own.
	replacementNumbers = 100
)

// PlanSoftwareChanges returns the replacements of engines of a seed, sorted by start.
func PlanSoftwareChanges(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, softwareSeed)) //nolint:gosec // a seed must reproduce its plan
	var changes []Fault
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * meanSoftwareGap))) {
		changes = append(changes, Fault{Start: at.Round(time.Millisecond), Kind: KindSoftwareChange, Subject: random.IntN(1 << 16)})
	}
	return changes
}

// changeSoftware replaces an engine by a new one with a version of the software that the subject selects.
func (so *Soaker) changeSoftware(fa Fault) {
	var engines []string
	for _, id := range so.fleet.TargetIDs() {
		if strings.HasPrefix(id, "engine-") {
			engines = append(engines, id)
		}
	}
	so.mu.Lock()
	so.replacements++
	number := replacementNumbers + so.replacements
	so.mu.Unlock()
	software := softwareVersions[fa.Subject%len(softwareVersions)]
	so.expectInjected("a new engine", so.fleet.AddEngine(number, software))
	so.fleet.RemoveTarget(engines[fa.Subject/len(softwareVersions)%len(engines)])
}

// takeUp takes a stream up again that broke off, each time at the next instance, and records how its events do not fit together.
func (ca *callers) takeUp(an answer, adapter, text string) {
	for try := 1; try <= maxTakeUps; try++ {
		last, whole := emulator.LastEvent(text)
		if last == "" {
			return
		}
		time.Sleep(takeUpPause)
		more := answer{
			id: fmt.Sprintf("%s-%d", an.id, try), path: an.path, instance: (an.instance + try) % len(ca.addresses), key: ca.currentKey(),
		}
		call := emulator.Call{
			Path: more.path, ID: more.id, Key: more.key, Adapter: adapter, Deadline: requestDeadline, LastEvent: last, Resumes: an.id,
		}
		rest := ca.sendCall(&more, call)
		if more.status == 200 && rest != "" && !strings.HasPrefix(rest, "id: ") && !strings.HasPrefix(rest, "software: ") {
			// A target has answered with a text, whose type is not that of a stream.
			more.status = 0
		}
		if more.status != 0 && more.status != 200 || !strings.Contains(rest, "id: ") {
			rest = ""
		}
		text = whole + rest
		if _, versions := emulator.SplitStream(text); len(versions) > 1 {
			ca.recordJoined(fmt.Sprintf("%s was taken up as %s and has events of %v", an.id, more.id, versions))
		}
		if more.status == 200 {
			if more.framed || !endsBetweenEvents(adapter, text) {
				ca.recordTakenUp(answerMismatch(an, adapter, text))
			}
			return
		}
	}
}

// recordJoined records a stream with events of several versions.
func (ca *callers) recordJoined(what string) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.joined = append(ca.joined, what)
}

// recordTakenUp records a stream that was taken up and came to its end, and how its body is wrong; empty if it is right.
func (ca *callers) recordTakenUp(mismatch string) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.takenUp++
	if mismatch != "" {
		ca.joined = append(ca.joined, mismatch)
	}
}

// checkStreams checks the streams that broke off and were taken up again, and those that went on within one answer.
func (ch *checker) checkStreams() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.callers.mu.Lock()
	defer ch.callers.mu.Unlock()
	const promise = "a stream holds the events of one software version"
	ch.checkCounts[promise] += ch.callers.takenUp
	for _, what := range ch.callers.joined {
		ch.expect(promise, false, what)
	}
}
