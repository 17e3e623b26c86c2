package quarantiner

import "time"

const (
	// minSuspectCrashes is the number of crashes from which a part on which no answer has ever begun is likely to be what crashes targets,
	// though not yet condemned.
	minSuspectCrashes = 2
	// isolationTime is how long after a crash its suspects are isolated: by then the target is back and an answer has begun on the sound
	// ones, unless the target for them cannot be reached.
	isolationTime = 20 * time.Second
)

// Isolation is a part of a prompt that may crash targets: it was at crashes of late that no verdict explains, and no answer has ever begun
// on it. Requests with it should share one target until a verdict falls or an answer begins, so that it crashes no others.
type Isolation struct {
	NamedPart
	// Crashes is the number of these crashes.
	Crashes int
}

// Likely reports whether a request with the part should rather be refused than go to another target.
func (is Isolation) Likely() bool { return is.Crashes >= minSuspectCrashes }

// Isolation returns the one of a prompt's parts that is most likely to crash targets; without crashes if none is suspected.
func (pa *Parts) Isolation(parts []Part) Isolation {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	var worst Isolation
	for _, pt := range parts {
		count := pa.unexplainedCrashes(pt, isolationTime)
		if count > worst.Crashes || count == worst.Crashes && count > 0 && pt < worst.Part {
			worst = Isolation{NamedPart: NamedPart{Part: pt, Name: pa.names[pt]}, Crashes: count}
		}
	}
	return worst
}

// Suspected reports whether one of the parts was at several targets that have crashed, and has never begun. A request with such a
// part should not be sent to a further target within one attempt of its caller.
func (pa *Parts) Suspected(parts []Part) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	for _, pt := range parts {
		if pa.unexplainedCrashes(pt, crashRetention) >= minSuspectCrashes {
			return true
		}
	}
	return false
}

// unexplainedCrashes returns the number of crashes, not older than maxAge, that a part was at and that no verdict explains; none if an answer
// has ever begun on the part.
func (pa *Parts) unexplainedCrashes(pt Part, maxAge time.Duration) int {
	if !pa.begunAt(pt).IsZero() {
		return 0
	}
	count := 0
	for _, cr := range pa.crashes {
		if _, ok := cr.suspects[pt]; ok && !cr.withdrawn() && time.Since(cr.at) <= maxAge && !pa.explained(cr) {
			count++
		}
	}
	return count
}
