package dispatcher

import (
	"sync"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

const (
	// crashesToStop is the number of deaths at which a request is stopped.
	crashesToStop = 2
	// maxSuspects bounds the requests remembered; the one that expires first goes when it is reached.
	maxSuspects = 4096
)

// quarantine remembers the requests that ran on targets when they died. A request at two deaths is stopped, unless all
// its deaths are explained by others: by requests at two deaths of which one was theirs alone among such requests.
// So a neighbour of two different crashing requests is let go as soon as those are known.
type quarantine struct {
	keep time.Duration

	mu       sync.Mutex
	suspects map[string]*suspicion
	// running counts the requests in flight here by fingerprint.
	running map[string]int
}

func newQuarantine(keep time.Duration) *quarantine {
	return &quarantine{keep: keep, suspects: map[string]*suspicion{}, running: map[string]int{}}
}

// enter counts a request in, unless it is stopped. It is refused as not run only if no other copy runs here.
func (qu *quarantine) enter(fingerprint string, now time.Time) *requester.Refusal {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.stopped(fingerprint, now) {
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

func (qu *quarantine) leave(fingerprint string) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.running[fingerprint]--; qu.running[fingerprint] <= 0 {
		delete(qu.running, fingerprint)
	}
}

// live returns a suspicion that has not expired; the caller locks.
func (qu *quarantine) live(fingerprint string, now time.Time) *suspicion {
	su := qu.suspects[fingerprint]
	if su != nil && !now.Before(su.expires) {
		delete(qu.suspects, fingerprint)
		return nil
	}
	return su
}

func (qu *quarantine) suspect(fingerprint string, now time.Time) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	su := qu.live(fingerprint, now)
	return su != nil && len(su.deaths) > 0
}

func (qu *quarantine) quarantined(fingerprint string, now time.Time) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.stopped(fingerprint, now)
}

// stopped decides on a request; the caller locks.
func (qu *quarantine) stopped(fingerprint string, now time.Time) bool {
	su := qu.live(fingerprint, now)
	if su == nil || !su.crashing() {
		return false
	}
	for _, de := range su.deaths {
		if !qu.explained(su, de) {
			return true
		}
	}
	return false
}

// explained tells whether a death of a request is put down to another one.
func (qu *quarantine) explained(su *suspicion, de death) bool {
	for _, other := range qu.suspects {
		if other != su && other.crashing() && other.saw(de) && qu.hasOwnDeath(other) {
			return true
		}
	}
	return false
}

// hasOwnDeath tells whether a request was the only one at two deaths that saw one of its deaths.
func (qu *quarantine) hasOwnDeath(su *suspicion) bool {
	for _, de := range su.deaths {
		shared := false
		for _, other := range qu.suspects {
			shared = shared || (other != su && other.crashing() && other.saw(de))
		}
		if !shared {
			return true
		}
	}
	return false
}

// died notes that a target died while a request ran on it.
func (qu *quarantine) died(fingerprint string, de death) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if su := qu.noted(fingerprint, de.at, de.at.Add(qu.keep)); su != nil {
		su.add(de)
	}
}

// exonerate forgets the deaths of a request that ran to its end.
func (qu *quarantine) exonerate(fingerprint string, now time.Time) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if su := qu.live(fingerprint, now); su != nil {
		su.clear(now)
	}
}

// noted returns the entry of a request, made where there was none, that expires no earlier than stated.
func (qu *quarantine) noted(fingerprint string, now, expires time.Time) *suspicion {
	if fingerprint == "" {
		return nil
	}
	su := qu.live(fingerprint, now)
	if su == nil {
		qu.makeRoom()
		su = &suspicion{}
		qu.suspects[fingerprint] = su
	}
	if expires.After(su.expires) {
		su.expires = expires
	}
	return su
}

func (qu *quarantine) makeRoom() {
	if len(qu.suspects) < maxSuspects {
		return
	}
	var first string
	var at time.Time
	for fingerprint, su := range qu.suspects {
		if first == "" || su.expires.Before(at) {
			first, at = fingerprint, su.expires
		}
	}
	delete(qu.suspects, first)
}

// entries returns what gossip tells others; times go as ages, since clocks of instances are not compared.
func (qu *quarantine) entries(now time.Time) []*wire.Quarantine {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	entries := make([]*wire.Quarantine, 0, len(qu.suspects))
	for fingerprint := range qu.suspects {
		su := qu.live(fingerprint, now)
		if su == nil {
			continue
		}
		entry := &wire.Quarantine{
			Fingerprint: fingerprint, Crashes: int32(len(su.deaths)), LeftMs: su.expires.Sub(now).Milliseconds(),
		}
		if !su.cleared.IsZero() {
			entry.ClearedAgeMs = now.Sub(su.cleared).Milliseconds() + 1
		}
		for _, de := range su.deaths {
			entry.Deaths = append(entry.Deaths, &wire.TargetDeath{
				Target: de.target, AgeMs: now.Sub(de.at).Milliseconds(), SpanMs: de.at.Sub(de.from).Milliseconds(),
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
		left := min(milliseconds(entry.GetLeftMs()), qu.keep)
		if left <= 0 {
			continue
		}
		su := qu.noted(entry.GetFingerprint(), now, now.Add(left))
		if su == nil {
			continue
		}
		if age := entry.GetClearedAgeMs(); age > 0 {
			if cleared := now.Add(-milliseconds(age - 1)); cleared.After(su.cleared) {
				su.forgetBefore(cleared)
			}
		}
		for _, td := range entry.GetDeaths() {
			at := now.Add(-milliseconds(td.GetAgeMs()))
			su.add(death{td.GetTarget(), at.Add(-milliseconds(td.GetSpanMs())), at})
		}
	}
}

func (su *suspicion) forgetBefore(cleared time.Time) {
	deaths := su.deaths
	su.clear(cleared)
	for _, de := range deaths {
		su.add(de)
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
