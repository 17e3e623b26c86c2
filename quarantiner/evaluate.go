package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagebank/balancer"
)

const (
	// minCrashes is the number of crashes that condemn a part on which no answer has begun, by requests of at least minRequests
	// kinds; minCrashesOneRequest is that number where all crashes were of one request, which may crash targets for another
	// reason than its parts.
	minCrashes           = 3
	minRequests          = 2
	minCrashesOneRequest = 5
	// minCrashesExplained is the number of crashes that condemn a part on which no answer has begun, if verdicts on other parts explain
	// these crashes.
	minCrashesExplained = 5
	// minBegunMeanwhile is the number of answers that have to begin meanwhile at the instance that decides so.
	minBegunMeanwhile = 5
	// minMoments is the least number of moments at which the crashes took place, as many targets may crash at once for reasons of
	// their own. minMomentsBegun applies to a part on which answers had begun before.
	minMoments      = 2
	minMomentsBegun = 5
	// momentSpan is the time within which crashes count as of one moment.
	momentSpan = 50 * time.Millisecond
	// acquittalMargin is how much later than the first crash an answer has to have begun to acquit a part, as times reported by
	// peers are inexact.
	acquittalMargin = time.Second
	// maxVerdictParts limits the parts of one verdict.
	maxVerdictParts = 8
)

// Change is a change of the verdicts in force.
type Change struct {
	Verdict Verdict
	// InForce is true for a new verdict and false for one that has ended.
	InForce bool
	// Reason says why the verdict has ended.
	Reason string
	// Crashes is the number of crashes that led to a new verdict.
	Crashes int
}

// Reasons for the end of a verdict.
const (
	ReasonBegun  = "an answer has begun"
	ReasonUnused = "no request for long"
)

// Evaluate expires old evidence and decides which verdicts begin and end now.
func (pa *Parts) Evaluate() []Change {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(pa.crashes, func(_ balancer.Start, cr *crash) bool {
		expired := now.Sub(cr.at) > crashRetention
		pa.unsaved = pa.unsaved || expired
		return expired
	})
	changes := pa.endVerdicts(now)
	if pa.sequence == pa.evaluated && now.After(pa.unsettledUntil) {
		return changes
	}
	pa.evaluated = pa.sequence
	if len(pa.crashes) > 0 {
		changes = append(changes, pa.newVerdicts(now)...)
	} else {
		pa.dropUnsuspected()
	}
	return changes
}

// dropUnsuspected forgets what is known of parts that are no longer suspected.
func (pa *Parts) dropUnsuspected() {
	maps.DeleteFunc(pa.sound, func(pt Part, _ *soundness) bool { return !pa.suspected(pt) })
	maps.DeleteFunc(pa.names, func(pt Part, _ string) bool { return !pa.suspected(pt) })
}

// endVerdicts ends verdicts that have not been used for long, and takes parts on which an answer has begun out of the others.
func (pa *Parts) endVerdicts(now time.Time) []Change {
	var changes []Change
	for key, co := range pa.verdicts {
		if now.Sub(co.RefusedAt) > verdictRetention {
			delete(pa.verdicts, key)
			changes = append(changes, Change{Verdict: co.Verdict, Reason: ReasonUnused})
			continue
		}
		rest := co.without(func(pt Part) bool { return pa.begunAt(pt).Sub(co.Since) > acquittalMargin })
		if len(rest.Parts) == len(co.Parts) {
			continue
		}
		delete(pa.verdicts, key)
		changes = append(changes, Change{Verdict: co.Verdict, Reason: ReasonBegun})
		if len(rest.Parts) > 0 && pa.enforce(rest) {
			changes = append(changes, Change{Verdict: rest, InForce: true})
		}
	}
	return changes
}

// newVerdicts condemns the parts that explain the most crashes, until what is left does not suffice for a verdict. Then it condemns
// those that were at many crashes which verdicts on other parts explain.
func (pa *Parts) newVerdicts(now time.Time) []Change {
	var changes []Change
	for {
		candidates := pa.candidates(pa.settled(now, false))
		cause, ok := likeliestCause(candidates)
		if !ok {
			candidates = pa.candidates(pa.settled(now, true))
			cause, ok = pa.furtherCause(candidates)
		}
		if !ok {
			return changes
		}
		begun := pa.condemn(cause, candidates, now)
		if len(begun) == 0 {
			return changes
		}
		changes = append(changes, begun...)
	}
}

// condemn puts a verdict in force on a candidate together with those that crashes do not tell from it. If they are condemned together
// already and still at later crashes, each is condemned by itself.
func (pa *Parts) condemn(cause candidate, candidates []candidate, now time.Time) []Change {
	ve := Verdict{Since: cause.crashes[0].at, At: now, RefusedAt: now}
	for _, ca := range candidates {
		if ca.inseparable(cause) && len(ve.Parts) < maxVerdictParts {
			ve.Parts = append(ve.Parts, NamedPart{Part: ca.part, Name: pa.names[ca.part]})
		}
	}
	slices.SortFunc(ve.Parts, func(a, b NamedPart) int { return cmp.Compare(a.Part, b.Part) })
	verdicts := []Verdict{ve}
	if _, known := pa.verdicts[ve.Key()]; known {
		verdicts = ve.split()
	}
	var changes []Change
	for _, ve := range verdicts {
		if pa.enforce(ve) {
			changes = append(changes, Change{Verdict: ve, InForce: true, Crashes: len(cause.crashes)})
		}
	}
	return changes
}

// settled returns the crashes that count, sorted by time: those that no verdict explains, or those that one does.
func (pa *Parts) settled(now time.Time, explained bool) []*crash {
	var crashes []*crash
	for _, cr := range pa.crashes {
		if !cr.withdrawn() && now.Sub(cr.at) >= settleTime && !now.Before(cr.countsAt) && pa.explained(cr) == explained {
			crashes = append(crashes, cr)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return crashes
}

// explained reports whether a request that a verdict covers may have caused the crash.
func (pa *Parts) explained(cr *crash) bool {
	for _, co := range pa.verdicts {
		if co.explains(cr) {
			return true
		}
	}
	return false
}

// explains reports whether a request that the verdict covers may have caused a crash. Once a verdict on several parts is in force everywhere,
// that takes a request which tests it; otherwise each part was there in another request.
func (co *condemnation) explains(cr *crash) bool {
	first, one := cr.suspects[co.Parts[0].Part], true
	for _, np := range co.Parts {
		request, ok := cr.suspects[np.Part]
		if !ok {
			return false
		}
		one = one && request == first
	}
	return one || !cr.at.After(co.At.Add(settleTime))
}
