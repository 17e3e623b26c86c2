// Package evacuator records which failure domains the operator has evacuated. Instances receive changes from the store
// and from each other, in any order; the newest revision of a domain's key applies. The package performs no I/O.
package evacuator

import (
	"slices"
	"sync"
	"time"
)

const (
	// revocationNoticeTime is how long a revocation is reported to peers: several of the intervals at which the
	// instances of a large fleet exchange updates.
	revocationNoticeTime = 15 * time.Second
	// maxDomains limits the failure domains that are kept, including revoked ones, of which the oldest are dropped first.
	// Deployments have a few.
	maxDomains = 1024
)

// Evacuation is the state of the key that evacuates a failure domain.
type Evacuation struct {
	Domain string
	// Revision is the store's revision of the newest known change of the key.
	Revision int64
	// Revoked is set if the key was deleted.
	Revoked bool
}

// record is an evacuation and the time at which this instance received the change that began or ended it.
type record struct {
	evacuation Evacuation
	learnedAt  time.Time
}

// Evacuator records the evacuated failure domains. It is safe for concurrent use.
type Evacuator struct {
	mu      sync.Mutex
	records map[string]record
}

// New returns an Evacuator without evacuations.
func New() *Evacuator { return &Evacuator{records: make(map[string]record)} }

// Apply records that the key of a failure domain was written or, if deleted is set, deleted at a revision of the store.
// It reports whether that begins or ends an evacuation. A change older than the newest known one is ignored. The
// deletion of a key that was not known counts as the end of an evacuation: this instance may have started in between.
func (ev *Evacuator) Apply(domain string, revision int64, deleted bool) bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	known, ok := ev.records[domain]
	if ok && revision <= known.evacuation.Revision || !ok && !ev.makeRoom() {
		return false
	}
	changed := !ok || known.evacuation.Revoked != deleted
	re := record{evacuation: Evacuation{Domain: domain, Revision: revision, Revoked: deleted}, learnedAt: known.learnedAt}
	if changed {
		re.learnedAt = time.Now()
	}
	ev.records[domain] = re
	return changed
}

// makeRoom drops the oldest revocation if there are maxDomains records. It returns false if all of them are evacuations in force.
func (ev *Evacuator) makeRoom() bool {
	if len(ev.records) < maxDomains {
		return true
	}
	oldest, found := record{}, false
	for _, re := range ev.records {
		if re.evacuation.Revoked && (!found || re.learnedAt.Before(oldest.learnedAt)) {
			oldest, found = re, true
		}
	}
	if found {
		delete(ev.records, oldest.evacuation.Domain)
	}
	return found
}

// Contains reports whether a failure domain is evacuated.
func (ev *Evacuator) Contains(domain string) bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	re, ok := ev.records[domain]
	return ok && !re.evacuation.Revoked
}

// All returns the names of the evacuated failure domains, sorted.
func (ev *Evacuator) All() []string {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	var domains []string
	for domain, re := range ev.records {
		if !re.evacuation.Revoked {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Notices returns what to report to peers: the evacuations in force, and those that were revoked within revocationNoticeTime.
func (ev *Evacuator) Notices() []Evacuation {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	var notices []Evacuation
	for _, re := range ev.records {
		if !re.evacuation.Revoked || time.Since(re.learnedAt) < revocationNoticeTime {
			notices = append(notices, re.evacuation)
		}
	}
	return notices
}
