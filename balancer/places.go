package balancer

import (
	"slices"
	"time"
)

// SetEvacuated records which failure domains are evacuated. Their targets take no requests.
func (ba *Balancer) SetEvacuated(domains []string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		ba.evacuated[domain] = true
	}
	for _, st := range ba.states {
		st.evacuated = ba.evacuated[st.target.FailureDomain()]
	}
}

// TargetsIn returns the targets in a failure domain.
func (ba *Balancer) TargetsIn(domain string) []*Target {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var targets []*Target
	for _, st := range ba.states {
		if st.target.FailureDomain() == domain {
			targets = append(targets, st.target)
		}
	}
	return targets
}

// AnyIn reports whether a service has a target in one of the given regions, also one that takes no requests now; nil stands for
// all.
func (ba *Balancer) AnyIn(service string, regions []string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return slices.ContainsFunc(ba.byService[service], func(st *targetState) bool { return st.inRegions(regions) })
}

// inRegions reports whether a target is in one of the given regions; nil stands for all.
func (st *targetState) inRegions(regions []string) bool {
	return regions == nil || st.region != "" && slices.Contains(regions, st.region)
}

// SetCold records for how much longer a start of a target is cold; 0 if it is not.
func (ba *Balancer) SetCold(ts Start, left time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[ts.Target]; ok && st.target.SameAs(ts) {
		st.coldUntil = time.Now().Add(left)
	}
}

// preferWarm returns the targets that are not cold, if the request prefers them and there are any; all targets otherwise.
func (ne Request) preferWarm(states []*targetState, now time.Time) []*targetState {
	if !ne.PreferWarm {
		return states
	}
	warm := make([]*targetState, 0, len(states))
	for _, st := range states {
		if !now.Before(st.coldUntil) {
			warm = append(warm, st)
		}
	}
	if len(warm) == 0 {
		return states
	}
	return warm
}
