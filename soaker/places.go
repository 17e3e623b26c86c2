package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lovagebank/emulator"
)

const (
	// KindEvacuation is a failure domain that the operator evacuates. PlanPlaces draws it and KindCold separately from
	// the other kinds, on request.
	KindEvacuation Kind = "evacuation"
	// KindCold is a target that becomes cold again.
	KindCold Kind = "cold"
)

const (
	// minEvacuationTime and maxEvacuationTime bound how long a failure domain is evacuated. An evacuation binds 5 s
	// after it was asked for.
	minEvacuationTime = 7 * time.Second
	maxEvacuationTime = 10 * time.Second
	// coldTime is how long a target is cold again, and meanColdGap the mean time between two that become so.
	coldTime    = 6 * time.Second
	meanColdGap = 4 * time.Second
	// calmPlacesDelay is the time from the last moment at which faults begin to the last evacuation, after the last brittle time.
	calmPlacesDelay = calmReachDelay + minBrittleTime + 2*time.Second
	// returnTime is the time after a revocation in which the load returns, before a target crashes and another one becomes cold.
	returnTime = 5 * time.Second
	// contactTime is how long an instance has to have been without faults to be in contact.
	contactTime = 4 * time.Second
	// placesSeed makes the random sequence of these faults independent of the other faults of the same seed.
	placesSeed = 6 << 32
)

// PlanPlaces returns the evacuations and the targets that become cold of a seed. One of each comes when the other
// faults have ended, with a target that crashes.
func PlanPlaces(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, placesSeed)) //nolint:gosec // a seed must reproduce its plan
	upTo := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most))).Round(time.Millisecond)
	}
	calm := length + calmPlacesDelay
	plan := []Fault{
		{
			Start: upTo(length), Duration: minEvacuationTime + upTo(maxEvacuationTime-minEvacuationTime),
			Kind: KindEvacuation, Subject: random.IntN(1 << 16),
		},
		{Start: calm, Duration: minEvacuationTime, Kind: KindEvacuation, Subject: random.IntN(1 << 16)},
		{Start: calm + minEvacuationTime + returnTime, Kind: KindTargetCrash, Subject: random.IntN(1 << 16)},
		{Start: calm + minEvacuationTime + returnTime, Duration: coldTime, Kind: KindCold, Subject: random.IntN(1 << 16)},
	}
	for at := upTo(meanColdGap); at < length; at += upTo(2 * meanColdGap) {
		plan = append(plan, Fault{Start: at, Duration: coldTime, Kind: KindCold, Subject: random.IntN(1 << 16)})
	}
	return plan
}

// evacuate evacuates a failure domain for a time.
func (so *Soaker) evacuate(fa Fault) {
	domain := so.fleet.Zone(fa.Subject % emulator.DefaultZones)
	so.expectInjected("evacuation", so.fleet.Evacuate(domain))
	time.Sleep(fa.Duration)
	so.fleet.Revoke(domain)
}

// becomeCold makes a target cold, whose entry says so for every second subject. Another fault may have removed the
// target meanwhile.
func (so *Soaker) becomeCold(fa Fault) {
	ids := so.fleet.TargetIDs()
	if err := so.fleet.BecomeCold(ids[fa.Subject/2%len(ids)], fa.Duration, fa.Subject%2 == 0); err != nil {
		so.op.Progress(err.Error())
	}
}

// checkPlaces checks what reached evacuated failure domains and cold targets, from instances in contact.
func (ch *checker) checkPlaces() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	senders := make(map[string]answer)
	for _, an := range ch.callers.answersAfter(0) {
		senders[an.id] = an
	}
	inContact := func(id string, since, until time.Time) bool {
		an, ok := senders[id]
		return ok && !ch.faults.overlaps(an.instance, since, until) && !ch.faults.overlaps(commonFaults, since, until)
	}
	const evacuated = "no request reaches an evacuated failure domain"
	ch.checkCounts[evacuated]++
	for _, lr := range ch.fleet.LateRequests() {
		if inContact(lr.ID, lr.At.Add(-contactTime), lr.At) {
			ch.expect(evacuated, false, fmt.Sprintf("%s reached %s in %s %v after the evacuation", lr.ID, lr.Target, lr.Domain, lr.After))
		}
	}
	for _, id := range ch.fleet.TargetIDs() {
		if ta := ch.fleet.Target(id); ta != nil {
			excess := ta.ColdExcess(func(ar emulator.Arrival) bool { return inContact(ar.ID, ar.At.Add(-contactTime), ar.At) })
			ch.expect("cold targets get no more than they tolerate", excess == "", excess)
		}
	}
}

// checkRegion checks that a run stays in the regions allowed to its route.
func (ch *checker) checkRegion(ru emulator.Run) {
	if strings.HasPrefix(ru.Path, emulator.LocalPath) && ru.Region != "" {
		ch.expect("requests stay in their regions", ru.Region == emulator.LocalRegion, ru.ID+" ran in "+ru.Region)
	}
}
