package quarantiner

import "time"

// probeDelays are the times from a verdict to the first requests that test it. Each further one waits twice as long as the one before,
// the first of them for laterProbeDelay.
var probeDelays = []time.Duration{time.Second, 4 * time.Second, 10 * time.Second}

const (
	laterProbeDelay = 10 * time.Minute
	// denseTime is the longest time from the first crash to the verdict for which the first test takes place. If crashes are rarer, a
	// part that crashes targets has done so long ago, and a sound part is rarely at several crashes.
	denseTime = 4 * time.Second
)

// ProbeDue reports whether a request may be let through now to test a verdict.
func (ve Verdict) ProbeDue() bool {
	probes := ve.Probes
	if ve.At.Sub(ve.Since) > denseTime {
		probes++
	}
	if probes < len(probeDelays) {
		return time.Since(ve.At) >= probeDelays[probes]
	}
	return time.Since(ve.At) >= laterProbeDelay<<min(probes-len(probeDelays), 10)
}

// StartProbe registers a request of this instance that is to test the verdict with the given key; false if there is another one. The
// returned function ends that.
func (pa *Parts) StartProbe(key string) (stop func(), ok bool) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	co, ok := pa.verdicts[key]
	if !ok || co.probing {
		return nil, false
	}
	co.probing = true
	return func() {
		pa.mu.Lock()
		defer pa.mu.Unlock()
		co.probing = false
	}, true
}

// Probed records that a request is let through to test the verdict with the given key, as one of the given number.
func (pa *Parts) Probed(key string, probes int) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if co, ok := pa.verdicts[key]; ok && probes > co.Probes {
		co.Probes, co.changed = probes, pa.next()
	}
}
