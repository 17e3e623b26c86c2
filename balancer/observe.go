package balancer

import "time"

// TargetUpdate is the state of a target as its holder reports it.
type TargetUpdate struct {
	// Target is the target's ID.
	Target string
	// Holder is the instance that gives the target orders; empty if it may not give any now.
	Holder string
	// Adapters maps the adapters that the target holds, ready to run, to their versions.
	Adapters map[Adapter]int64
	// Load is the number of requests running and waiting. LoadAge is the age of that number.
	Load    int
	LoadAge time.Duration
	// Memory is the target's memory at the time of Load; zero if it is not known.
	Memory Memory
	// Demand is the recent number of requests that all instances sent to the target, by adapter that the target holds.
	Demand map[Adapter]float64
}

// Update applies a state update from a target's holder. The load is kept if a newer one is known.
func (ba *Balancer) Update(ho TargetUpdate) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ho.Target]
	if !ok {
		return
	}
	now := time.Now()
	st.holder, st.updatedAt, st.adapters = ho.Holder, now, ho.Adapters
	ba.fleet.replace(st.demand, ho.Demand)
	st.demand = ho.Demand
	if at := now.Add(-ho.LoadAge); at.After(st.loadAt) {
		st.load, st.loadAt, st.inFlightAtReport = ho.Load, at, st.inFlight
	}
	st.observeMemory(ho, now)
}

// HolderFailed records that a target's holder did not answer. It is asked for no load until its next update.
func (ba *Balancer) HolderFailed(target string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.holder = ""
	}
}

// MarkMissing records that a target has answered that it does not hold an adapter.
func (ba *Balancer) MarkMissing(target string, ad Adapter) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		delete(st.adapters, ad)
	}
}

// MarkLoaded records that a target has loaded an adapter.
func (ba *Balancer) MarkLoaded(target string, ad Adapter, version int64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.adapters[ad] = version
	}
}

// SetLoad records the load that a target reported in an answer, as a number of requests running and waiting.
func (ba *Balancer) SetLoad(target string, load int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.load, st.loadAt, st.inFlightAtReport = load, time.Now(), st.inFlight
	}
}

// Load returns the newest known load of a target, as a number of requests running and waiting, and when it was.
func (ba *Balancer) Load(target string) (int, time.Time) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		return st.load, st.loadAt
	}
	return 0, time.Time{}
}

// ConnectionFailed records that a target broke a connection or, if it is unreachable, that no connection to it could be opened.
func (ba *Balancer) ConnectionFailed(target string, unreachable bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	wait := min(initialSuspectTime<<min(st.failures, 8), maxSuspectTime)
	st.failures++
	st.unreachable = unreachable
	st.suspectUntil = time.Now().Add(wait)
}

// ForgiveFailures forgets that connections to targets have failed, as it was this instance's path to all of them that failed.
func (ba *Balancer) ForgiveFailures() {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for _, st := range ba.states {
		st.failures, st.suspectUntil, st.unreachable = 0, time.Time{}, false
	}
}

// SetTurnWait records how long a prompt would have to wait for its turn at a target.
func (ba *Balancer) SetTurnWait(target string, wait time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.turnAt = time.Now().Add(wait)
	}
}

// Answered records that a target answered, and whether the answer was a failure of the target itself.
func (ba *Balancer) Answered(target string, failure bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	st.failures, st.suspectUntil, st.unreachable = 0, time.Time{}, false
	st.failureRatio *= 1 - failureWeight
	if failure {
		st.failureRatio += failureWeight
	}
}
