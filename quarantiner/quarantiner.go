// Package quarantiner refuses requests that repeatedly crash the targets that run them. Requests are identified by a
// fingerprint of organisation, method, path and body. Instances report the crashes that they saw to each other.
package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusalThreshold is the number of crashes at which a request is refused.
	refusalThreshold = 3
	// crashLifetime is how long a crash counts.
	crashLifetime = 60 * time.Second
	// maxFingerprints bounds the number of fingerprints that are kept.
	maxFingerprints = 4096
)

// Crash is the report of an instance on one fingerprint.
type Crash struct {
	Fingerprint uint64
	// Count is the number of crashes that the instance saw itself.
	Count int
}

// record holds the crashes of one fingerprint.
type record struct {
	ownCrashes int
	// peerCrashes holds the crashes that other instances reported, by instance.
	peerCrashes map[string]int
	lastCrashAt time.Time
	// cleared is set once a request with the fingerprint has succeeded.
	cleared bool
}

// Quarantiner counts crashes by fingerprint. It is safe for concurrent use.
type Quarantiner struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// New returns a Quarantiner without recorded crashes.
func New() *Quarantiner { return &Quarantiner{records: make(map[uint64]*record)} }

// Fingerprint returns a hash that identifies equal requests: the same organisation, method, path and body.
func Fingerprint(organisation, method, path string, body []byte) uint64 {
	di := xxhash.New()
	for _, text := range []string{organisation, method, path} {
		_, _ = di.WriteString(text)
		_, _ = di.Write([]byte{0})
	}
	_, _ = di.Write(body)
	return di.Sum64()
}

// Crashed records that a target broke off while it ran a request, which counts as a crash.
func (qu *Quarantiner) Crashed(fingerprint uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if rc := qu.record(fingerprint); rc != nil && !rc.cleared {
		rc.ownCrashes++
		rc.lastCrashAt = time.Now()
	}
}

// record returns the record of a fingerprint, created if needed. It returns nil if
// maxFingerprints are kept and none has expired.
func (qu *Quarantiner) record(fingerprint uint64) *record {
	rc, ok := qu.records[fingerprint]
	if ok {
		return rc
	}
	if len(qu.records) >= maxFingerprints {
		qu.removeExpired()
	}
	if len(qu.records) >= maxFingerprints {
		return nil
	}
	rc = &record{peerCrashes: make(map[string]int)}
	qu.records[fingerprint] = rc
	return rc
}

// removeExpired removes expired records.
func (qu *Quarantiner) removeExpired() {
	for fingerprint, rc := range qu.records {
		if time.Since(rc.lastCrashAt) > crashLifetime {
			delete(qu.records, fingerprint)
		}
	}
}

// Succeeded records that a request with the fingerprint was answered, so it is not the cause of the crashes. The
// fingerprint stays cleared as long as its record is kept.
func (qu *Quarantiner) Succeeded(fingerprint uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if rc, ok := qu.records[fingerprint]; ok {
		rc.cleared, rc.ownCrashes = true, 0
	}
}

// Refused reports whether a request is refused, and the number of crashes counted for it over all instances.
func (qu *Quarantiner) Refused(fingerprint uint64) (bool, int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	rc, ok := qu.records[fingerprint]
	if !ok || rc.cleared || time.Since(rc.lastCrashAt) > crashLifetime {
		return false, 0
	}
	count := rc.ownCrashes
	for _, reported := range rc.peerCrashes {
		count += reported
	}
	return count >= refusalThreshold, count
}

// Crashes returns the crashes that this instance saw itself, which it reports to its peers.
func (qu *Quarantiner) Crashes() []Crash {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	var crashes []Crash
	for fingerprint, rc := range qu.records {
		if rc.ownCrashes > 0 && time.Since(rc.lastCrashAt) < crashLifetime {
			crashes = append(crashes, Crash{Fingerprint: fingerprint, Count: rc.ownCrashes})
		}
	}
	return crashes
}

// Merge merges the crashes that another instance reported.
func (qu *Quarantiner) Merge(instance string, crashes []Crash) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, cr := range crashes {
		rc := qu.record(cr.Fingerprint)
		if rc == nil || rc.peerCrashes[instance] == cr.Count {
			continue
		}
		rc.peerCrashes[instance] = cr.Count
		rc.lastCrashAt = time.Now()
	}
}
