package server

import (
	"sync"
	"time"
)

// unheldAfter is how long a holder has to be gone before its target is served without a lease: longer than a lease and
// a promise last, so that a holder that was only paused or cut off has stopped to act.
const unheldAfter = 20 * time.Second

// tenure is an instance's time as the holder of a target; the instance is empty while it isn't known here.
type tenure struct {
	target string
	holder string
}

// absences remembers since when holders have been no members.
type absences struct {
	mu    sync.Mutex
	begun map[tenure]time.Time
}

func newAbsences() *absences { return &absences{begun: make(map[tenure]time.Time)} }

// mayAct tells whether a holder may still act: it is a member, or hasn't been none for long, counted from the first time
// it was asked for. One that isn't known counts as absent: an instance that has just started knows no holders.
func (ab *absences) mayAct(tn tenure, member bool, now time.Time) bool {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if member {
		ab.forget(tn.target)
		return true
	}
	begun, known := ab.begun[tn]
	if !known {
		ab.forget(tn.target)
		ab.begun[tn] = now
		return true
	}
	return now.Sub(begun) < unheldAfter
}

// returned forgets the absence of the holders that are members.
func (ab *absences) returned(isMember func(instance string) bool) {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	for tn := range ab.begun {
		if isMember(tn.holder) {
			delete(ab.begun, tn)
		}
	}
}

// forget drops what is known of a target's holders; the lock is held.
func (ab *absences) forget(target string) {
	for tn := range ab.begun {
		if tn.target == target {
			delete(ab.begun, tn)
		}
	}
}
