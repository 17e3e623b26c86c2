package teller

import (
	"math"

	"lovagebank/wire"
)

const (
	// leftPart, demandPart and profilePart are by which part of itself a figure that moves all the time must have moved to be
	// told again: what is left of an allowance, the demand for an adapter, and what is learned of engines.
	leftPart    = 0.05
	demandPart  = 0.25
	profilePart = 0.2
)

// moved tells whether a figure differs by more than a part of what was told.
func moved(told, now, part float64) bool {
	return math.Abs(now-told) > part*math.Max(math.Abs(told), 1)
}

// since returns a telling without what has not changed since another one; nil stands for none.
func since(whole, before *wire.FleetState) *wire.FleetState {
	short := head(whole)
	short.Uses, short.Crashes, short.Leavers = whole.GetUses(), whole.GetCrashes(), whole.GetLeavers()
	if before == nil {
		short.Tallies, short.Held, short.Profiles = whole.GetTallies(), whole.GetHeld(), whole.GetProfiles()
		return short
	}
	short.Base = before.GetNumber()
	short.Tallies = changedTallies(whole.GetTallies(), before.GetTallies())
	short.Profiles = changedProfiles(whole.GetProfiles(), before.GetProfiles())
	targets := make(map[string]*wire.HeldTarget, len(before.GetHeld()))
	for _, ht := range before.GetHeld() {
		targets[ht.GetTarget()] = ht
	}
	for _, ht := range whole.GetHeld() {
		short.Held = append(short.Held, changedTarget(ht, targets[ht.GetTarget()]))
	}
	return short
}

// head returns the fields of a telling that are always there.
func head(fs *wire.FleetState) *wire.FleetState {
	return &wire.FleetState{
		Instance: fs.GetInstance(), Start: fs.GetStart(), Leaving: fs.GetLeaving(), Number: fs.GetNumber(),
		OperatorRevision: fs.GetOperatorRevision(), TargetRevision: fs.GetTargetRevision(),
		OperatorChange: fs.GetOperatorChange(), SteppedBackMs: fs.GetSteppedBackMs(),
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
			!moved(float64(be.GetLeft()), float64(ta.GetLeft()), leftPart)
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
		if !ok || moved(float64(be.GetPrompts()), float64(ep.GetPrompts()), profilePart) ||
			moved(float64(be.GetLate()), float64(ep.GetLate()), profilePart) {
			changed = append(changed, ep)
		}
	}
	return changed
}

// changedTarget returns the word of a target's holder without the adapters that are as they were.
func changedTarget(now, before *wire.HeldTarget) *wire.HeldTarget {
	if before == nil {
		return now
	}
	short := &wire.HeldTarget{
		Target: now.GetTarget(), Active: now.GetActive(), Load: now.GetLoad(), LoadAgeMs: now.GetLoadAgeMs(), Partial: true,
	}
	known := byModel(before.GetModels())
	for _, hm := range now.GetModels() {
		be := known[hm.GetName()]
		delete(known, hm.GetName())
		changed, gone := changedAdapters(hm, be)
		if be == nil || len(changed) > 0 || be.GetVersion() != hm.GetVersion() {
			short.Models = append(short.Models, &wire.HeldModel{Name: hm.GetName(), Version: hm.GetVersion(), Adapters: changed})
		}
		if len(gone) > 0 {
			short.Gone = append(short.Gone, &wire.HeldModel{Name: hm.GetName(), Adapters: gone})
		}
	}
	for name := range known {
		short.Gone = append(short.Gone, &wire.HeldModel{Name: name})
	}
	return short
}

func byModel(models []*wire.HeldModel) map[string]*wire.HeldModel {
	by := make(map[string]*wire.HeldModel, len(models))
	for _, hm := range models {
		by[hm.GetName()] = hm
	}
	return by
}

func changedAdapters(now, before *wire.HeldModel) (changed, gone []*wire.HeldAdapter) {
	known := byAdapter(before.GetAdapters())
	for _, ad := range now.GetAdapters() {
		be, ok := known[ad.GetName()]
		delete(known, ad.GetName())
		if !ok || be.GetVersion() != ad.GetVersion() ||
			moved(float64(be.GetRequestsTenths()), float64(ad.GetRequestsTenths()), demandPart) {
			changed = append(changed, ad)
		}
	}
	for name := range known {
		gone = append(gone, &wire.HeldAdapter{Name: name})
	}
	return changed, gone
}

func byAdapter(adapters []*wire.HeldAdapter) map[string]*wire.HeldAdapter {
	by := make(map[string]*wire.HeldAdapter, len(adapters))
	for _, ad := range adapters {
		by[ad.GetName()] = ad
	}
	return by
}
