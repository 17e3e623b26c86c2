package server

import (
	"context"
	"time"

	"lovagebank/wire"
)

// targetsInterval is how often the placer and the holdings follow the membership.
const targetsInterval = 250 * time.Millisecond

// watchTargets keeps the placer and the holdings in step with the membership until the context ends.
func (sv *Server) watchTargets(ctx context.Context) {
	ticker := time.NewTicker(targetsInterval)
	defer ticker.Stop()
	var placed []*wire.Target
	for {
		placed = sv.place(placed)
		sv.placer.Observe(sv.holdings.reports())
		sv.holdings.sweep()
		sv.absences.returned(func(instance string) bool { return sv.findMember(instance) != nil })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// place gives the placer the targets as they are known now, unless they are the ones that it has.
func (sv *Server) place(placed []*wire.Target) []*wire.Target {
	targets := sv.gossiper.Targets()
	if len(targets) == len(placed) && (len(targets) == 0 || &targets[0] == &placed[0]) {
		return placed
	}
	sv.placer.Update(engines(targets))
	if len(targets) > 0 {
		sv.placing.Store(true)
	}
	return targets
}

func engines(targets []*wire.Target) []*wire.Target {
	var found []*wire.Target
	for _, tg := range targets {
		if tg.GetKind() == targetKindEngine {
			found = append(found, tg)
		}
	}
	return found
}

// instancesNear counts the live instances of this region, which share its requests.
func (sv *Server) instancesNear() int {
	count := 0
	for _, me := range sv.gossiper.Members() {
		if me.GetRegion() == sv.settings.Region() && me.GetState() == wire.MemberState_MEMBER_STATE_LIVE {
			count++
		}
	}
	return max(count, 1)
}
