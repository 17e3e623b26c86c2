package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	KindPause             Kind = "pause"
	KindKill              Kind = "kill"
	KindStop              Kind = "stop"
	KindTargetCrash       Kind = "target-crash"
	KindStoreDown         Kind = "store-down"
	KindStoreLosesAnswers Kind = "store-loses-answers"
	KindStoreCompaction   Kind = "store-compacts"
	KindLeaseExpiry       Kind = "store-ends-leases"
	KindLinkDelay         Kind = "link-delay"
	KindLinkReset         Kind = "link-reset"
	KindLinkSilent        Kind = "link-silent"
	KindCutRequests       Kind = "link-cut-requests"
	KindCutAnswers        Kind = "link-cut-answers"
	KindKeyChange         Kind = "key-change"
	// KindStoreRollback is drawn beside the others, on request.
	KindStoreRollback Kind = "store-steps-back"
)

// kinds are those that a plan draws from.
var kinds = []Kind{
	KindPause, KindKill, KindStop, KindTargetCrash, KindStoreDown, KindStoreLosesAnswers, KindStoreCompaction, KindLeaseExpiry, KindLinkDelay, KindLinkReset,
	KindLinkSilent, KindCutRequests, KindCutAnswers, KindKeyChange,
}

// Fault is one fault of a plan.
type Fault struct {
	// Start is when it begins, counted from the begin of the faults, and For how long it lasts.
	Start    time.Duration
	Duration time.Duration
	// Kind says what happens.
	Kind Kind
	// Subject picks the instance, target or link that it happens to, modulo their number.
	Subject int
}

// String is the fault as a line of a report.
func (fa Fault) String() string {
	return fmt.Sprintf("%s at %v for %v, subject %d", fa.Kind, fa.Start, fa.Duration, fa.Subject)
}

const (
	// faultGap is the mean time between the begins of two faults; they last longer, so that they overlap.
	faultGap = 700 * time.Millisecond
	// leastFault and mostFault bound how long a fault lasts.
	leastFault = 300 * time.Millisecond
	mostFault  = 4 * time.Second
	// seriesShare is the share of faults that strike twice more, one after the other.
	seriesShare = 0.25
	seriesGap   = 500 * time.Millisecond
)

// Plan draws the faults of a seed, in the order of their begins.
func Plan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a seed has to give the same plan again
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least))).Round(time.Millisecond)
	}
	var plan []Fault
	for at := between(0, faultGap); at < length; at += between(faultGap/4, faultGap*7/4) {
		fa := Fault{Start: at, Duration: between(leastFault, mostFault), Kind: kinds[random.IntN(len(kinds))], Subject: random.IntN(1 << 16)}
		plan = append(plan, fa)
		if random.Float64() >= seriesShare {
			continue
		}
		for range 2 {
			fa.Start += seriesGap
			fa.Subject++
			plan = append(plan, fa)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Start - b.Start) })
	return plan
}

const (
	// stepGap is the mean time between two steps back of the store.
	stepGap = 5 * time.Second
	// stepSeed sets the draw of the steps back apart from that of the other faults of a seed.
	stepSeed = 1 << 32
)

// PlanRollbacks draws when the store comes back from an older copy, and how old that is, in the order of their begins.
func PlanRollbacks(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stepSeed)) //nolint:gosec // a seed has to give the same plan again
	var steps []Fault
	for at := time.Duration(random.Int64N(int64(stepGap))); at < length; at += stepGap/2 + time.Duration(random.Int64N(int64(stepGap))) {
		age := leastFault + time.Duration(random.Int64N(int64(mostFault-leastFault)))
		steps = append(steps, Fault{Start: at.Round(time.Millisecond), Duration: age.Round(time.Millisecond), Kind: KindStoreRollback})
	}
	return steps
}
