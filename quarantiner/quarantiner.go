// Package quarantiner keeps a request that crashes the targets that run it from crashing more of them. Requests are
// told apart by a fingerprint of organisation, path and body; instances tell each other of the crashes they saw.
package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToRefuse is the number of crashes from which a request is refused.
	crashesToRefuse = 3
	// memory is how long a crash is remembered.
	memory = 60 * time.Second
	// maxFingerprints bounds what is remembered.
	maxFingerprints = 4096
)

// Crash is what an instance tells of one fingerprint: the crashes that it saw itself.
type Crash struct {
	Fingerprint uint64
	Count       int
}

type record struct {
	own     int
	others  map[string]int
	lastAt  time.Time
	cleared bool
}

// Quarantiner counts crashes by fingerprint. It is safe for concurrent use.
type Quarantiner struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// New makes a quarantiner.
func New() *Quarantiner { return &Quarantiner{records: make(map[uint64]*record)} }

// Fingerprint tells like requests from others.
func Fingerprint(organisation, method, path string, body []byte) uint64 {
	di := xxhash.New()
	for _, text := range []string{organisation, method, path} {
		_, _ = di.WriteString(text)
		_, _ = di.Write([]byte{0})
	}
	_, _ = di.Write(body)
	return di.Sum64()
}

// Crashed notes that a target broke off while it ran a request.
func (qu *Quarantiner) Crashed(fingerprint uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if rc := qu.record(fingerprint); rc != nil && !rc.cleared {
		rc.own++
		rc.lastAt = time.Now()
	}
}

func (qu *Quarantiner) record(fingerprint uint64) *record {
	rc, ok := qu.records[fingerprint]
	if ok {
		return rc
	}
	if len(qu.records) >= maxFingerprints {
		qu.sweep()
	}
	if len(qu.records) >= maxFingerprints {
		return nil
	}
	rc = &record{others: make(map[string]int)}
	qu.records[fingerprint] = rc
	return rc
}

func (qu *Quarantiner) sweep() {
	for fingerprint, rc := range qu.records {
		if time.Since(rc.lastAt) > memory {
			delete(qu.records, fingerprint)
		}
	}
}

// Succeeded notes that a request like it was answered: it was not what made targets crash.
func (qu *Quarantiner) Succeeded(fingerprint uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if rc, ok := qu.records[fingerprint]; ok {
		rc.cleared, rc.own = true, 0
	}
}

// Refused tells whether a request may not run, and the crashes known.
func (qu *Quarantiner) Refused(fingerprint uint64) (bool, int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	rc, ok := qu.records[fingerprint]
	if !ok || rc.cleared || time.Since(rc.lastAt) > memory {
		return false, 0
	}
	count := rc.own
	for _, others := range rc.others {
		count += others
	}
	return count >= crashesToRefuse, count
}

// Crashes is what this instance tells the others.
func (qu *Quarantiner) Crashes() []Crash {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	var crashes []Crash
	for fingerprint, rc := range qu.records {
		if rc.own > 0 && time.Since(rc.lastAt) < memory {
			crashes = append(crashes, Crash{Fingerprint: fingerprint, Count: rc.own})
		}
	}
	return crashes
}

// Merge takes in what another instance tells.
func (qu *Quarantiner) Merge(instance string, crashes []Crash) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, cr := range crashes {
		rc := qu.record(cr.Fingerprint)
		if rc == nil || rc.others[instance] == cr.Count {
			continue
		}
		rc.others[instance] = cr.Count
		rc.lastAt = time.Now()
	}
}
