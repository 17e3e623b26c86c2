package leaser

import "time"

// stepSession creates or renews the session when that is due.
func (mc *machine) stepSession(now time.Time) {
	le := &mc.lease
	if le.pending || now.Before(le.nextAttempt) || (mc.leaving && le.session == "") {
		return
	}
	le.pending = true
	if le.session == "" {
		mc.emit(createSession{})
		return
	}
	mc.emit(renewSession{le.session})
}

// handleSessionResult applies the result of creating or renewing the session.
func (mc *machine) handleSessionResult(now time.Time, res sessionResult) {
	le := &mc.lease
	le.pending = false
	switch {
	case res.outcome == done:
		if res.creating {
			le.session = res.session
			mc.scheduleReacquisition(now)
		}
		le.renewalSentAt = res.sentAt
		le.deadline = res.sentAt.Add(mc.timing.Lease - mc.timing.Margin)
		le.nextAttempt = res.sentAt.Add(mc.timing.RenewalInterval)
		le.failures = 0
	case res.notFound:
		// A lapsed session can't be renewed: its locks are released, and the records must be locked again.
		mc.loseSession(now)
	default:
		le.failures++
		le.nextAttempt = now.Add(mc.jitter(min(retryPause*time.Duration(le.failures), maxRetryPause)))
	}
	mc.step(now)
}

func (mc *machine) loseSession(now time.Time) {
	for _, rc := range mc.records {
		if rc.hold != nil && rc.hold.session == mc.lease.session {
			rc.hold.lastLeaseDeadline = mc.lease.deadline
			rc.hold.session = ""
			mc.changed[rc.name] = true
		}
	}
	mc.lease.session = ""
	mc.lease.nextAttempt = now
}

// scheduleReacquisition sets the time at which held records are locked again. Without valid promises this is at once;
// while promises allow this instance to act, it is spread over Timing.Spread to avoid a burst of requests when the
// store returns.
func (mc *machine) scheduleReacquisition(now time.Time) {
	mc.reacquireAt = now
	for _, rc := range mc.records {
		if rc.hold == nil || rc.hold.releasing {
			continue
		}
		if now.Before(mc.promisedUntil(rc)) {
			mc.reacquireAt = now.Add(time.Duration(mc.random.Int64N(int64(mc.timing.Spread))))
		}
		rc.nextRead = mc.reacquireAt
	}
}

// sessionValid reports whether the store's lease is certainly valid.
func (mc *machine) sessionValid(now time.Time) bool {
	return mc.lease.session != "" && now.Before(mc.lease.deadline)
}

// renewalOverdue reports that the store may be unavailable, so that promises are required.
func (mc *machine) renewalOverdue(now time.Time) bool {
	return now.After(mc.lease.renewalSentAt.Add(mc.timing.RenewalInterval + renewalGrace))
}
