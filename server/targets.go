package server

import (
	"context"
	"time"

	"lovagebank/wire"
)

// targetsInterval is the interval at which the placer and the schedulers are updated from the membership.
const targetsInterval = 250 * time.Millisecond

// watchTargets updates the placer and the schedulers from the membership until the context ends.
func (sv *Server) watchTargets(ctx context.Context) {
	ticker := time.NewTicker(targetsInterval)
	defer ticker.Stop()
	var placed []*wire.Target
	for {
		placed = sv.updatePlacer(placed)
		sv.placer.Observe(sv.schedulers.reports())
		sv.schedulers.removeIdle()
		sv.absences.removeReturned(func(instance string) bool { return sv.findMember(instance) != nil })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// updatePlacer passes the currently registered targets to the placer, unless they are the targets that it has. It
// returns the targets that the placer has.
func (sv *Server) updatePlacer(placed []*wire.Target) []*wire.Target {
	targets := sv.gossiper.Targets()
	if len(targets) == len(placed) && (len(targets) == 0 || &targets[0] == &placed[0]) {
		return placed
	}
	sv.placer.Update(engines(targets))
	if len(targets) > 0 {
		sv.targetsKnown.Store(true)
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

// regionInstances returns the number of live instances of this region, which share the region's requests.
func (sv *Server) regionInstances() int {
	count := 0
	for _, me := range sv.gossiper.Members() {
		if me.GetRegion() == sv.settings.Region() && me.GetState() == wire.MemberState_MEMBER_STATE_LIVE {
			count++
		}
	}
	return max(count, 1)
}
