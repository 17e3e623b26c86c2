package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"lovagebank/emulator"
)

const (
	// cutTime is how long the instances of a failure domain are cut off from all targets, and cutNotice the time from
	// its beginning after which their callers have to be served.
	cutTime   = 7 * time.Second
	cutNotice = 3 * time.Second
	// registerTime is the time that instances need to read entries that have been written again.
	registerTime = 2 * time.Second
	// calmCutDelay is the time from the last moment at which faults begin to the last cut, by which most of them have ended.
	calmCutDelay = 6 * time.Second
	// calmReachDelay is the time from there to the last leaving and the last brittle time, after the last cut.
	calmReachDelay = calmCutDelay + registerTime + cutTime + 4*time.Second
	// meanLeaveGap is the mean time between two targets that leave, and leaveTime how long one goes on serving.
	meanLeaveGap = 4 * time.Second
	leaveTime    = 5 * time.Second
	// minBrittleTime and maxBrittleTime bound how long the applications are brittle, and calmTime is how long an
	// instance must have been without faults to be bound by that and by leavings.
	minBrittleTime = 6 * time.Second
	maxBrittleTime = 10 * time.Second
	calmTime       = 3 * time.Second
	// reachSeed makes the random sequence of the cuts, leavings and brittle times independent of the other faults of
	// the same seed.
	reachSeed = 5 << 32
)

// PlanReach returns the faults of a seed that concern who reaches which targets: cuts of a failure domain, targets that
// leave, and times in which the applications are brittle. One of each comes when the other faults have ended.
func PlanReach(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, reachSeed)) //nolint:gosec // a seed must reproduce its plan
	upTo := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most))).Round(time.Millisecond)
	}
	cut := []Kind{KindCutReset, KindCutNew}
	plan := []Fault{
		{Start: upTo(length), Duration: cutTime, Kind: cut[random.IntN(len(cut))], Subject: random.IntN(1 << 16)},
		{Start: length + calmCutDelay, Duration: cutTime, Kind: cut[random.IntN(len(cut))], Subject: random.IntN(1 << 16)},
		{Start: upTo(length), Duration: minBrittleTime + upTo(maxBrittleTime-minBrittleTime), Kind: KindBrittle, Subject: random.IntN(1 << 16)},
		{Start: length + calmReachDelay, Duration: minBrittleTime, Kind: KindBrittle, Subject: 0},
		{Start: length + calmReachDelay, Duration: leaveTime, Kind: KindTargetLeave, Subject: random.IntN(1 << 16)},
	}
	for at := upTo(meanLeaveGap); at < length; at += upTo(2 * meanLeaveGap) {
		plan = append(plan, Fault{Start: at, Duration: leaveTime, Kind: KindTargetLeave, Subject: random.IntN(1 << 16)})
	}
	return plan
}

// linkDomain makes a link from the instances of a failure domain to a target, or redirects the one that there is.
func (so *Soaker) linkDomain(tp emulator.TargetPath) error {
	so.mu.Lock()
	defer so.mu.Unlock()
	key := tp.Domain + "/" + tp.Target
	if li, ok := so.domainLinks[key]; ok {
		li.SetTarget(tp.To)
		return nil
	}
	li, err := newLinkAt(tp.Listen, tp.To)
	if err != nil {
		return err
	}
	so.domainLinks[key] = li
	return nil
}

// linksOf returns the links from the instances of a failure domain to all targets.
func (so *Soaker) linksOf(domain string) []*link {
	so.mu.Lock()
	defer so.mu.Unlock()
	var links []*link
	for key, li := range so.domainLinks {
		if strings.HasPrefix(key, domain+"/") {
			links = append(links, li)
		}
	}
	return links
}

// cutDomain cuts the instances of a failure domain off from all targets: new connections are refused, open ones reset or not.
func (so *Soaker) cutDomain(fa Fault) {
	domain := fa.Subject % emulator.DefaultZones
	if fa.Start > so.op.FaultPeriod {
		// Other faults, which replace targets, have ended.
		so.expectInjected("targets registered again", so.fleet.Reregister())
		time.Sleep(registerTime)
	}
	links := so.linksOf(so.fleet.Zone(domain))
	began := time.Now()
	for _, li := range links {
		so.expectInjected("cut", li.SetRefusing(true))
		if fa.Kind == KindCutReset {
			li.SetReset(true)
		}
	}
	time.Sleep(fa.Duration)
	ended := time.Now()
	for _, li := range links {
		li.SetReset(false)
		so.expectInjected("end of a cut", li.SetRefusing(false))
	}
	so.checker.checkCut(domain, began.Add(cutNotice), ended)
}

// checkCut compares the first tries of callers at the instances of a failure domain that was cut off from the targets
// with those at the others. It counts only where nothing else went wrong meanwhile.
func (ch *checker) checkCut(domain int, from, to time.Time) {
	time.Sleep(requestDeadline)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for instance := commonFaults; instance < len(ch.callers.addresses); instance++ {
		if ch.faults.overlaps(instance, from.Add(-cutNotice), to) {
			return
		}
	}
	var cutServed, cutAll, otherServed, others int
	for _, an := range ch.callers.answersAfter(0) {
		served := 0
		if an.status == http.StatusOK {
			served = 1
		}
		switch {
		case an.crashing || an.started.Before(from) || an.started.After(to):
		case an.instance%emulator.DefaultZones == domain:
			cutServed, cutAll = cutServed+served, cutAll+1
		default:
			otherServed, others = otherServed+served, others+1
		}
	}
	what := fmt.Sprintf("%d of %d first tries at cut instances, %d of %d at the others", cutServed, cutAll, otherServed, others)
	ch.expect("instances cut from all targets serve", !emulator.CutExcess(cutServed, cutAll, otherServed, others), what)
}

// makeBrittle makes the applications brittle for a time.
func (so *Soaker) makeBrittle(fa Fault) {
	most, room := 2+fa.Subject%3, 1+fa.Subject/3%2
	apply := func(change func(ta *emulator.Target)) {
		for _, id := range so.fleet.TargetIDs() {
			if ta := so.fleet.Target(id); strings.HasPrefix(id, "application") && ta != nil {
				change(ta)
			}
		}
	}
	apply(func(ta *emulator.Target) { ta.SetBrittle(most, room) })
	time.Sleep(fa.Duration)
	falls, applications := 0, 0
	apply(func(ta *emulator.Target) {
		applications++
		for _, at := range ta.Falls() {
			if !so.faults.anyOverlaps(at.Add(-calmTime), at) {
				falls++
			}
		}
		ta.EndBrittle()
	})
	so.checker.expectLocking("brittle targets stay up", !emulator.FallsExcess(falls, applications),
		fmt.Sprintf("%d applications that bear %d rejections a second fell %d times", applications, most, falls))
}

// leaveTarget replaces a target by a new one: the old one leaves, and serves on for a while.
func (so *Soaker) leaveTarget(fa Fault) {
	so.mu.Lock()
	so.replacements++
	number := replacementNumbers + so.replacements
	so.mu.Unlock()
	ids := so.fleet.TargetIDs()
	id := ids[fa.Subject/8%len(ids)]
	ta := so.fleet.Target(id)
	if ta == nil {
		return
	}
	zone := so.fleet.Zone(number)
	if so.op.Places {
		// Each region keeps an application, which requests that may not leave it need.
		zone = ta.Zone()
	}
	if strings.HasPrefix(id, "engine") {
		so.expectInjected("a new engine", so.fleet.AddEngine(number, softwareVersions[number%len(softwareVersions)]))
	} else {
		so.expectInjected("a new application", so.fleet.AddTarget(fmt.Sprint("application-", number), "applications", false, zone))
	}
	if fa.Subject%3 == 0 {
		ta.AnnounceLeaving()
		time.Sleep(fa.Duration / 4)
	}
	// Another fault may have removed the target meanwhile.
	if fa.Subject%3 == 1 || so.fleet.Drain(id) != nil {
		so.fleet.Deregister(id)
	}
	time.Sleep(fa.Duration)
	so.checker.checkLeft(ta)
	so.fleet.RemoveTarget(id)
}

// checkLeft checks what reached a target more than two seconds after it left, from instances that had no faults since.
func (ch *checker) checkLeft(ta *emulator.Target) {
	late, leftAt := ta.LateArrivals()
	ch.mu.Lock()
	defer ch.mu.Unlock()
	senders := make(map[string]answer)
	for _, an := range ch.callers.answersAfter(0) {
		senders[an.id] = an
	}
	counted := 0
	for _, ar := range late {
		an, answered := senders[ar.ID]
		if answered && !ch.faults.anyOverlaps(leftAt.Add(-calmTime), ar.At) && an.instance >= 0 {
			counted++
		}
	}
	ch.expect("no request reaches a target that has left", counted == 0,
		fmt.Sprintf("%d requests reached it more than 2 s after %v", counted, leftAt))
}
