package balancer

import "time"

// Request is what a request needs of a target.
type Request struct {
	// Service names the service.
	Service string
	// Adapter is what the request runs on; without a model it is a request to a plain service.
	Adapter Adapter
	// Version is the least version of the adapter that may serve it; 0 for any.
	Version int64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// Excluded are targets that have been tried.
	Excluded map[string]bool
	// HeldOnly asks for targets that hold the adapter already.
	HeldOnly bool
	// Retry marks a further try of a request that has been counted in the demand.
	Retry bool
}

// Choice is the target for a request.
type Choice struct {
	target *Target
	holds  bool
	holder string
	spread *Target
	by     string
	urgent bool
	others int
	load   float64
	age    time.Duration
}

// Target is where the request should go.
func (ch *Choice) Target() *Target { return ch.target }

// Holds tells whether the target is believed to hold the adapter; if not, Holder has to load it first.
func (ch *Choice) Holds() bool { return ch.holds }

// Holder is the instance that may order the target to load.
func (ch *Choice) Holder() string { return ch.holder }

// Alternatives is the number of other targets that are believed to hold the adapter and could take the request.
func (ch *Choice) Alternatives() int { return ch.others }

// Load is the target's believed load, in shares of its slots, and Age how old its last word on it is.
func (ch *Choice) Load() float64 { return ch.load }

// LoadAge is how old the target's last word on its load is; 0 if it never gave one.
func (ch *Choice) LoadAge() time.Duration { return ch.age }

// Replica is a further target that should load the adapter, as its demand grows; nil for none. ReplicaHolder may order it.
func (ch *Choice) Replica() *Target { return ch.spread }

// ReplicaHolder is the instance that may order Spread to load.
func (ch *Choice) ReplicaHolder() string { return ch.by }

// Urgent tells that the targets that hold the adapter are crowded, so that Spread may push out another adapter.
func (ch *Choice) Urgent() bool { return ch.urgent }

// Choose picks the target for a request; ok is false where no target could take it.
func (ba *Balancer) Choose(ne Request) (*Choice, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	usable := ba.usable(ne, now)
	if len(usable) == 0 {
		return nil, false
	}
	if ne.Adapter.Model == "" {
		return ba.choice(ba.idlest(usable, now), now), true
	}
	if !ne.Retry {
		ba.demand.add(ne.Adapter, now)
	}
	return ba.chooseEngine(ne, usable, now)
}

func (ba *Balancer) choice(st *state, now time.Time) *Choice {
	ch := &Choice{target: st.target, holds: true, load: st.weight(), holder: ba.loadingHolder(st, now)}
	if !st.loadAt.IsZero() {
		ch.age = now.Sub(st.loadAt)
	}
	return ch
}

// usable returns the targets that may take the request: those not suspected, or else all but those that cannot be
// reached and are being tried already: waiting for the same connection again would be in vain.
func (ba *Balancer) usable(ne Request, now time.Time) []*state {
	all := ba.service[ne.Service]
	open := make([]*state, 0, len(all))
	suspected := 0
	for _, st := range all {
		if st.closed(now) || ne.Excluded[st.target.ID()] {
			continue
		}
		if now.Before(st.suspectUntil) {
			suspected++
			continue
		}
		open = append(open, st)
	}
	if len(open) > 0 || suspected == 0 {
		return open
	}
	for _, st := range all {
		hopeless := st.unreachable && st.probes > 0
		if !st.closed(now) && !ne.Excluded[st.target.ID()] && !hopeless {
			open = append(open, st)
		}
	}
	return open
}

// loadingHolder is the instance that can order the target to load now; empty if none is known to.
func (ba *Balancer) loadingHolder(st *state, now time.Time) string {
	if now.Sub(st.heardAt) > max(missedTellings*ba.op.Interval(), leastHolderSilence) {
		return ""
	}
	return st.holder
}
