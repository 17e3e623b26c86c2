// Package profiler learns how the engines of a service work from the answers that pass through an instance and from what
// peers tell: how long they take to read a token of a prompt, how far the events of a stream lie apart while no prompt is
// read, and whether the reading of prompts makes streams pause for longer than promised. It does no input or output.
package profiler

import (
	"math"
	"sync"
	"time"
)

const (
	// memory is the time in which what was learned loses its weight to 1/e. Engines hardly change.
	memory = 2 * time.Minute
	// longestFirst bounds the time until an answer begins that is learned from: a longer one tells of trouble.
	longestFirst = 1500 * time.Millisecond
	// pauseBound is by how many times the promise a pause may be exceeded to be put down to prompts; longer ones tell of
	// trouble.
	pauseBound = 2.0
	// calmQuantile is the quantile of the times between events that is taken for that without prompts, and calmStep by which
	// part the estimate moves with each event.
	calmQuantile = 0.25
	calmStep     = 0.02
	// threatens and spares are the shares of late streams from which pauses are held off, and below which no longer.
	threatens = 0.06
	spares    = 0.01
	// leastStreams is the number of streams that count as on time beside those seen.
	leastStreams = 30
	// used is the part of the time that a promise leaves for prompts which is given out: engines and links are uneven.
	used = 0.8
	// leastBusy is the least part of a promised pause that is given out for reading prompts.
	leastBusy = 0.2
)

// Pace is how prompts may follow each other at an engine.
type Pace struct {
	// Prefill is how long the prompt takes to read.
	Prefill time.Duration
	// Window is the longest pause promised between a stream's events, and Busy how long the engine may read within any such
	// time.
	Window time.Duration
	Budget time.Duration
}

// Profiler keeps what is learned, by service. It is safe for concurrent use.
type Profiler struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	own   Sums
	at    time.Time
	peers map[string]Sums
	// all are the own sums at the last addition and those of the peers.
	all  Sums
	calm time.Duration
	// held tells that pauses are being held off.
	held bool
}

// New makes a profiler that knows nothing.
func New() *Profiler { return &Profiler{services: make(map[string]*service)} }

func (pr *Profiler) service(name string) *service {
	sv, ok := pr.services[name]
	if !ok {
		sv = &service{peers: make(map[string]Sums)}
		pr.services[name] = sv
	}
	return sv
}

// RecordFirstAnswer takes in how long an engine without waiting requests took to begin an answer, after a prompt.
func (pr *Profiler) RecordFirstAnswer(name string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 || took > longestFirst {
		return
	}
	length, ms := float64(tokens), float64(took)/float64(time.Millisecond)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.service(name).learn(Sums{
		Prompts: 1, Tokens: length, Took: ms, TokensSquared: length * length, TookSquared: ms * ms, TokensTook: length * ms,
	})
}

// RecordGap takes in the time between two events of a stream.
func (pr *Profiler) RecordGap(name string, pause time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sv := pr.service(name)
	if sv.calm == 0 {
		sv.calm = pause
		return
	}
	by := calmStep * float64(sv.calm)
	if pause < sv.calm {
		sv.calm -= time.Duration(by * (1 - calmQuantile))
	} else {
		sv.calm += time.Duration(by * calmQuantile)
	}
}

// RecordStream takes in the longest pause of a stream and the longest that was promised.
func (pr *Profiler) RecordStream(name string, longest, promised time.Duration) {
	if promised <= 0 || float64(longest) > pauseBound*float64(promised) {
		return
	}
	ended := Sums{Streams: 1}
	if longest > promised {
		ended.Late = 1
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.service(name).learn(ended)
}

func (sv *service) learn(one Sums) {
	now := time.Now()
	sv.fade(now)
	sv.own.add(one, 1)
	sv.all.add(one, 1)
}

// fade takes weight from the instance's own sums.
func (sv *service) fade(now time.Time) {
	if !sv.at.IsZero() {
		before := sv.own
		sv.own = Sums{}
		sv.own.add(before, math.Exp(-now.Sub(sv.at).Seconds()/memory.Seconds()))
		sv.all.add(before, -1)
		sv.all.add(sv.own, 1)
	}
	sv.at = now
}

// Pace is how a prompt may follow others at an engine of a service whose streams are promised no pause longer than
// promised. It is false where pauses do not threaten, or too little is known.
func (pr *Profiler) Pace(name string, tokens int, promised time.Duration) (Pace, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sv := pr.service(name)
	if promised <= 0 || !sv.threatened() {
		return Pace{}, false
	}
	perToken, ok := sv.all.perToken()
	if !ok {
		return Pace{}, false
	}
	busy := used * float64(promised-sv.calm)
	return Pace{
		Prefill: time.Duration(tokens) * perToken,
		Window:  promised,
		Budget:  time.Duration(max(busy, leastBusy*float64(promised))),
	}, true
}

func (sv *service) lateShare() float64 { return sv.all.Late / (sv.all.Streams + leastStreams) }

// threatened tells whether pauses have to be held off.
func (sv *service) threatened() bool {
	share := sv.lateShare()
	switch {
	case share > threatens:
		sv.held = true
	case share < spares:
		sv.held = false
	}
	return sv.held
}

// Estimate is what is believed of a service's engines.
type Estimate struct {
	// PerToken is the time to read one more token of a prompt; 0 while too little is known. Calm is the time between two
	// events while no prompt is read.
	PerToken time.Duration
	BaseGap  time.Duration
	// LateShare is the share of streams that paused for longer than promised, and Held tells that this is held off.
	LateShare float64
	Limited   bool
}

// Estimates are what is believed now, by service.
func (pr *Profiler) Estimates() map[string]Estimate {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	beliefs := make(map[string]Estimate, len(pr.services))
	for name, sv := range pr.services {
		perToken, _ := sv.all.perToken()
		beliefs[name] = Estimate{PerToken: perToken, BaseGap: sv.calm, LateShare: sv.lateShare(), Limited: sv.held}
	}
	return beliefs
}

// LocalSums are the instance's own sums of the services where pauses threaten, or may, to tell peers.
func (pr *Profiler) LocalSums() map[string]Sums {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	now := time.Now()
	learned := make(map[string]Sums)
	for name, sv := range pr.services {
		if sv.own.Late > 0 || sv.held {
			sv.fade(now)
			learned[name] = sv.own
		}
	}
	return learned
}

// SetPeerSums takes in what a peer has learned of a service, in place of what it told before.
func (pr *Profiler) SetPeerSums(peer, name string, su Sums) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sv := pr.service(name)
	sv.all.add(sv.peers[peer], -1)
	sv.all.add(su, 1)
	sv.peers[peer] = su
}

// Remove forgets what an instance that has left told.
func (pr *Profiler) Remove(peer string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, sv := range pr.services {
		sv.all.add(sv.peers[peer], -1)
		delete(sv.peers, peer)
	}
}
