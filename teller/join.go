package teller

import (
	"slices"

	"lovagebank/wire"
)

// overtaken returns a telling that comes after a newer one: of what it adds to nothing is older than what is known.
func overtaken(told, known *wire.FleetState) *wire.FleetState {
	told.Tallies, told.Held, told.Profiles = known.GetTallies(), known.GetHeld(), known.GetProfiles()
	told.OperatorRevision, told.TargetRevision = known.GetOperatorRevision(), known.GetTargetRevision()
	return told
}

// together puts a telling together with what was told before.
func together(known, told *wire.FleetState) *wire.FleetState {
	whole := head(told)
	whole.Uses, whole.Crashes, whole.Leavers = told.GetUses(), told.GetCrashes(), told.GetLeavers()
	whole.Tallies = replaced(known.GetTallies(), told.GetTallies(), (*wire.OrganisationTally).GetOrganisation)
	whole.Profiles = replaced(known.GetProfiles(), told.GetProfiles(), (*wire.EngineProfile).GetService)
	targets := make(map[string]*wire.HeldTarget, len(known.GetHeld()))
	for _, ht := range known.GetHeld() {
		targets[ht.GetTarget()] = ht
	}
	for _, ht := range told.GetHeld() {
		if !ht.GetPartial() {
			whole.Held = append(whole.Held, ht)
			continue
		}
		if be, ok := targets[ht.GetTarget()]; ok {
			whole.Held = append(whole.Held, targetTogether(be, ht))
		}
	}
	return whole
}

// replaced returns entries with those of the same name replaced, and new ones added.
func replaced[Entry any](known, news []Entry, name func(Entry) string) []Entry {
	by := make(map[string]Entry, len(news))
	for _, en := range news {
		by[name(en)] = en
	}
	all := make([]Entry, 0, len(known)+len(news))
	for _, en := range known {
		if next, ok := by[name(en)]; ok {
			en = next
			delete(by, name(en))
		}
		all = append(all, en)
	}
	for _, en := range news {
		if _, left := by[name(en)]; left {
			all = append(all, en)
		}
	}
	return all
}

func targetTogether(known, told *wire.HeldTarget) *wire.HeldTarget {
	whole := &wire.HeldTarget{Target: told.GetTarget(), Active: told.GetActive(), Load: told.GetLoad(), LoadAgeMs: told.GetLoadAgeMs()}
	gone, changed := byModel(told.GetGone()), byModel(told.GetModels())
	for _, hm := range known.GetModels() {
		dropped, ok := gone[hm.GetName()]
		if ok && len(dropped.GetAdapters()) == 0 {
			continue
		}
		whole.Models = append(whole.Models, modelTogether(hm, changed[hm.GetName()], dropped))
		delete(changed, hm.GetName())
	}
	for _, hm := range told.GetModels() {
		if _, left := changed[hm.GetName()]; left {
			whole.Models = append(whole.Models, hm)
		}
	}
	return whole
}

func modelTogether(known, changed, dropped *wire.HeldModel) *wire.HeldModel {
	gone := byAdapter(dropped.GetAdapters())
	kept := slices.DeleteFunc(slices.Clone(known.GetAdapters()), func(ad *wire.HeldAdapter) bool { return gone[ad.GetName()] != nil })
	whole := &wire.HeldModel{Name: known.GetName(), Version: known.GetVersion()}
	if changed != nil {
		whole.Version = changed.GetVersion()
	}
	whole.Adapters = replaced(kept, changed.GetAdapters(), (*wire.HeldAdapter).GetName)
	return whole
}
