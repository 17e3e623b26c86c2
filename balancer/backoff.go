package balancer

import "time"

// BackOff stops requests to a target for the time that the target has asked for. A longer back-off in force stays.
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
		if left > 0 && !st.draining() && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}
