package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a suspected part with the crashes that it may have caused.
type candidate struct {
	part Part
	// crashes are sorted by time.
	crashes  []*crash
	moments  int
	requests int
	// begun is true if an answer has begun on the part, before the crashes.
	begun bool
}

// candidates returns the suspects of the crashes, those with the most crashes first. Crashes before the last begun answer do not
// count against a part.
func (pa *Parts) candidates(crashes []*crash) []candidate {
	byPart := make(map[Part]*candidate)
	for _, cr := range crashes {
		for pt := range cr.suspects {
			begunAt := pa.begunAt(pt)
			if !cr.at.After(begunAt) {
				continue
			}
			ca, ok := byPart[pt]
			if !ok {
				ca = &candidate{part: pt, begun: !begunAt.IsZero()}
				byPart[pt] = ca
			}
			ca.crashes = append(ca.crashes, cr)
		}
	}
	candidates := make([]candidate, 0, len(byPart))
	for _, ca := range byPart {
		ca.summarise()
		candidates = append(candidates, *ca)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	return candidates
}

// summarise counts the moments of the crashes and the requests with the part.
func (ca *candidate) summarise() {
	requests := make(map[uint32]bool)
	var momentAt time.Time
	for _, cr := range ca.crashes {
		requests[cr.suspects[ca.part]] = true
		if momentAt.IsZero() || cr.at.Sub(momentAt) > momentSpan {
			momentAt = cr.at
			ca.moments++
		}
	}
	ca.requests = len(requests)
}

// sufficient reports whether the evidence suffices for a verdict.
func (ca candidate) sufficient() bool {
	if ca.begun {
		return ca.moments >= minMomentsBegun
	}
	enough := len(ca.crashes) >= minCrashes && ca.requests >= minRequests || len(ca.crashes) >= minCrashesOneRequest
	return enough && ca.moments >= minMoments
}

// inseparable reports whether the evidence against two parts is the same.
func (ca candidate) inseparable(other candidate) bool {
	return ca.begun == other.begun && slices.Equal(ca.crashes, other.crashes)
}

// likeliestCause returns the candidate that explains the most crashes; false if the evidence suffices against none, or does not tell
// which of several parts it is.
func likeliestCause(candidates []candidate) (candidate, bool) {
	var undecided []candidate
	for _, ca := range candidates {
		if !ca.sufficient() || slices.ContainsFunc(undecided, ca.overlaps) {
			continue
		}
		rival := slices.ContainsFunc(candidates, func(other candidate) bool {
			return len(other.crashes) == len(ca.crashes) && !other.begun && !other.inseparable(ca) && other.overlaps(ca)
		})
		if rival && len(ca.crashes) < minCrashesOneRequest {
			undecided = append(undecided, ca)
			continue
		}
		return ca, true
	}
	return candidate{}, false
}

// furtherCause returns a candidate for crashes that verdicts explain: several parts may crash targets at the same time, and then requests
// with each of them are at most crashes. It has to be at many while other answers begin, as most parts are at most crashes when all
// targets crash again and again.
func (pa *Parts) furtherCause(candidates []candidate) (candidate, bool) {
	for _, ca := range candidates {
		first := ca.crashes[0]
		if !ca.begun && len(ca.crashes) >= minCrashesExplained && ca.sufficient() && !pa.inVerdict(ca.part) &&
			first.countsAt.IsZero() && pa.begunAnswers-first.begunBefore >= minBegunMeanwhile {
			return ca, true
		}
	}
	return candidate{}, false
}

// overlaps reports whether both candidates may have caused the same crash.
func (ca candidate) overlaps(other candidate) bool {
	return slices.ContainsFunc(ca.crashes, func(cr *crash) bool { return slices.Contains(other.crashes, cr) })
}
