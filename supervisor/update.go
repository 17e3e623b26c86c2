package supervisor

import (
	"time"

	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/quarantiner"
	"lovagebank/wire"
)

// tenthsPerRequest converts counts of requests, which updates carry in tenths.
const tenthsPerRequest = 10

// composeUpdate returns the state update to send to a peer, without what the peer has confirmed.
func (su *Supervisor) composeUpdate(peer string) *wire.FleetState {
	return su.encoder.Encode(peer, su.state(peer))
}

// state returns the full state that this instance reports to a peer.
func (su *Supervisor) state(peer string) *wire.FleetState {
	state := &wire.FleetState{Instance: su.settings.IP(), Start: su.start, Leaving: su.draining()}
	own := su.revisions()
	state.OperatorRevision, state.TargetRevision = own.operator, own.targets
	state.OperatorChange = su.operatorChange.Load()
	if age, ok := su.prober.ContactAge(); ok {
		state.HeardTargetMs = age.Milliseconds() + 1
	}
	for name, ta := range su.allotter.Tallies() {
		state.Tallies = append(state.Tallies, &wire.OrganisationTally{
			Organisation: name, Admitted: int64(ta.Admitted), Asked: int64(ta.Requested), Requests: int64(ta.Requests),
			Left: int64(ta.Remaining), Settled: ta.Settled,
		})
	}
	state.Held = su.heldTargets()
	for _, target := range su.keeper.HeldBy(peer) {
		uses, speed := su.balancer.TakeUses(target), su.takeSpeedSums(target)
		if len(uses) > 0 || speed != nil {
			state.Uses = append(state.Uses, encodeTargetUse(target, uses, speed))
		}
	}
	for _, le := range su.balancer.Leavers() {
		state.Leavers = append(state.Leavers, &wire.Leaver{Target: le.Target, StartedMs: le.Started.UnixMilli()})
	}
	state.Departures = su.departed.recent(departureNoticeTime)
	state.Limits = su.encodeRateLimits()
	state.Evacuations = su.encodeEvacuations()
	state.Profiles = su.profiles()
	su.addRollbackAge(state)
	state.Parts = encodePartEvidence(su.parts.Report(peer))
	for _, cr := range su.quarantiner.Crashes() {
		state.Crashes = append(state.Crashes, &wire.Crash{Fingerprint: cr.Fingerprint, Count: int32(cr.Count)})
	}
	return state
}

// heldTargets returns the reported state of the held targets, which is renewed once in each localUpdateInterval.
func (su *Supervisor) heldTargets() []*wire.HeldTarget {
	if held := su.heldUpdate.Load(); held != nil {
		return *held
	}
	return nil
}

// updateHeld passes the state of the held targets to the balancer and stores it for the updates to peers.
func (su *Supervisor) updateHeld(updates []balancer.TargetUpdate) {
	held := make([]*wire.HeldTarget, 0, len(updates))
	for _, tu := range updates {
		if !su.contended {
			tu.Memory = balancer.Memory{}
		}
		ht := encodeHeldTarget(tu)
		ht.Speed = su.heldSpeed(tu.Target)
		held = append(held, ht)
		// From here on, the maps of the update belong to the balancer, which changes them.
		su.balancer.Update(tu)
	}
	su.heldUpdate.Store(&held)
}

// encodeHeldTarget returns the message that reports the state of a held target to peers.
func encodeHeldTarget(tu balancer.TargetUpdate) *wire.HeldTarget {
	held := &wire.HeldTarget{
		Target: tu.Target, Active: tu.Holder != "", Load: int32(tu.Load), LoadAgeMs: int32(tu.LoadAge.Milliseconds()),
		UsedTokens: int64(tu.Memory.Used), TotalTokens: int64(tu.Memory.Total),
	}
	models := make(map[string]*wire.HeldModel)
	for ad, version := range tu.Adapters {
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
			Name: ad.Name, Version: version, RequestsTenths: int32(tu.Demand[ad] * tenthsPerRequest),
		})
	}
	return held
}

// encodeTargetUse returns the message that reports this instance's requests to a target to its holder.
func encodeTargetUse(target string, uses map[balancer.Adapter]balancer.Use, speed *wire.SpeedSums) *wire.TargetUse {
	tu := &wire.TargetUse{Target: target, Speed: speed}
	for ad, us := range uses {
		tu.Adapters = append(tu.Adapters, &wire.AdapterUse{
			Model: ad.Model, Name: ad.Name, Sent: int32(us.Sent), Running: int32(us.Running),
		})
	}
	return tu
}

// applyUpdate decodes and applies a state update from a peer.
func (su *Supervisor) applyUpdate(update *wire.FleetState) {
	state := su.encoder.Decode(update)
	peer := state.GetInstance()
	su.applyPeerRollback(state)
	if su.silentPeers.remove(peer) {
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
		su.balancer.Update(decodeHeldTarget(peer, held))
		su.applyHeldSpeed(held)
	}
	for _, tu := range state.GetUses() {
		if or, ok := su.holdings.orderer(tu.GetTarget()); ok {
			or.RecordUse(peer, decodeTargetUse(tu))
			su.mergeSpeedSums(tu.GetTarget(), tu.GetSpeed())
		}
	}
	for _, le := range state.GetLeavers() {
		su.markTargetLeaving(balancer.Start{Target: le.GetTarget(), Started: time.UnixMilli(le.GetStartedMs())}, leavingFromPeer)
	}
	for _, de := range state.GetDepartures() {
		su.targetDeparted(de)
	}
	for _, tl := range state.GetLimits() {
		su.mergeRateLimit(exchanger.DecodeNotice(tl))
	}
	for _, ev := range state.GetEvacuations() {
		su.applyPeerEvacuation(ev)
	}
	crashes := make([]quarantiner.Crash, 0, len(state.GetCrashes()))
	for _, cr := range state.GetCrashes() {
		crashes = append(crashes, quarantiner.Crash{Fingerprint: cr.GetFingerprint(), Count: int(cr.GetCount())})
	}
	su.quarantiner.Merge(peer, crashes)
	if state.GetParts() != nil {
		su.mergePartEvidence(peer, state.GetParts())
	}
	su.applyProfiles(peer, state.GetProfiles())
	su.targetContacts.record(peer, update.GetHeardTargetMs())
	su.peerRevisions.record(peer, revisions{operator: state.GetOperatorRevision(), targets: state.GetTargetRevision()})
	su.reportedChange.record(state.GetOperatorChange())
}

// decodeHeldTarget returns the state of a target that a peer holds, as the peer has reported it.
func decodeHeldTarget(peer string, held *wire.HeldTarget) balancer.TargetUpdate {
	tu := balancer.TargetUpdate{
		Target:   held.GetTarget(),
		Adapters: make(map[balancer.Adapter]int64),
		Demand:   make(map[balancer.Adapter]float64),
		Load:     int(held.GetLoad()),
		LoadAge:  time.Duration(held.GetLoadAgeMs()) * time.Millisecond,
		Memory:   balancer.Memory{Used: int(held.GetUsedTokens()), Total: int(held.GetTotalTokens())},
	}
	if held.GetActive() {
		tu.Holder = peer
	}
	for _, model := range held.GetModels() {
		tu.Adapters[balancer.Adapter{Model: model.GetName()}] = model.GetVersion()
		for _, ad := range model.GetAdapters() {
			adapter := balancer.Adapter{Model: model.GetName(), Name: ad.GetName()}
			tu.Adapters[adapter] = ad.GetVersion()
			if tenth := ad.GetRequestsTenths(); tenth > 0 {
				tu.Demand[adapter] = float64(tenth) / tenthsPerRequest
			}
		}
	}
	return tu
}

// decodeTargetUse returns a peer's requests to a target by adapter, as the peer has reported them.
func decodeTargetUse(tu *wire.TargetUse) map[balancer.Adapter]balancer.Use {
	uses := make(map[balancer.Adapter]balancer.Use, len(tu.GetAdapters()))
	for _, au := range tu.GetAdapters() {
		ad := balancer.Adapter{Model: au.GetModel(), Name: au.GetName()}
		uses[ad] = balancer.Use{Sent: int(au.GetSent()), Running: int(au.GetRunning())}
	}
	return uses
}
