package balancer

import "time"

// TargetUpdate is what a target's holder says of it.
type TargetUpdate struct {
	// Target is the target's ID.
	Target string
	// Holder is the instance that gives the target orders; empty where it may not give any now.
	Holder string
	// Adapters maps what the target holds, ready to run, to versions.
	Adapters map[Adapter]int64
	// Load is the number of requests running and waiting; LoadAge is how old that figure is.
	Load    int
	LoadAge time.Duration
	// Demand is how many requests for what the target holds all instances sent it of late, by adapter.
	Demand map[Adapter]float64
}

// Update takes in the word of a target's holder.
func (ba *Balancer) Update(ho TargetUpdate) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ho.Target]
	if !ok {
		return
	}
	now := time.Now()
	st.holder, st.heardAt, st.adapters = ho.Holder, now, ho.Adapters
	ba.fleet.change(st.demand, ho.Demand)
	st.demand = ho.Demand
	if at := now.Add(-ho.LoadAge); at.After(st.loadAt) {
		st.load, st.loadAt, st.inFlightThen = ho.Load, at, st.inFlight
	}
}

// HolderFailed notes that a target's holder did not answer: nothing is asked of it until it is heard again.
func (ba *Balancer) HolderFailed(target string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.holder = ""
	}
}

// MarkMissing notes that a target has said that it does not hold an adapter.
func (ba *Balancer) MarkMissing(target string, ad Adapter) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		delete(st.adapters, ad)
	}
}

// MarkLoaded notes that a target has loaded an adapter.
func (ba *Balancer) MarkLoaded(target string, ad Adapter, version int64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.adapters[ad] = version
	}
}

// SetLoad takes in the load that a target named in an answer.
func (ba *Balancer) SetLoad(target string, load int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.load, st.loadAt, st.inFlightThen = load, time.Now(), st.inFlight
	}
}

// ConnectionFailed notes that a target broke a connection, or that none could be opened to it.
func (ba *Balancer) ConnectionFailed(target string, unreachable bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	wait := min(firstSuspicion<<min(st.failures, 8), maxSuspicion)
	st.failures++
	st.unreachable = unreachable
	st.suspectUntil = time.Now().Add(wait)
}

// SetTurnWait notes how long a prompt would have to wait for its turn at a target.
func (ba *Balancer) SetTurnWait(target string, wait time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st, ok := ba.states[target]; ok {
		st.turnAt = time.Now().Add(wait)
	}
}

// Answered notes that a target answered, and whether with a failure of its own.
func (ba *Balancer) Answered(target string, failure bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	st.failures, st.suspectUntil, st.unreachable = 0, time.Time{}, false
	st.failureShare *= 1 - failureWeight
	if failure {
		st.failureShare += failureWeight
	}
}
