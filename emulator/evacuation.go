package emulator

import (
	"slices"
	"sync"
	"time"
)

// evacuationNotice is the time within which an evacuation has to be in force at all instances.
const evacuationNotice = 5 * time.Second

// evacuations records the failure domains that the operator has evacuated, and the requests that reached their targets too late.
type evacuations struct {
	mu    sync.Mutex
	since map[string]time.Time
	late  []LateRequest
}

// LateRequest is a request that reached a target of an evacuated failure domain, and how long after the evacuation.
type LateRequest struct {
	ID     string
	Target string
	Domain string
	At     time.Time
	After  time.Duration
}

// Evacuate writes the operator's key that evacuates a failure domain.
func (fl *Fleet) Evacuate(domain string) error {
	if err := fl.store.Put("op/evacuate/"+domain, map[string]any{}); err != nil {
		return err
	}
	ev := fl.evacuations
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.since[domain] = time.Now()
	return nil
}

// Revoke deletes the key that evacuates a failure domain. The domain's targets are cold from then on, in fleets with
// such targets.
func (fl *Fleet) Revoke(domain string) {
	ev := fl.evacuations
	ev.mu.Lock()
	delete(ev.since, domain)
	ev.mu.Unlock()
	for _, id := range fl.TargetIDs() {
		if ta := fl.Target(id); ta != nil && ta.zone == domain && fl.op.Places {
			ta.mu.Lock()
			ta.startCold()
			ta.mu.Unlock()
		}
	}
	fl.store.Remove("op/evacuate/" + domain)
}

// LateRequests returns the requests that reached targets of evacuated failure domains later than evacuationNotice after
// the evacuation.
func (fl *Fleet) LateRequests() []LateRequest {
	ev := fl.evacuations
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return slices.Clone(ev.late)
}

// arrived records a request to a target of a failure domain, if it arrives later than evacuationNotice after the
// domain's evacuation.
func (ev *evacuations) arrived(target, domain, id string) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	since, ok := ev.since[domain]
	if after := time.Since(since); ok && after > evacuationNotice {
		ev.late = append(ev.late, LateRequest{ID: id, Target: target, Domain: domain, At: time.Now(), After: after})
	}
}
