package balancer

import "time"

// BackOff keeps requests from a target that has asked to be left alone for a time.
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

// BackOffRemaining is how long it takes until the first target of a service that has asked to be left alone takes requests again;
// 0 if there is none.
func (ba *Balancer) BackOffRemaining(service string) time.Duration {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	least := time.Duration(0)
	for _, st := range ba.service[service] {
		left := st.backOffUntil.Sub(now)
		if left > 0 && !st.closing() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
