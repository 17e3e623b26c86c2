package balancer

import "time"

// BackOff stops requests to a target for a time, because the target has requested it or because its rate limit is used up. A
// longer back-off in force stays.
func (ba *Balancer) BackOff(target string, wait time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return
	}
	if until := time.Now().Add(wait); until.After(st.backOffUntil) {
		st.backOffUntil = until
	}
}

// BackOffRemaining returns the time until the first backed-off target of a service takes requests again. It is 0 if no target of
// the service backs off.
func (ba *Balancer) BackOffRemaining(service string) time.Duration {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	shortest := time.Duration(0)
	for _, st := range ba.byService[service] {
		left := st.backOffUntil.Sub(now)
		if left > 0 && !st.closed() && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// SetRateLimited records whether a start of a target states a rate limit.
func (ba *Balancer) SetRateLimited(ts Start, limited bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[ts.Target]
	if !ok || !st.target.Started().Equal(ts.Started) {
		return
	}
	st.rateLimited = limited
}

// AnyRateLimited reports whether a target of a service states a rate limit.
func (ba *Balancer) AnyRateLimited(service string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for _, st := range ba.byService[service] {
		if st.rateLimited && !st.closed() {
			return true
		}
	}
	return false
}
