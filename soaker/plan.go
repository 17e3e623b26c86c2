package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault, by the names that reports print.
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
	// KindStoreRollback is a store rollback. PlanRollbacks draws it separately from the other kinds, on request.
	KindStoreRollback Kind = "store-steps-back"
	// KindRateLimit is a target that names a rate limit. PlanRateLimits draws it separately from the other kinds.
	KindRateLimit Kind = "target-rate-limit"
	// KindCrashingPart is a part of prompts that crashes engines. PlanCrashingParts draws it separately from the other kinds.
	KindCrashingPart Kind = "crashing-part"
	// KindSoftwareChange is an engine that is replaced by one with another version of the software. PlanSoftwareChanges draws it
	// separately from the other kinds.
	KindSoftwareChange Kind = "software-change"
	// KindCutReset and KindCutNew cut the instances of a failure domain off from all targets; KindCutNew leaves open
	// connections alone. KindBrittle makes applications brittle, and KindTargetLeave is a target that leaves. PlanReach
	// draws them separately from the others.
	KindCutReset    Kind = "cut-reset"
	KindCutNew      Kind = "cut-new"
	KindBrittle     Kind = "brittle"
	KindTargetLeave Kind = "target-leave"
	// KindMisuse is a time in which clients that keep to no limits call an instance. PlanMisuse draws it separately
	// from the others.
	KindMisuse Kind = "misbehaving-clients"
	// KindBrokenAnswer is a time in which answers of targets break off, or have no framing. PlanBrokenAnswers draws it separately
	// from the other kinds.
	KindBrokenAnswer Kind = "broken-answers"
	// KindDamagedAnswer is a time in which answers of targets are none, or come before their request has been read.
	// PlanDamagedAnswers draws it separately from the other kinds.
	KindDamagedAnswer Kind = "damaged-answers"
	// KindUneven gives engines unequal speeds. PlanUneven draws it separately from the other kinds.
	KindUneven Kind = "uneven"
)

// kinds are the kinds from which Plan draws.
var kinds = []Kind{
	KindPause, KindKill, KindStop, KindTargetCrash, KindStoreDown, KindStoreLosesAnswers, KindStoreCompaction, KindLeaseExpiry, KindLinkDelay, KindLinkReset,
	KindLinkSilent, KindCutRequests, KindCutAnswers, KindKeyChange,
}

// Fault is one planned fault.
type Fault struct {
	// Start is the start of the fault, relative to the start of the run. Duration is its duration.
	Start    time.Duration
	Duration time.Duration
	// Kind is the kind of fault.
	Kind Kind
	// Subject selects the affected instance, target or link: its index is Subject modulo their number.
	Subject int
	// Rate is the rate limit that a target names, in requests a second; 0 for other faults.
	Rate float64
}

// String formats the fault as one line for the progress output.
func (fa Fault) String() string {
	return fmt.Sprintf("%s at %v for %v, subject %d", fa.Kind, fa.Start, fa.Duration, fa.Subject)
}

const (
	// meanFaultGap is the mean time between the starts of two faults. Most faults last longer, so that they overlap.
	meanFaultGap = 700 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// repeatShare is the share of faults that repeat twice, at intervals of repeatInterval, on the next subjects.
	repeatShare    = 0.25
	repeatInterval = 500 * time.Millisecond
)

// Plan returns the faults of a seed, sorted by start. The length bounds the start of the first fault of each series.
func Plan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a seed must reproduce its plan
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least))).Round(time.Millisecond)
	}
	var plan []Fault
	for at := between(0, meanFaultGap); at < length; at += between(meanFaultGap/4, meanFaultGap*7/4) {
		fa := Fault{
			Start: at, Duration: between(minFaultDuration, maxFaultDuration),
			Kind: kinds[random.IntN(len(kinds))], Subject: random.IntN(1 << 16),
		}
		plan = append(plan, fa)
		if random.Float64() >= repeatShare {
			continue
		}
		for range 2 {
			fa.Start += repeatInterval
			fa.Subject++
			plan = append(plan, fa)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Start - b.Start) })
	return plan
}

const (
	// meanRollbackGap is the mean time between two store rollbacks.
	meanRollbackGap = 5 * time.Second
	// rollbackSeed makes the random sequence of the rollbacks independent of the other faults of the same seed.
	rollbackSeed = 1 << 32
)

// PlanRollbacks returns the store rollbacks of a seed, sorted by start. Each copies the store at the time Start and
// restores the copy after Duration, which is its age. The length bounds the start of the rollbacks.
func PlanRollbacks(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, rollbackSeed)) //nolint:gosec // a seed must reproduce its plan
	var rollbacks []Fault
	for at := time.Duration(random.Int64N(int64(meanRollbackGap))); at < length; at += meanRollbackGap/2 + time.Duration(random.Int64N(int64(meanRollbackGap))) {
		age := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		rollbacks = append(rollbacks, Fault{Start: at.Round(time.Millisecond), Duration: age.Round(time.Millisecond), Kind: KindStoreRollback})
	}
	return rollbacks
}

const (
	// meanRateLimitGap is the mean time between the starts of two rate limits; some fall on a target that names one already.
	meanRateLimitGap = 3 * time.Second
	// minRateLimitTime and maxRateLimitTime bound how long a target names one limit. A limit binds some seconds after
	// it was named.
	minRateLimitTime = 2 * time.Second
	maxRateLimitTime = 14 * time.Second
	// maxRateLimit is the largest limit, in requests a second.
	maxRateLimit = 6.0
	// rateLimitSeed makes the random sequence of the rate limits independent of the other faults of the same seed.
	rateLimitSeed = 2 << 32
)

// PlanRateLimits returns the rate limits of a seed, sorted by start. The length bounds their start.
func PlanRateLimits(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, rateLimitSeed)) //nolint:gosec // a seed must reproduce its plan
	var limits []Fault
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * meanRateLimitGap))) {
		lasts := minRateLimitTime + time.Duration(random.Int64N(int64(maxRateLimitTime-minRateLimitTime)))
		limits = append(limits, Fault{
			Start: at.Round(time.Millisecond), Duration: lasts.Round(time.Millisecond), Kind: KindRateLimit,
			Subject: random.IntN(1 << 16), Rate: random.Float64() * maxRateLimit,
		})
	}
	return limits
}
