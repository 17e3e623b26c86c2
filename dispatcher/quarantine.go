package dispatcher

import (
	"sync"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

const (
	// deathLimit is the number of target deaths at which a request is quarantined.
	deathLimit = 2
	// maxSuspects limits the requests remembered. When it is reached, the one that expires first is evicted.
	maxSuspects = 4096
)

// quarantine records the requests that were running on targets when the targets died. A request with two deaths is
// refused, unless each of its deaths is attributed to another request. A death is attributed to a request that saw it,
// has two deaths itself, and has at least one death that no other request with two deaths saw. So a request that ran
// beside two different crashing requests is released as soon as those are identified.
type quarantine struct {
	retention time.Duration

	mu       sync.Mutex
	suspects map[string]*crashRecord
	// running counts the requests in flight on this instance by fingerprint.
	running map[string]int
}

func newQuarantine(retention time.Duration) *quarantine {
	return &quarantine{retention: retention, suspects: map[string]*crashRecord{}, running: map[string]int{}}
}

// admit counts a request as running, unless it is quarantined. The refusal says not-run only if no other copy of the
// request is running on this instance.
func (qu *quarantine) admit(fingerprint string, now time.Time) *requester.Refusal {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.isQuarantinedLocked(fingerprint, now) {
		const message = "the request ran on two targets when they died"
		left := qu.suspects[fingerprint].expires.Sub(now)
		if qu.running[fingerprint] > 0 {
			return requester.RefuseUnknown(requester.CodeQuarantined, message, left)
		}
		return requester.Refuse(requester.CodeQuarantined, message, left)
	}
	qu.running[fingerprint]++
	return nil
}

func (qu *quarantine) end(fingerprint string) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.running[fingerprint]--; qu.running[fingerprint] <= 0 {
		delete(qu.running, fingerprint)
	}
}

// unexpired returns the entry of a request, or nil if there is none or it has expired. The caller holds the lock.
func (qu *quarantine) unexpired(fingerprint string, now time.Time) *crashRecord {
	cr := qu.suspects[fingerprint]
	if cr != nil && !now.Before(cr.expires) {
		delete(qu.suspects, fingerprint)
		return nil
	}
	return cr
}

func (qu *quarantine) isSuspect(fingerprint string, now time.Time) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	cr := qu.unexpired(fingerprint, now)
	return cr != nil && len(cr.deaths) > 0
}

func (qu *quarantine) isQuarantined(fingerprint string, now time.Time) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.isQuarantinedLocked(fingerprint, now)
}

// isQuarantinedLocked reports whether a request is quarantined. The caller holds the lock.
func (qu *quarantine) isQuarantinedLocked(fingerprint string, now time.Time) bool {
	cr := qu.unexpired(fingerprint, now)
	if cr == nil || !cr.atDeathLimit() {
		return false
	}
	for _, de := range cr.deaths {
		if !qu.isAttributedToOther(cr, de) {
			return true
		}
	}
	return false
}

// isAttributedToOther reports whether a death of a request is attributed to another request.
func (qu *quarantine) isAttributedToOther(cr *crashRecord, de death) bool {
	for _, other := range qu.suspects {
		if other != cr && other.atDeathLimit() && other.hasDeath(de) && qu.hasUnsharedDeath(other) {
			return true
		}
	}
	return false
}

// hasUnsharedDeath reports whether a request has a death that no other request at the death limit saw.
func (qu *quarantine) hasUnsharedDeath(cr *crashRecord) bool {
	for _, de := range cr.deaths {
		shared := false
		for _, other := range qu.suspects {
			shared = shared || (other != cr && other.atDeathLimit() && other.hasDeath(de))
		}
		if !shared {
			return true
		}
	}
	return false
}

// recordDeath records that a target died while it ran a request.
func (qu *quarantine) recordDeath(fingerprint string, de death) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if cr := qu.getOrCreate(fingerprint, de.at, de.at.Add(qu.retention)); cr != nil {
		cr.add(de)
	}
}

// clearDeaths clears the deaths of a request that ran to its end.
func (qu *quarantine) clearDeaths(fingerprint string, now time.Time) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if cr := qu.unexpired(fingerprint, now); cr != nil {
		cr.clear(now)
	}
}

// getOrCreate returns the entry of a request, which it creates if needed, and extends its expiry to at least expires.
// It returns nil for an empty fingerprint. The caller holds the lock.
func (qu *quarantine) getOrCreate(fingerprint string, now, expires time.Time) *crashRecord {
	if fingerprint == "" {
		return nil
	}
	cr := qu.unexpired(fingerprint, now)
	if cr == nil {
		qu.evictIfFull()
		cr = &crashRecord{}
		qu.suspects[fingerprint] = cr
	}
	if expires.After(cr.expires) {
		cr.expires = expires
	}
	return cr
}

func (qu *quarantine) evictIfFull() {
	if len(qu.suspects) < maxSuspects {
		return
	}
	var first string
	var at time.Time
	for fingerprint, cr := range qu.suspects {
		if first == "" || cr.expires.Before(at) {
			first, at = fingerprint, cr.expires
		}
	}
	delete(qu.suspects, first)
}

// entries returns the entries to gossip to other instances. Times are sent as ages, since the clocks of instances are
// not compared.
func (qu *quarantine) entries(now time.Time) []*wire.Quarantine {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	entries := make([]*wire.Quarantine, 0, len(qu.suspects))
	for fingerprint := range qu.suspects {
		cr := qu.unexpired(fingerprint, now)
		if cr == nil {
			continue
		}
		entry := &wire.Quarantine{
			Fingerprint: fingerprint, Crashes: int32(len(cr.deaths)), LeftMs: cr.expires.Sub(now).Milliseconds(),
		}
		if !cr.cleared.IsZero() {
			entry.ClearedAgeMs = now.Sub(cr.cleared).Milliseconds() + 1
		}
		for _, de := range cr.deaths {
			entry.Deaths = append(entry.Deaths, &wire.TargetDeath{
				Target: de.target, AgeMs: now.Sub(de.at).Milliseconds(), SpanMs: de.at.Sub(de.started).Milliseconds(),
			})
		}
		entries = append(entries, entry)
	}
	return entries
}

func (qu *quarantine) merge(entries []*wire.Quarantine, now time.Time) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, entry := range entries {
		left := min(milliseconds(entry.GetLeftMs()), qu.retention)
		if left <= 0 {
			continue
		}
		cr := qu.getOrCreate(entry.GetFingerprint(), now, now.Add(left))
		if cr == nil {
			continue
		}
		if age := entry.GetClearedAgeMs(); age > 0 {
			if cleared := now.Add(-milliseconds(age - 1)); cleared.After(cr.cleared) {
				cr.dropDeathsBefore(cleared)
			}
		}
		for _, td := range entry.GetDeaths() {
			at := now.Add(-milliseconds(td.GetAgeMs()))
			cr.add(death{td.GetTarget(), at.Add(-milliseconds(td.GetSpanMs())), at})
		}
	}
}

func (cr *crashRecord) dropDeathsBefore(cleared time.Time) {
	deaths := cr.deaths
	cr.clear(cleared)
	for _, de := range deaths {
		cr.add(de)
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
