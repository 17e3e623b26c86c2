package supervisor

import (
	"time"

	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/quarantiner"
	"lovagebank/wire"
)

// tenthsPerRequest converts counts of requests, which updates carry in tenths.
const tenths = 10

// composeUpdate returns the state update to send to a peer, without what the peer already knows.
func (su *Supervisor) compose(peer string) *wire.FleetState {
	return su.teller.Encode(peer, su.state(peer))
}

// state returns the full state that this instance reports to a peer.
func (su *Supervisor) state(peer string) *wire.FleetState {
	state := &wire.FleetState{Instance: su.settings.IP(), Start: su.start, Leaving: su.draining.Load()}
	known := su.revisions()
	state.OperatorRevision, state.TargetRevision = known.operator, known.targets
	state.OperatorChange = su.operatorChange.Load()
	for name, ta := range su.allotter.Tallies() {
		state.Tallies = append(state.Tallies, &wire.OrganisationTally{
			Organisation: name, Admitted: int64(ta.Admitted), Asked: int64(ta.Requested), Requests: int64(ta.Requests),
			Left: int64(ta.Remaining), Settled: ta.Settled,
		})
	}
	state.Held = su.heldWord()
	for _, target := range su.keeper.HeldBy(peer) {
		if uses := su.balancer.TakeUses(target); len(uses) > 0 {
			state.Uses = append(state.Uses, targetUse(target, uses))
		}
	}
	for _, le := range su.balancer.Leavers() {
		state.Leavers = append(state.Leavers, &wire.Leaver{Target: le.Target, StartedMs: le.Started.UnixMilli()})
	}
	state.Profiles = su.profiles()
	su.tellStepBack(state)
	for _, cr := range su.quarantiner.Crashes() {
		state.Crashes = append(state.Crashes, &wire.Crash{Fingerprint: cr.Fingerprint, Count: int32(cr.Count)})
	}
	return state
}

// heldTargets returns the reported state of the held targets, which is renewed once in each localUpdateInterval.
func (su *Supervisor) heldWord() []*wire.HeldTarget {
	if word := su.word.Load(); word != nil {
		return *word
	}
	return nil
}

// updateHeld passes the state of the held targets to the balancer and stores it for the updates to peers.
func (su *Supervisor) makeWord(held []balancer.TargetUpdate) {
	word := make([]*wire.HeldTarget, 0, len(held))
	for _, ho := range held {
		su.balancer.Update(ho)
		word = append(word, heldTarget(ho))
	}
	su.word.Store(&word)
}

func heldTarget(ho balancer.TargetUpdate) *wire.HeldTarget {
	held := &wire.HeldTarget{
		Target: ho.Target, Active: ho.Holder != "", Load: int32(ho.Load), LoadAgeMs: int32(ho.LoadAge.Milliseconds()),
	}
	models := make(map[string]*wire.HeldModel)
	for ad, version := range ho.Adapters {
		model, ok := models[ad.Model]
		if !ok {
			model = &wire.HeldModel{Name: ad.Model}
			models[ad.Model] = model
			held.Models = append(held.Models, model)
		}
		if ad.Name == "" {
			model.Version = version
			continue
		}
		model.Adapters = append(model.Adapters, &wire.HeldAdapter{
			Name: ad.Name, Version: version, RequestsTenths: int32(ho.Demand[ad] * tenths),
		})
	}
	return held
}

func targetUse(target string, uses map[balancer.Adapter]balancer.Use) *wire.TargetUse {
	tu := &wire.TargetUse{Target: target}
	for ad, us := range uses {
		tu.Adapters = append(tu.Adapters, &wire.AdapterUse{
			Model: ad.Model, Name: ad.Name, Sent: int32(us.Sent), Running: int32(us.Running),
		})
	}
	return tu
}

// applyUpdate decodes and applies a state update from a peer.
func (su *Supervisor) takeState(told *wire.FleetState) {
	state := su.teller.Decode(told)
	peer := state.GetInstance()
	su.hearStepBack(state)
	if su.silent.regain(peer) {
		su.logger.Info("peer regained", "peer", peer)
	}
	tallies := make(map[string]allotter.Tally, len(state.GetTallies()))
	for _, ta := range state.GetTallies() {
		tallies[ta.GetOrganisation()] = allotter.Tally{
			Admitted: float64(ta.GetAdmitted()), Requested: float64(ta.GetAsked()), Requests: float64(ta.GetRequests()),
			Remaining: float64(ta.GetLeft()), Settled: ta.GetSettled(),
		}
	}
	su.allotter.Apply(allotter.Update{
		Instance: peer, Start: state.GetStart(), Leaving: state.GetLeaving(), Tallies: tallies,
	})
	for _, held := range state.GetHeld() {
		su.balancer.Update(holding(peer, held))
	}
	for _, tu := range state.GetUses() {
		if or, ok := su.holdings.orderer(tu.GetTarget()); ok {
			or.RecordUse(peer, adapterUses(tu))
		}
	}
	for _, le := range state.GetLeavers() {
		su.targetLeaving(balancer.Leaver{Target: le.GetTarget(), Started: time.UnixMilli(le.GetStartedMs())})
	}
	crashes := make([]quarantiner.Crash, 0, len(state.GetCrashes()))
	for _, cr := range state.GetCrashes() {
		crashes = append(crashes, quarantiner.Crash{Fingerprint: cr.GetFingerprint(), Count: int(cr.GetCount())})
	}
	su.quarantiner.Merge(peer, crashes)
	su.takeProfiles(peer, state.GetProfiles())
	su.newer.note(peer, revisions{operator: state.GetOperatorRevision(), targets: state.GetTargetRevision()})
	su.changeTold.raise(state.GetOperatorChange())
}

func holding(peer string, held *wire.HeldTarget) balancer.TargetUpdate {
	ho := balancer.TargetUpdate{
		Target:   held.GetTarget(),
		Adapters: make(map[balancer.Adapter]int64),
		Demand:   make(map[balancer.Adapter]float64),
		Load:     int(held.GetLoad()),
		LoadAge:  time.Duration(held.GetLoadAgeMs()) * time.Millisecond,
	}
	if held.GetActive() {
		ho.Holder = peer
	}
	for _, model := range held.GetModels() {
		ho.Adapters[balancer.Adapter{Model: model.GetName()}] = model.GetVersion()
		for _, ad := range model.GetAdapters() {
			held := balancer.Adapter{Model: model.GetName(), Name: ad.GetName()}
			ho.Adapters[held] = ad.GetVersion()
			if tenth := ad.GetRequestsTenths(); tenth > 0 {
				ho.Demand[held] = float64(tenth) / tenths
			}
		}
	}
	return ho
}

func adapterUses(tu *wire.TargetUse) map[balancer.Adapter]balancer.Use {
	uses := make(map[balancer.Adapter]balancer.Use, len(tu.GetAdapters()))
	for _, au := range tu.GetAdapters() {
		ad := balancer.Adapter{Model: au.GetModel(), Name: au.GetName()}
		uses[ad] = balancer.Use{Sent: int(au.GetSent()), Running: int(au.GetRunning())}
	}
	return uses
}
