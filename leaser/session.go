package leaser

import "time"

// stepSession creates or renews the session when that is due.
func (mc *machine) stepSession(now time.Time) {
	le := &mc.lease
	if le.calling || now.Before(le.next) || (mc.leaving && le.session == "") {
		return
	}
	le.calling = true
	if le.session == "" {
		mc.emit(createSession{})
		return
	}
	mc.emit(renewSession{le.session})
}

// answerSession takes the answer to the creation or renewal of the session.
func (mc *machine) answerSession(now time.Time, an sessionAnswer) {
	le := &mc.lease
	le.calling = false
	switch {
	case an.outcome == done:
		if an.creating {
			le.session = an.session
			mc.spreadReacquiring(now)
		}
		le.confirmed = an.sentAt
		le.deadline = an.sentAt.Add(mc.timing.Lease - mc.timing.Margin)
		le.next = an.sentAt.Add(mc.timing.RenewalInterval)
		le.failures = 0
	case an.gone:
		// A lapsed session is never renewed: its locks are gone, and the records must be locked anew.
		mc.loseSession(now)
	default:
		le.failures++
		le.next = now.Add(mc.jitter(min(retryPause*time.Duration(le.failures), longestRetryPause)))
	}
	mc.step(now)
}

func (mc *machine) loseSession(now time.Time) {
	for _, rc := range mc.records {
		if rc.hold != nil && rc.hold.session == mc.lease.session {
			rc.hold.lastLease = mc.lease.deadline
			rc.hold.session = ""
			mc.changed[rc.name] = true
		}
	}
	mc.lease.session = ""
	mc.lease.next = now
}

// spreadReacquiring picks the time at which the records are locked again: soon for those that stand still, and spread
// out while promises carry them, so that the store's return is no stampede.
func (mc *machine) spreadReacquiring(now time.Time) {
	mc.reacquireAt = now
	for _, rc := range mc.records {
		if rc.hold == nil || rc.hold.surrendering {
			continue
		}
		if now.Before(mc.promisedUntil(rc)) {
			mc.reacquireAt = now.Add(time.Duration(mc.random.Int64N(int64(mc.timing.Spread))))
		}
		rc.nextRead = mc.reacquireAt
	}
}

// leased tells whether the store's lease is certainly valid.
func (mc *machine) leased(now time.Time) bool {
	return mc.lease.session != "" && now.Before(mc.lease.deadline)
}

// doubtful tells that the store may be away, so that promises are needed.
func (mc *machine) doubtful(now time.Time) bool {
	return now.After(mc.lease.confirmed.Add(mc.timing.RenewalInterval + doubt))
}
