// Package profiler estimates how the engines of a service perform, from the answers that pass through the instance and from the
// state updates of peers: the prefill time per prompt token, the time between the events of a stream without prefills, and
// whether prefills make streams pause for longer than promised. It performs no I/O.
package profiler

import (
	"math"
	"sync"
	"time"
)

const (
	// timeConstant is the time in which the weight of a sample decays to 1/e. It is long because engines hardly change.
	timeConstant = 2 * time.Minute
	// maxFirstAnswer is the longest time to the beginning of an answer that counts as a sample. A longer one is a sign of a
	// fault.
	maxFirstAnswer = 1500 * time.Millisecond
	// maxPauseRatio is the longest pause that is attributed to prefills, as a multiple of the promised pause. A longer one is a
	// sign of a fault.
	maxPauseRatio = 2.0
	// baseGapQuantile is the quantile of the times between events that is taken as the time without prefills. baseGapStep is the
	// fraction by which the estimate moves with each event.
	baseGapQuantile = 0.25
	baseGapStep     = 0.02
	// Prefills are limited once the share of late streams exceeds limitAbove, until it falls below releaseBelow.
	limitAbove   = 0.06
	releaseBelow = 0.01
	// priorStreams is the number of streams that count as on time in addition to those observed.
	priorStreams = 30
	// budgetShare is the prefill budget as a share of the time that a promised pause leaves for prefills. The rest is a margin,
	// as engines and links are uneven.
	budgetShare = 0.8
	// minBudgetShare is the lowest prefill budget, as a share of the promised pause.
	minBudgetShare = 0.2
)

// Pace limits how closely prompts may follow each other at an engine.
type Pace struct {
	// Prefill is the prefill time of the prompt.
	Prefill time.Duration
	// Window is the longest pause promised between the events of a stream.
	Window time.Duration
	// Budget is how long the engine may prefill within any window.
	Budget time.Duration
}

// Profiler keeps the estimates of each service. It is safe for concurrent use.
type Profiler struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	local     Sums
	decayedAt time.Time
	peers     map[string]Sums
	// total adds up the local sums, as of their last change, and the sums of the peers.
	total   Sums
	baseGap time.Duration
	// limited is set while prefills are limited to prevent long pauses.
	limited bool
}

// New returns a profiler without samples.
func New() *Profiler { return &Profiler{services: make(map[string]*service)} }

func (pr *Profiler) service(name string) *service {
	sv, ok := pr.services[name]
	if !ok {
		sv = &service{peers: make(map[string]Sums)}
		pr.services[name] = sv
	}
	return sv
}

// RecordFirstAnswer records how long an engine without waiting requests took to begin an answer to a prompt of the given number of
// tokens.
func (pr *Profiler) RecordFirstAnswer(name string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 || took > maxFirstAnswer {
		return
	}
	length, ms := float64(tokens), float64(took)/float64(time.Millisecond)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.service(name).addSample(Sums{
		Prompts: 1, Tokens: length, Took: ms, TokensSquared: length * length, TookSquared: ms * ms, TokensTook: length * ms,
	})
}

// RecordGap records the time between two events of a stream.
func (pr *Profiler) RecordGap(name string, pause time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sv := pr.service(name)
	if sv.baseGap == 0 {
		sv.baseGap = pause
		return
	}
	step := baseGapStep * float64(sv.baseGap)
	if pause < sv.baseGap {
		sv.baseGap -= time.Duration(step * (1 - baseGapQuantile))
	} else {
		sv.baseGap += time.Duration(step * baseGapQuantile)
	}
}

// RecordStream records the longest pause of a stream that has ended, and the longest pause that was promised. Streams that were
// promised none or that paused for far longer are ignored.
func (pr *Profiler) RecordStream(name string, longest, promised time.Duration) {
	if promised <= 0 || float64(longest) > maxPauseRatio*float64(promised) {
		return
	}
	sample := Sums{Streams: 1}
	if longest > promised {
		sample.Late = 1
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.service(name).addSample(sample)
}

// addSample adds a sample to the instance's own sums.
func (sv *service) addSample(sample Sums) {
	now := time.Now()
	sv.decay(now)
	sv.local.add(sample, 1)
	sv.total.add(sample, 1)
}

// decay reduces the weight of the instance's own sums by their age.
func (sv *service) decay(now time.Time) {
	if !sv.decayedAt.IsZero() {
		before := sv.local
		sv.local = Sums{}
		sv.local.add(before, math.Exp(-now.Sub(sv.decayedAt).Seconds()/timeConstant.Seconds()))
		sv.total.add(before, -1)
		sv.total.add(sv.local, 1)
	}
	sv.decayedAt = now
}

// Pace returns how closely a prompt of the given number of tokens may follow others at an engine of a service whose streams are
// promised no pause longer than promised. It is false if prefills need no limit, or if there are too few samples.
func (pr *Profiler) Pace(name string, tokens int, promised time.Duration) (Pace, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sv := pr.service(name)
	if promised <= 0 || !sv.mustLimit() {
		return Pace{}, false
	}
	perToken, ok := sv.total.perToken()
	if !ok {
		return Pace{}, false
	}
	busy := budgetShare * float64(promised-sv.baseGap)
	return Pace{
		Prefill: time.Duration(tokens) * perToken,
		Window:  promised,
		Budget:  time.Duration(max(busy, minBudgetShare*float64(promised))),
	}, true
}

// FirstAnswer returns how long an engine without waiting requests is expected to take until it begins to answer a prompt of the given
// number of tokens, and the prefill time of one of them. It is false if there are too few samples.
func (pr *Profiler) FirstAnswer(name string, tokens int) (took, perToken time.Duration, ok bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	su := &pr.service(name).total
	perToken, ok = su.perToken()
	if !ok {
		return 0, 0, false
	}
	mean := time.Duration(su.Took / su.Prompts * float64(time.Millisecond))
	return mean + time.Duration((float64(tokens)-su.Tokens/su.Prompts)*float64(perToken)), perToken, true
}

func (sv *service) lateShare() float64 { return sv.total.Late / (sv.total.Streams + priorStreams) }

// mustLimit updates and reports whether prefills have to be limited to prevent long pauses.
func (sv *service) mustLimit() bool {
	share := sv.lateShare()
	switch {
	case share > limitAbove:
		sv.limited = true
	case share < releaseBelow:
		sv.limited = false
	}
	return sv.limited
}

// Estimate is the estimate of the performance of a service's engines.
type Estimate struct {
	// PerToken is the prefill time of one more prompt token; 0 while there are too few samples.
	PerToken time.Duration
	// BaseGap is the time between two events without prefills.
	BaseGap time.Duration
	// LateShare is the share of streams that paused for longer than promised.
	LateShare float64
	// Limited is set while prefills are limited to prevent long pauses.
	Limited bool
}

// BaseGap returns the time between two events of a service's streams without prefills; 0 before the first events.
func (pr *Profiler) BaseGap(name string) time.Duration {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.service(name).baseGap
}

// Estimates returns the current estimates by service.
func (pr *Profiler) Estimates() map[string]Estimate {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	estimates := make(map[string]Estimate, len(pr.services))
	for name, sv := range pr.services {
		perToken, _ := sv.total.perToken()
		estimates[name] = Estimate{PerToken: perToken, BaseGap: sv.baseGap, LateShare: sv.lateShare(), Limited: sv.limited}
	}
	return estimates
}

// LocalSums returns the instance's own sums by service, for state updates to peers. Services without late streams of the
// instance's own are left out unless their prefills are limited.
func (pr *Profiler) LocalSums() map[string]Sums {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	now := time.Now()
	sums := make(map[string]Sums)
	for name, sv := range pr.services {
		if sv.local.Late > 0 || sv.limited {
			sv.decay(now)
			sums[name] = sv.local
		}
	}
	return sums
}

// SetPeerSums applies a peer's sums of a service, in place of those that the peer sent before.
func (pr *Profiler) SetPeerSums(peer, name string, su Sums) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sv := pr.service(name)
	sv.total.add(sv.peers[peer], -1)
	sv.total.add(su, 1)
	sv.peers[peer] = su
}

// Remove drops the sums of an instance that has departed.
func (pr *Profiler) Remove(peer string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, sv := range pr.services {
		sv.total.add(sv.peers[peer], -1)
		delete(sv.peers, peer)
	}
}
