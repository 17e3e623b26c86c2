package supervisor

import (
	"context"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/profiler"
	"lovagebank/sequencer"
	"lovagebank/wire"
)

const (
	// turnTimeout limits the wait for a holder's answer to a request for a prompt's turn. The turn is the time at which
	// the prompt may go to the engine; package sequencer schedules it.
	turnTimeout = 60 * time.Millisecond
	// turnRetryDelay is how long a holder that gave no answer is not asked for further turns.
	turnSilence = time.Second
)

// unresponsiveHolders are the holders that recently did not answer a request for a turn.
type turnless struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (tl *turnless) silent(holder string) bool {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return time.Now().Before(tl.until[holder])
}

func (tl *turnless) note(holder string) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if tl.until == nil {
		tl.until = make(map[string]time.Time)
	}
	tl.until[holder] = time.Now().Add(turnSilence)
}

// requestTurn requests a prompt's turn from the holder of a target.
func (su *Supervisor) turn(ctx context.Context, holder string, ta *balancer.Target, rq sequencer.Request) (sequencer.Turn, error) {
	if holder == su.settings.IP() {
		tn, ok := su.turnHere(ta.ID(), rq)
		if !ok {
			return tn, exchanger.ErrNotHolder
		}
		return tn, nil
	}
	address, ok := su.peerNamed(holder)
	if !ok || su.turnless.silent(holder) {
		return sequencer.Turn{}, errHolderUnknown
	}
	callCtx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	tn, err := su.exchanger.Turn(callCtx, address, ta.ID(), rq)
	if err != nil && ctx.Err() == nil {
		su.turnless.note(holder)
		su.logger.Warn("turn request to holder failed", "holder", holder, "target", ta.ID(), "error", err)
	}
	return tn, err
}

// reserveTurn reserves a prompt's turn at a target; it is false if this instance does not hold the target.
func (su *Supervisor) turnHere(target string, rq sequencer.Request) (sequencer.Turn, bool) {
	sq, ok := su.holdings.sequencer(target)
	if !ok {
		return sequencer.Turn{}, false
	}
	return sq.Reserve(rq), true
}

// profiles returns this instance's own measurements of engines, to report to peers.
func (su *Supervisor) profiles() []*wire.EngineProfile {
	learned := su.profiler.LocalSums()
	profiles := make([]*wire.EngineProfile, 0, len(learned))
	for service, sm := range learned {
		profiles = append(profiles, &wire.EngineProfile{
			Service: service, Prompts: float32(sm.Prompts), Tokens: float32(sm.Tokens), Took: float32(sm.Took),
			TokensSquared: float32(sm.TokensSquared), TookSquared: float32(sm.TookSquared), TokensTook: float32(sm.TokensTook),
			Streams: float32(sm.Streams), Late: float32(sm.Late),
		})
	}
	return profiles
}

// applyProfiles applies a peer's measurements of engines.
func (su *Supervisor) takeProfiles(peer string, profiles []*wire.EngineProfile) {
	for _, ep := range profiles {
		su.profiler.SetPeerSums(peer, ep.GetService(), profiler.Sums{
			Prompts: float64(ep.GetPrompts()), Tokens: float64(ep.GetTokens()), Took: float64(ep.GetTook()),
			TokensSquared: float64(ep.GetTokensSquared()), TookSquared: float64(ep.GetTookSquared()),
			TokensTook: float64(ep.GetTokensTook()), Streams: float64(ep.GetStreams()), Late: float64(ep.GetLate()),
		})
	}
}

// engineReporter keeps the services whose prompts waited for turns at the last report of the engine estimates.
type engineReporter struct{ held map[string]bool }

// reportEngines sets the gauges of the engine estimates, and logs each service whose prompts begin or cease to wait for
// turns.
func (su *Supervisor) reportEngines() {
	for service, be := range su.profiler.Estimates() {
		su.reporter.SetBy("engine_token_seconds", "service", service, be.PerToken.Seconds())
		su.reporter.SetBy("engine_event_seconds", "service", service, be.BaseGap.Seconds())
		su.reporter.SetBy("engine_late_share", "service", service, be.LateShare)
		if be.Limited == su.engines.held[service] {
			continue
		}
		su.engines.held[service] = be.Limited
		su.logger.Info("turns", "service", service, "held", be.Limited, "late-share", be.LateShare,
			"token-us", be.PerToken.Microseconds(), "event-ms", be.BaseGap.Milliseconds())
	}
}
