package server

import (
	"sync"
	"time"
)

// holderAbsenceTimeout is how long a holder has to be absent before its target is served without a lease. It is longer
// than a lease and a promise last, so that a holder that was only paused or cut off has stopped acting.
const holderAbsenceTimeout = 20 * time.Second

// targetHolder identifies a target and its holder. The holder is empty while it is unknown to this instance.
type targetHolder struct {
	target string
	holder string
}

// absences records since when each holder has not been a member.
type absences struct {
	mu    sync.Mutex
	since map[targetHolder]time.Time
}

func newAbsences() *absences { return &absences{since: make(map[targetHolder]time.Time)} }

// mayAct reports whether a holder may still act: it is a member, or its absence, counted from the first call that saw
// it, is shorter than holderAbsenceTimeout. An unknown holder counts as absent, because an instance that has just
// started has no list of holders.
func (ab *absences) mayAct(th targetHolder, member bool, now time.Time) bool {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if member {
		ab.forget(th.target)
		return true
	}
	since, found := ab.since[th]
	if !found {
		ab.forget(th.target)
		ab.since[th] = now
		return true
	}
	return now.Sub(since) < holderAbsenceTimeout
}

// removeReturned removes the absences of holders that are members again.
func (ab *absences) removeReturned(isMember func(instance string) bool) {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	for th := range ab.since {
		if isMember(th.holder) {
			delete(ab.since, th)
		}
	}
}

// forget removes the absences of a target's holders. The caller holds mu.
func (ab *absences) forget(target string) {
	for th := range ab.since {
		if th.target == target {
			delete(ab.since, th)
		}
	}
}
