package supervisor

import (
	"context"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/profiler"
	"lovagebank/sequencer"
	"lovagebank/wire"
)

// requestTurn requests a prompt's turn from the holder of a target. The turn is the time at which the prompt may go to the
// engine; package sequencer schedules it.
func (su *Supervisor) requestTurn(ctx context.Context, holder string, ta *balancer.Target, rq sequencer.Request) (sequencer.Turn, error) {
	if holder == su.settings.IP() {
		tn, ok := su.reserveTurn(ta.ID(), rq)
		if !ok {
			return tn, exchanger.ErrNotHolder
		}
		return tn, nil
	}
	return askHolder(ctx, su, holder, ta.ID(), func(ctx context.Context, address string) (sequencer.Turn, error) {
		return su.exchanger.Turn(ctx, address, ta.ID(), rq)
	})
}

// reserveTurn reserves a prompt's turn at a target; it is false if this instance does not hold the target.
func (su *Supervisor) reserveTurn(target string, rq sequencer.Request) (sequencer.Turn, bool) {
	sq, ok := su.holdings.sequencer(target)
	if !ok {
		return sequencer.Turn{}, false
	}
	return sq.Reserve(rq), true
}

// profiles returns this instance's own measurements of engines, to report to peers.
func (su *Supervisor) profiles() []*wire.EngineProfile {
	sums := su.profiler.LocalSums()
	profiles := make([]*wire.EngineProfile, 0, len(sums))
	for service, sm := range sums {
		profiles = append(profiles, &wire.EngineProfile{
			Service: service, Prompts: float32(sm.Prompts), Tokens: float32(sm.Tokens), Took: float32(sm.Took),
			TokensSquared: float32(sm.TokensSquared), TookSquared: float32(sm.TookSquared), TokensTook: float32(sm.TokensTook),
			Streams: float32(sm.Streams), Late: float32(sm.Late),
		})
	}
	return profiles
}

// applyProfiles applies a peer's measurements of engines.
func (su *Supervisor) applyProfiles(peer string, profiles []*wire.EngineProfile) {
	for _, ep := range profiles {
		su.profiler.SetPeerSums(peer, ep.GetService(), profiler.Sums{
			Prompts: float64(ep.GetPrompts()), Tokens: float64(ep.GetTokens()), Took: float64(ep.GetTook()),
			TokensSquared: float64(ep.GetTokensSquared()), TookSquared: float64(ep.GetTookSquared()),
			TokensTook: float64(ep.GetTokensTook()), Streams: float64(ep.GetStreams()), Late: float64(ep.GetLate()),
		})
	}
}

// engineReporter keeps the services whose prompts waited for turns at the last report of the engine estimates.
type engineReporter struct{ limited map[string]bool }

// reportEngines sets the gauges of the engine estimates, and logs each service whose prompts begin or cease to wait for
// turns.
func (su *Supervisor) reportEngines() {
	for service, es := range su.profiler.Estimates() {
		su.reporter.SetLabelledGauge("engine_token_seconds", "service", service, es.PerToken.Seconds())
		su.reporter.SetLabelledGauge("engine_event_seconds", "service", service, es.BaseGap.Seconds())
		su.reporter.SetLabelledGauge("engine_late_share", "service", service, es.LateShare)
		if es.Limited == su.engines.limited[service] {
			continue
		}
		su.engines.limited[service] = es.Limited
		su.logger.Info("turns", "service", service, "held", es.Limited, "late-share", es.LateShare,
			"token-us", es.PerToken.Microseconds(), "event-ms", es.BaseGap.Milliseconds())
	}
}
