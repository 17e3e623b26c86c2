package encoder

import (
	"math"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

const (
	// leftThreshold, demandThreshold and profileThreshold are the relative changes above which a constantly moving figure is
	// sent again: the remaining quota, the demand for an adapter, and the measured engine profile.
	leftThreshold    = 0.05
	demandThreshold  = 0.25
	profileThreshold = 0.2
)

// differs reports whether a figure differs from the sent one by more than a share of the sent one, or of 1 if that is larger.
func differs(sent, now, threshold float64) bool {
	return math.Abs(now-sent) > threshold*math.Max(math.Abs(sent), 1)
}

// delta returns a state update that omits what has not changed since an earlier one; nil means there is no earlier one.
func delta(full, before *wire.FleetState) *wire.FleetState {
	update := withoutDeltas(full)
	if before == nil {
		update.Tallies, update.Held, update.Profiles = full.GetTallies(), full.GetHeld(), full.GetProfiles()
		return update
	}
	update.Base = before.GetNumber()
	update.Tallies = changedTallies(full.GetTallies(), before.GetTallies())
	update.Profiles = changedProfiles(full.GetProfiles(), before.GetProfiles())
	targets := make(map[string]*wire.HeldTarget, len(before.GetHeld()))
	for _, ht := range before.GetHeld() {
		targets[ht.GetTarget()] = ht
	}
	for _, ht := range full.GetHeld() {
		update.Held = append(update.Held, changedTarget(ht, targets[ht.GetTarget()]))
	}
	return update
}

// withoutDeltas returns a state update without the fields of which only changes are sent.
func withoutDeltas(fs *wire.FleetState) *wire.FleetState {
	update := head(fs)
	update.Uses, update.Crashes, update.Leavers = fs.GetUses(), fs.GetCrashes(), fs.GetLeavers()
	update.Departures, update.Limits, update.Parts = fs.GetDepartures(), fs.GetLimits(), fs.GetParts()
	update.Evacuations = fs.GetEvacuations()
	return update
}

// head returns a state update with only the fields that every update contains.
func head(fs *wire.FleetState) *wire.FleetState {
	return &wire.FleetState{
		Instance: fs.GetInstance(), Start: fs.GetStart(), Leaving: fs.GetLeaving(), Number: fs.GetNumber(),
		OperatorRevision: fs.GetOperatorRevision(), TargetRevision: fs.GetTargetRevision(),
		OperatorChange: fs.GetOperatorChange(), SteppedBackMs: fs.GetSteppedBackMs(), HeardTargetMs: fs.GetHeardTargetMs(),
	}
}

func changedTallies(now, before []*wire.OrganisationTally) []*wire.OrganisationTally {
	known := make(map[string]*wire.OrganisationTally, len(before))
	for _, ta := range before {
		known[ta.GetOrganisation()] = ta
	}
	var changed []*wire.OrganisationTally
	for _, ta := range now {
		be, ok := known[ta.GetOrganisation()]
		same := ok && be.GetAdmitted() == ta.GetAdmitted() && be.GetAsked() == ta.GetAsked() &&
			be.GetRequests() == ta.GetRequests() && be.GetSettled() == ta.GetSettled() &&
			!differs(float64(be.GetLeft()), float64(ta.GetLeft()), leftThreshold)
		if !same {
			changed = append(changed, ta)
		}
	}
	return changed
}

func changedProfiles(now, before []*wire.EngineProfile) []*wire.EngineProfile {
	known := make(map[string]*wire.EngineProfile, len(before))
	for _, ep := range before {
		known[ep.GetService()] = ep
	}
	var changed []*wire.EngineProfile
	for _, ep := range now {
		be, ok := known[ep.GetService()]
		if !ok || differs(float64(be.GetPrompts()), float64(ep.GetPrompts()), profileThreshold) ||
			differs(float64(be.GetLate()), float64(ep.GetLate()), profileThreshold) {
			changed = append(changed, ep)
		}
	}
	return changed
}

// changedTarget returns the holder's state of a target without the adapters that have not changed.
func changedTarget(now, before *wire.HeldTarget) *wire.HeldTarget {
	if before == nil {
		return now
	}
	partial := &wire.HeldTarget{
		Target: now.GetTarget(), Active: now.GetActive(), Load: now.GetLoad(), LoadAgeMs: now.GetLoadAgeMs(), Partial: true,
		UsedTokens: now.GetUsedTokens(), TotalTokens: now.GetTotalTokens(),
	}
	if !proto.Equal(now.GetSpeed(), before.GetSpeed()) {
		partial.Speed = now.GetSpeed()
	}
	known := byModel(before.GetModels())
	for _, hm := range now.GetModels() {
		be := known[hm.GetName()]
		delete(known, hm.GetName())
		changed, removed := changedAdapters(hm, be)
		if be == nil || len(changed) > 0 || be.GetVersion() != hm.GetVersion() {
			partial.Models = append(partial.Models, &wire.HeldModel{Name: hm.GetName(), Version: hm.GetVersion(), Adapters: changed})
		}
		if len(removed) > 0 {
			partial.Gone = append(partial.Gone, &wire.HeldModel{Name: hm.GetName(), Adapters: removed})
		}
	}
	for name := range known {
		partial.Gone = append(partial.Gone, &wire.HeldModel{Name: name})
	}
	return partial
}

func byModel(models []*wire.HeldModel) map[string]*wire.HeldModel {
	byName := make(map[string]*wire.HeldModel, len(models))
	for _, hm := range models {
		byName[hm.GetName()] = hm
	}
	return byName
}

func changedAdapters(now, before *wire.HeldModel) (changed, removed []*wire.HeldAdapter) {
	known := byAdapter(before.GetAdapters())
	for _, ad := range now.GetAdapters() {
		be, ok := known[ad.GetName()]
		delete(known, ad.GetName())
		if !ok || be.GetVersion() != ad.GetVersion() ||
			differs(float64(be.GetRequestsTenths()), float64(ad.GetRequestsTenths()), demandThreshold) {
			changed = append(changed, ad)
		}
	}
	for name := range known {
		removed = append(removed, &wire.HeldAdapter{Name: name})
	}
	return changed, removed
}

func byAdapter(adapters []*wire.HeldAdapter) map[string]*wire.HeldAdapter {
	byName := make(map[string]*wire.HeldAdapter, len(adapters))
	for _, ad := range adapters {
		byName[ad.GetName()] = ad
	}
	return byName
}
