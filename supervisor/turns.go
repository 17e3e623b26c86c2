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
	// turnTimeout bounds a holder's answer to a prompt that wants its turn.
	turnTimeout = 60 * time.Millisecond
	// turnSilence is how long a holder that gave no answer is not asked for turns.
	turnSilence = time.Second
)

// turnless are holders that did not answer a prompt that wanted its turn.
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

// turn asks the holder of a target for a prompt's turn.
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
		su.logger.Warn("no turn from holder", "holder", holder, "target", ta.ID(), "error", err)
	}
	return tn, err
}

// turnHere gives a prompt its turn at a target that this instance holds.
func (su *Supervisor) turnHere(target string, rq sequencer.Request) (sequencer.Turn, bool) {
	sq, ok := su.holdings.sequencer(target)
	if !ok {
		return sequencer.Turn{}, false
	}
	return sq.Reserve(rq), true
}

// profiles are what this instance has learned of engines, to tell peers.
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

// takeProfiles takes in what a peer has learned of engines.
func (su *Supervisor) takeProfiles(peer string, profiles []*wire.EngineProfile) {
	for _, ep := range profiles {
		su.profiler.SetPeerSums(peer, ep.GetService(), profiler.Sums{
			Prompts: float64(ep.GetPrompts()), Tokens: float64(ep.GetTokens()), Took: float64(ep.GetTook()),
			TokensSquared: float64(ep.GetTokensSquared()), TookSquared: float64(ep.GetTookSquared()),
			TokensTook: float64(ep.GetTokensTook()), Streams: float64(ep.GetStreams()), Late: float64(ep.GetLate()),
		})
	}
}

// engineReporter reports what is believed of engines; it keeps the services at which prompts wait for turns.
type engineReporter struct{ held map[string]bool }

// reportEngines sets the gauges of what is believed of engines, and logs where prompts begin and cease to wait for turns.
func (su *Supervisor) reportEngines() {
	for service, be := range su.profiler.Estimates() {
		su.reporter.SetLabelledGauge("engine_token_seconds", "service", service, be.PerToken.Seconds())
		su.reporter.SetLabelledGauge("engine_event_seconds", "service", service, be.BaseGap.Seconds())
		su.reporter.SetLabelledGauge("engine_late_share", "service", service, be.LateShare)
		if be.Limited == su.engines.held[service] {
			continue
		}
		su.engines.held[service] = be.Limited
		su.logger.Info("turns", "service", service, "held", be.Limited, "late-share", be.LateShare,
			"token-us", be.PerToken.Microseconds(), "event-ms", be.BaseGap.Milliseconds())
	}
}
