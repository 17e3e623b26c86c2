package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagebank/emulator"
)

const (
	// commonFaults is the number in the fault log under which faults of the store and of links are recorded. They may affect any
	// instance.
	commonFaults = -1
	// reachTime is how long an instance must have been without faults to be bound by verdicts on parts of prompts.
	reachTime = 3 * time.Second
	// partInterval is the number of streams among which one has a crashing part while there is one.
	partInterval = 8
	// subjectCount is the number of parts that streams share beside the one that all have.
	subjectCount = 5
)

const (
	// minPartTime and maxPartTime bound how long streams with a crashing part come. They go on after the last fault, so
	// that the rule binds all instances.
	minPartTime = 8 * time.Second
	maxPartTime = 14 * time.Second
	// calmPartTime is how long streams with the first part come at least after the last fault has begun: most faults
	// have ended by half of it, and the rule binds an instance reachTime later.
	calmPartTime = 14 * time.Second
	// partSeed makes the random sequence of the crashing parts independent of the other faults of the same seed.
	partSeed = 3 << 32
)

// PlanCrashingParts returns the crashing parts of a seed, sorted by start: one or two that begin at any moment.
func PlanCrashingParts(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, partSeed)) //nolint:gosec // a seed must reproduce its plan
	count := 1 + random.IntN(2)
	parts := make([]Fault, 0, count)
	for number := range count {
		at := time.Duration(random.Int64N(int64(length)))
		lasts := minPartTime + time.Duration(random.Int64N(int64(maxPartTime-minPartTime)))
		if number == 0 {
			// Streams with the first part still come when all faults have ended.
			at = (at + length) / 2
			lasts = max(lasts, length+calmPartTime-at)
		}
		parts = append(parts, Fault{
			Start: at.Round(time.Millisecond), Duration: lasts.Round(time.Millisecond), Kind: KindCrashingPart, Subject: random.IntN(1 << 16),
		})
	}
	return parts
}

// injectCrashingPart makes streams with one part, no two alike, crash the engines that begin an answer on it, for a time.
func (so *Soaker) injectCrashingPart(fa Fault) {
	part := fmt.Sprint("crashing-", fa.Subject)
	so.fleet.CrashOnPart(part)
	so.callers.setCrashingPart(part)
	time.Sleep(fa.Duration)
	so.callers.setCrashingPart("")
}

// promptParts returns the shared parts of the prompt of the stream with the given number, and whether one of them
// crashes engines.
func (ca *callers) promptParts(number int) (parts []string, crashing bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	parts = []string{"system", fmt.Sprint("subject-", number/2%subjectCount)}
	crashing = ca.crashingPart != "" && number%partInterval == 0
	if crashing {
		parts = append(parts, ca.crashingPart)
	}
	return parts, crashing
}

func (ca *callers) setCrashingPart(part string) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.crashingPart = part
}

// checkCrashingParts checks what reached the targets with parts that crash them.
func (ch *checker) checkCrashingParts() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	answers := make(map[string]answer)
	for _, an := range ch.callers.answersAfter(0) {
		answers[an.id] = an
	}
	for _, part := range ch.fleet.CrashingParts() {
		excess := ch.fleet.PartExcess(part, func(ar emulator.Arrival) bool {
			sender, ok := answers[ar.ID]
			from := ar.At.Add(-reachTime)
			return ok && !ch.faults.overlaps(sender.instance, from, ar.At) && !ch.faults.overlaps(commonFaults, from, ar.At)
		})
		ch.expect("requests with a part that crashes targets are refused", excess == "", excess)
	}
}
