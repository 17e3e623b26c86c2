package encoder

import (
	"slices"

	"lovagebank/wire"
)

// withNewerState returns a state update that arrived after a newer one, with its delta-encoded fields and its revisions replaced
// by the newer known values, so that no older value replaces a newer one.
func withNewerState(update, known *wire.FleetState) *wire.FleetState {
	update.Tallies, update.Held, update.Profiles = known.GetTallies(), known.GetHeld(), known.GetProfiles()
	update.OperatorRevision, update.TargetRevision = known.GetOperatorRevision(), known.GetTargetRevision()
	return update
}

// merge applies a state update to the state that it builds on.
func merge(known, update *wire.FleetState) *wire.FleetState {
	full := withoutDeltas(update)
	full.Tallies = replaceByName(known.GetTallies(), update.GetTallies(), (*wire.OrganisationTally).GetOrganisation)
	full.Profiles = replaceByName(known.GetProfiles(), update.GetProfiles(), (*wire.EngineProfile).GetService)
	targets := make(map[string]*wire.HeldTarget, len(known.GetHeld()))
	for _, ht := range known.GetHeld() {
		targets[ht.GetTarget()] = ht
	}
	for _, ht := range update.GetHeld() {
		if !ht.GetPartial() {
			full.Held = append(full.Held, ht)
			continue
		}
		if be, ok := targets[ht.GetTarget()]; ok {
			full.Held = append(full.Held, mergeTarget(be, ht))
		}
	}
	return full
}

// replaceByName returns the known entries with those of an updated name replaced, followed by the entries with new names.
func replaceByName[Entry any](known, updated []Entry, name func(Entry) string) []Entry {
	byName := make(map[string]Entry, len(updated))
	for _, en := range updated {
		byName[name(en)] = en
	}
	all := make([]Entry, 0, len(known)+len(updated))
	for _, en := range known {
		if next, ok := byName[name(en)]; ok {
			en = next
			delete(byName, name(en))
		}
		all = append(all, en)
	}
	for _, en := range updated {
		if _, left := byName[name(en)]; left {
			all = append(all, en)
		}
	}
	return all
}

func mergeTarget(known, update *wire.HeldTarget) *wire.HeldTarget {
	full := &wire.HeldTarget{
		Target: update.GetTarget(), Active: update.GetActive(), Load: update.GetLoad(), LoadAgeMs: update.GetLoadAgeMs(),
		UsedTokens: update.GetUsedTokens(), TotalTokens: update.GetTotalTokens(),
	}
	if full.Speed = update.GetSpeed(); full.Speed == nil {
		full.Speed = known.GetSpeed()
	}
	removed, changed := byModel(update.GetGone()), byModel(update.GetModels())
	for _, hm := range known.GetModels() {
		dropped, ok := removed[hm.GetName()]
		if ok && len(dropped.GetAdapters()) == 0 {
			continue
		}
		full.Models = append(full.Models, mergeModel(hm, changed[hm.GetName()], dropped))
		delete(changed, hm.GetName())
	}
	for _, hm := range update.GetModels() {
		if _, left := changed[hm.GetName()]; left {
			full.Models = append(full.Models, hm)
		}
	}
	return full
}

func mergeModel(known, changed, dropped *wire.HeldModel) *wire.HeldModel {
	removed := byAdapter(dropped.GetAdapters())
	kept := slices.DeleteFunc(slices.Clone(known.GetAdapters()), func(ad *wire.HeldAdapter) bool { return removed[ad.GetName()] != nil })
	full := &wire.HeldModel{Name: known.GetName(), Version: known.GetVersion()}
	if changed != nil {
		full.Version = changed.GetVersion()
	}
	full.Adapters = replaceByName(kept, changed.GetAdapters(), (*wire.HeldAdapter).GetName)
	return full
}
