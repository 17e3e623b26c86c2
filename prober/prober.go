// Package prober tells whether this instance is cut off from all targets while other instances reach them. It goes by what the
// instance's own requests meet, and opens connections to a few targets once that looks like a cut. It keeps connections, not requests:
// whether requests on open connections are answered does not matter, only whether new ones are opened.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/sleeper"
)

const (
	// checkInterval is the time between two looks at what requests have met.
	checkInterval = 100 * time.Millisecond
	// maxSilence is how long requests may wait without a sign of life of any target before connections are tried. It is longer than
	// a packet that is sent again takes.
	maxSilence = 300 * time.Millisecond
	// failureWindow is the time within which connections to suspectTargets targets have to fail, with none opened since, before
	// further ones are tried.
	failureWindow  = time.Second
	suspectTargets = 2
	// probeTargets is the number of targets to which connections are tried, and probeTimeout limits each try.
	probeTargets = 3
	probeTimeout = 250 * time.Millisecond
	// peerMargin is how long after the suspicion began a peer has to have received bytes of a target, so that it is not the targets that are silent.
	peerMargin = 150 * time.Millisecond
	// recheckInterval is the least time between two rounds of tries that found no cut.
	recheckInterval = 500 * time.Millisecond
	// recoveryInterval is the time between two rounds of tries during a cut, and recoveryRounds the number of rounds in a row in which all
	// connections but one at most are opened, after which the cut is over.
	recoveryInterval = 250 * time.Millisecond
	recoveryRounds   = 2
)

// Target is a target to which a connection may be tried.
type Target struct {
	// ID is the target's ID.
	ID string
	// Group names what the target shares with others that may fail together: its service and failure domain.
	Group string
}

// Options configures a Prober.
type Options struct {
	// Targets returns the targets that may be tried.
	Targets func() []Target
	// Probe opens a connection to a target.
	Probe func(ctx context.Context, target string) error
	// PeersReach reports whether another instance that this one reaches has received bytes of a target since the given time.
	PeersReach func(since time.Time) bool
	// CutOff is called when a cut is found, and Restored when it is over.
	CutOff   func()
	Restored func()
	// Logger receives a line when a cut is found and when it is over.
	Logger *log.Logger
}

// Prober watches the paths from this instance to the targets. It is safe for concurrent use.
type Prober struct {
	op   Options
	done chan struct{}
	wake chan struct{}

	mu sync.Mutex
	// waiting counts the requests that wait for bytes of targets; quietSince is when the first of them began to wait or when bytes last
	// arrived, whichever is later.
	waiting    int
	quietSince time.Time
	// lastByteAt is when bytes or an opened connection of any target last arrived, and lastOpened when each target last let a connection open.
	lastByteAt time.Time
	lastOpened map[string]time.Time
	// failedAt is when connections to targets last failed to open, for those that failed since the last one opened, and brokenAt when
	// connections last broke before any byte of an answer, for those that broke since bytes of any target last arrived.
	failedAt map[string]time.Time
	brokenAt map[string]time.Time
	checkAt  time.Time
	cut      bool
	cutSince time.Time
	// repeated is true if the last round of tries is repeated because targets answered during it.
	repeated bool
	// goodRounds counts the rounds in a row in which connections were opened during a cut.
	goodRounds int
}

// New returns a Prober; Run does its work.
func New(op Options) *Prober {
	return &Prober{
		op: op, done: make(chan struct{}), wake: make(chan struct{}, 1),
		lastOpened: make(map[string]time.Time), failedAt: make(map[string]time.Time), brokenAt: make(map[string]time.Time),
	}
}

// Done returns a channel that is closed when Run has ended.
func (pr *Prober) Done() <-chan struct{} { return pr.done }

// Cut reports whether the instance is cut off from the targets.
func (pr *Prober) Cut() bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.cut
}

// ContactAge returns how long ago bytes of a target were last received; false if none ever was, or while the instance is cut off.
func (pr *Prober) ContactAge() (time.Duration, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return time.Since(pr.lastByteAt), !pr.cut && !pr.lastByteAt.IsZero()
}

// Began records that a request begins to wait for bytes of a target; the returned function records that it no longer does.
func (pr *Prober) Began() (ended func()) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.waiting == 0 {
		pr.quietSince = time.Now()
	}
	pr.waiting++
	return sync.OnceFunc(func() {
		pr.mu.Lock()
		defer pr.mu.Unlock()
		pr.waiting--
	})
}

// Received records that bytes of a target have arrived.
func (pr *Prober) Received() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lastByteAt = time.Now()
	pr.quietSince = pr.lastByteAt
	clear(pr.brokenAt)
}

// Broken records that a connection to a target has broken before any byte of an answer.
func (pr *Prober) Broken(target string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.brokenAt[target] = time.Now()
	pr.wakeUp()
}

// wakeUp makes Run look at once.
func (pr *Prober) wakeUp() {
	select {
	case pr.wake <- struct{}{}:
	default:
	}
}

// Opened records the result of an attempt to open a connection to a target.
func (pr *Prober) Opened(target string, err error) {
	now := time.Now()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if err == nil {
		clear(pr.failedAt)
		pr.lastOpened[target] = now
		return
	}
	pr.failedAt[target] = now
	pr.wakeUp()
}

// Run looks for cuts, and for their ends, until the context ends.
func (pr *Prober) Run(ctx context.Context) {
	defer close(pr.done)
	for {
		sleeper.Until(ctx, pr.wake, checkInterval)
		if ctx.Err() != nil {
			return
		}
		if sp, due := pr.suspect(time.Now()); due {
			pr.check(ctx, sp)
		}
	}
}

// suspicion is why connections to targets are to be tried, and since when nothing speaks against it.
type suspicion struct {
	reason string
	since  time.Time
}

// suspect reports whether connections to targets are to be tried now, and why.
func (pr *Prober) suspect(now time.Time) (sp suspicion, due bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if now.Before(pr.checkAt) {
		return suspicion{}, false
	}
	if pr.cut {
		return suspicion{reason: "cut off", since: pr.cutSince}, true
	}
	notOpened, broken := earliest(pr.failedAt, now), earliest(pr.brokenAt, now)
	switch {
	case len(pr.failedAt) >= suspectTargets:
		return suspicion{reason: "connections not opened", since: notOpened}, true
	case len(pr.brokenAt) >= suspectTargets:
		return suspicion{reason: "connections broken", since: broken}, true
	case pr.waiting > 0 && now.Sub(pr.quietSince) >= maxSilence:
		return suspicion{reason: "no bytes of any target", since: pr.quietSince}, true
	default:
		return suspicion{}, false
	}
}

// earliest drops the failures that are older than failureWindow and returns the earliest of the others.
func earliest(failures map[string]time.Time, now time.Time) time.Time {
	first := now
	for target, at := range failures {
		if now.Sub(at) > failureWindow {
			delete(failures, target)
			continue
		}
		if at.Before(first) {
			first = at
		}
	}
	return first
}

// check tries connections to a few targets and acts on the results.
func (pr *Prober) check(ctx context.Context, sp suspicion) {
	targets := pr.selectTargets()
	began := time.Now()
	opened := pr.probe(ctx, targets)
	if ctx.Err() != nil {
		return
	}
	if pr.Cut() {
		pr.checkRestored(len(targets), opened)
		return
	}
	if pr.repeats(began, opened) || len(targets) == 0 || opened > 0 || !pr.op.PeersReach(sp.since.Add(peerMargin)) {
		return
	}
	pr.mu.Lock()
	pr.cut, pr.cutSince, pr.goodRounds = true, time.Now(), 0
	contactAge := time.Since(pr.lastByteAt)
	pr.checkAt = pr.cutSince.Add(recoveryInterval)
	pr.mu.Unlock()
	pr.op.Logger.Warn("cut off from targets", "reason", sp.reason, "tried", len(targets), "heard-ms", contactAge.Milliseconds())
	pr.op.CutOff()
}

// repeats sets when connections are tried again, and reports whether that is at once: targets answered during a round in which no
// connection opened. They may have been silent until then, or only their open connections live on; another round tells.
func (pr *Prober) repeats(began time.Time, opened int) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.repeated = !pr.repeated && opened == 0 && pr.lastByteAt.After(began)
	if pr.repeated {
		pr.checkAt = time.Now()
	} else {
		pr.checkAt = time.Now().Add(recheckInterval)
	}
	return pr.repeated
}

// checkRestored ends a cut after enough rounds in a row in which connections were opened.
func (pr *Prober) checkRestored(tried, opened int) {
	pr.mu.Lock()
	pr.checkAt = time.Now().Add(recoveryInterval)
	if tried == 0 || opened < max(tried-1, 1) {
		pr.goodRounds = 0
		pr.mu.Unlock()
		return
	}
	pr.goodRounds++
	over := pr.goodRounds >= recoveryRounds
	lasted := time.Since(pr.cutSince)
	if over {
		pr.cut, pr.checkAt = false, time.Now().Add(recheckInterval)
		clear(pr.failedAt)
		clear(pr.brokenAt)
		pr.quietSince = time.Now()
	}
	pr.mu.Unlock()
	if over {
		pr.op.Logger.Info("targets reached again", "lasted-ms", lasted.Milliseconds())
		pr.op.Restored()
	}
}

// probe tries connections to targets at the same time and returns how many were opened.
func (pr *Prober) probe(ctx context.Context, targets []string) int {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, target := range targets {
		go func() { results <- pr.op.Probe(ctx, target) }()
	}
	opened := 0
	for range targets {
		if err := <-results; err == nil {
			opened++
		}
	}
	return opened
}
