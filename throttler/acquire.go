package throttler

import (
	"context"
	"time"

	"lovagebank/balancer"
)

const (
	// grantLifetime is how long after it was asked for a grant may be used. A process that was paused meanwhile asks again.
	grantLifetime = 250 * time.Millisecond
	// shareOfRate is the part of a target's rate that all instances together send while they cannot ask the holder. It comes on
	// top of what the holder grants to those that can.
	shareOfRate = 0.25
	// maxShareTime limits the time since an instance's last decision for which it may catch up on its own share.
	maxShareTime = time.Second
)

// Decision is whether a request may be sent to a target now, and why.
type Decision struct {
	// Admitted reports whether the request may be sent. Otherwise Wait is when the target may be tried again.
	Admitted bool
	Wait     time.Duration
	// Limit is the limit that decided; its rate is 0 and SeenAt is zero if there was none.
	Limit Limit
	// Asked reports whether the holder decided. Otherwise this instance's own share did.
	Asked bool
	// Cold reports whether the target is cold. An admitted request has to be sent before Until then.
	Cold  bool
	Until time.Time
}

// Limited reports whether a rate limit decided.
func (de Decision) Limited() bool { return !de.Limit.SeenAt.IsZero() }

// Acquire decides whether a request may be sent to a target now. It has to be called for every send, directly before it.
func (th *Throttler) Acquire(ctx context.Context, ts balancer.Start) Decision {
	no, li, cold, ok := th.limitInForce(ts)
	if !ok {
		return Decision{Admitted: true}
	}
	began := time.Now()
	gr, err := th.op.Ask(ctx, no)
	if err != nil || gr.Granted && time.Since(began) > grantLifetime {
		return th.useOwnShare(ts)
	}
	th.Merge(gr.Notice)
	if !cold && !gr.Notice.Limit.SeenAt.IsZero() {
		li = gr.Notice.Limit
	}
	th.askedHolder(ts)
	return Decision{Admitted: gr.Granted, Wait: gr.Wait, Limit: li, Asked: true}.validSince(began, cold)
}

// AcquireCold is like Acquire for a target that is cold. It admits requests to other targets without asking the holder.
func (th *Throttler) AcquireCold(ctx context.Context, ts balancer.Start) Decision {
	if _, _, cold, _ := th.limitInForce(ts); !cold {
		return Decision{Admitted: true}
	}
	return th.Acquire(ctx, ts)
}

// validSince limits the validity of a decision on a cold target to grantLifetime after the decision was requested.
func (de Decision) validSince(began time.Time, cold bool) Decision {
	if cold {
		de.Cold, de.Until = true, began.Add(grantLifetime)
	}
	return de
}

// limitInForce returns the notice to send to the target's holder, the limit that applies to a target, and whether the
// target is cold; ok is false if no limit applies.
func (th *Throttler) limitInForce(ts balancer.Start) (no Notice, li Limit, cold, ok bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	st := th.state(ts)
	if st == nil {
		return Notice{}, Limit{}, false, false
	}
	li, cold, ok = th.inForce(ts, st, st.cold.until)
	return st.notice(ts), li, cold, ok
}

// useOwnShare decides by this instance's own share of the rate. That may be one send in minutes, so each instance
// begins at a random point of the time between two of its sends: the sends of all instances together then come at an
// even rate.
func (th *Throttler) useOwnShare(ts balancer.Start) Decision {
	th.mu.Lock()
	defer th.mu.Unlock()
	st := th.state(ts)
	if st == nil {
		return Decision{Admitted: true}
	}
	li, cold, ok := th.inForce(ts, st, st.cold.until)
	if !ok {
		return Decision{Admitted: true}
	}
	now := time.Now()
	if st.share == nil {
		st.share = &bucket{tokens: 1 - th.op.Random()}
	}
	st.share.at = st.decidedAt
	if earliest := now.Add(-maxShareTime); st.share.at.Before(earliest) {
		st.share.at = earliest
	}
	st.decidedAt = now
	rate := shareOfRate * li.Rate / float64(max(th.op.Instances(), 1))
	wait, ok := st.share.take(rate, now)
	return Decision{Admitted: ok, Wait: wait, Limit: li}.validSince(now, cold)
}

// askedHolder records that the holder of a target has just decided for this instance.
func (th *Throttler) askedHolder(ts balancer.Start) {
	th.mu.Lock()
	defer th.mu.Unlock()
	if st := th.state(ts); st != nil {
		st.decidedAt = time.Now()
	}
}
