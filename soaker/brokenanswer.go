package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lovagebank/emulator"
)

const (
	// brokenAnswers is the number in the fault log under which times are recorded in which targets answer without framing.
	brokenAnswers = -2
	// ambiguousAnswers is the number under which times are recorded in which such answers may end between two events.
	ambiguousAnswers = -3
	// meanBrokenGap is the mean time between two times in which the answers of targets break off.
	meanBrokenGap = 3 * time.Second
	// minBrokenTime and maxBrokenTime bound how long they do.
	minBrokenTime = time.Second
	maxBrokenTime = 3 * time.Second
	// tellInterval is the interval between the streams that are asked for beside, which may not be resumed.
	tellInterval = 20 * time.Millisecond
	// brokenSeed makes the random sequence of the broken answers independent of the other faults of the same seed.
	brokenSeed = 7 << 32
)

// wholePromise is the promise that broken answers put to the test.
const wholePromise = "an answer that looks whole is right"

// PlanBrokenAnswers returns the times of a seed in which answers of targets break off, sorted by start.
func PlanBrokenAnswers(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, brokenSeed)) //nolint:gosec // a seed must reproduce its plan
	var plan []Fault
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * meanBrokenGap))) {
		lasts := minBrokenTime + time.Duration(random.Int64N(int64(maxBrokenTime-minBrokenTime)))
		plan = append(plan, Fault{
			Start: at.Round(time.Millisecond), Duration: lasts.Round(time.Millisecond), Kind: KindBrokenAnswer, Subject: random.IntN(1 << 16),
		})
	}
	return plan
}

// breakAnswers makes answers end as the subject selects, for a time: those of one engine and one application, or those of all engines if
// the end concerns the rest of a stream that has broken off.
func (so *Soaker) breakAnswers(fa Fault) {
	end := emulator.AnswerEnd(1 + fa.Subject%(int(emulator.AnswerEnds)-1))
	engines, applications := so.targets()
	at := fa.Subject / int(emulator.AnswerEnds)
	struck := []string{engines[at%len(engines)]}
	switch end {
	case emulator.EndAsText, emulator.EndAsRepeat:
		struck = engines
	case emulator.EndUnframedInEvent, emulator.EndUnframedBetweenEvents:
		// A part of an application's answer cannot be told from the whole.
	default:
		struck = append(struck, applications[at%len(applications)])
	}
	defer so.faults.begin(brokenAnswers)()
	if end == emulator.EndUnframedBetweenEvents {
		defer so.faults.begin(ambiguousAnswers)()
	}
	for _, id := range struck {
		if ta := so.fleet.Target(id); ta != nil {
			ta.EndAnswers(end)
			defer ta.EndAnswers(emulator.EndWhole)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), fa.Duration)
	defer stop()
	so.callers.tell(ctx, fa.Subject)
}

// targets returns the IDs of the engines and of the applications.
func (so *Soaker) targets() (engines, applications []string) {
	for _, id := range so.fleet.TargetIDs() {
		if strings.HasPrefix(id, "engine-") {
			engines = append(engines, id)
		} else {
			applications = append(applications, id)
		}
	}
	return engines, applications
}

// tell asks for streams that may not be resumed until the context ends, in both versions of HTTP, and records the answers.
func (ca *callers) tell(ctx context.Context, subject int) {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() { ca.tellOne(fmt.Sprintf("t%d-%d", subject, number), number) })
		}
	}
}

func (ca *callers) tellOne(id string, number int) {
	an := answer{id: id, path: "/tell/1", instance: number % len(ca.addresses), key: ca.currentKey(), started: time.Now()}
	adapter := fmt.Sprintf("a%d", number%2)
	call := emulator.Call{Path: an.path, ID: an.id, Key: an.key, Adapter: adapter, Deadline: requestDeadline, Framed: &an.framed}
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+lateTolerance)
	defer cancel()
	var text string
	if number%4 == 0 {
		an.status, text, an.sendErr = call.SendOld(ctx, ca.addresses[an.instance])
	} else {
		an.status, text, an.sendErr = call.Send(ctx, ca.client, ca.addresses[an.instance])
	}
	an.ended = time.Now()
	ca.recordText(an, adapter, text)
}

// endsBetweenEvents reports whether a text is the beginning of an adapter's stream, up to the end of an event.
func endsBetweenEvents(adapter, text string) bool {
	text, _ = emulator.SplitStream(text)
	return adapter != "" && strings.HasSuffix(text, "\n\n") && strings.HasPrefix(emulator.CompleteStream(adapter, streamEvents), text)
}

// mayBePart reports whether an answer may be a part of the right one although it looks whole: only the end of the connection marked its
// end, and a target has closed one between two events, which nobody can tell from the end of its stream.
func (ch *checker) mayBePart(an answer) bool {
	return !an.framed && an.partial && ch.faults.overlaps(ambiguousAnswers, an.started, an.ended)
}

// checkFraming checks that answers without framing come only while targets send such.
func (ch *checker) checkFraming(an answer) {
	if an.status == 0 || an.framed || strings.HasPrefix(an.path, "/tell/") {
		return
	}
	ch.expect("answers have a length or chunks", ch.faults.overlaps(brokenAnswers, an.started, an.ended), an.id)
}
