package server

import (
	"sync"
	"time"
)

// absences remembers since when instances have been no members.
type absences struct {
	mu    sync.Mutex
	begun map[string]time.Time
}

func newAbsences() *absences { return &absences{begun: make(map[string]time.Time)} }

// since returns for how long an instance that is no member now has been none, counted from the first time it was asked
// for.
func (ab *absences) since(instance string, now time.Time) time.Duration {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	begun, known := ab.begun[instance]
	if !known {
		ab.begun[instance] = now
		return 0
	}
	return now.Sub(begun)
}

// returned forgets the absence of the instances that are members.
func (ab *absences) returned(isMember func(instance string) bool) {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	for instance := range ab.begun {
		if isMember(instance) {
			delete(ab.begun, instance)
		}
	}
}
