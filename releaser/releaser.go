// Package releaser controls the rolling update of adapters to a new version without taking them out of service. A
// target that replaces an adapter runs no new requests on it until the running ones have ended. Therefore about half of
// the targets that hold the adapter replace it at once and the others later; until then requests may use either
// version.
package releaser

import (
	"sync"
	"time"

	"lovagebank/balancer"
)

const (
	// gracePeriod is how long after the announcement of a version requests may still begin on the previous one. The rest
	// of the time within which the version has to be in force is left for requests that wait at their target.
	gracePeriod = 1500 * time.Millisecond
	// secondHalfDelay is the delay from the announcement of a version until the second half of the targets replaces the
	// adapter.
	secondHalfDelay = 1100 * time.Millisecond
)

// release is the newest version of one adapter.
type release struct {
	version int64
	// previous is the version that was in force before, and previousUntil is the time up to which requests may still begin
	// on it.
	previous      int64
	previousUntil time.Time
	// secondHalfAt is the time from which the second half of the targets replaces the adapter.
	secondHalfAt time.Time
}

// Releaser tracks the announced versions of adapters. It is safe for concurrent use; the zero Releaser is ready to use.
type Releaser struct {
	mu       sync.Mutex
	releases map[balancer.Adapter]release
}

// Announce records the announcement of an adapter's version and ignores versions that are not newer than the known one. A
// version that may have been announced long ago, because it was read at the start or after an outage of the store, is
// not fresh and is in force at once.
func (re *Releaser) Announce(ad balancer.Adapter, version int64, fresh bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.releases == nil {
		re.releases = make(map[balancer.Adapter]release)
	}
	current := re.releases[ad]
	if version <= current.version {
		return
	}
	next := release{version: version}
	if now := time.Now(); fresh {
		next.previous, next.previousUntil, next.secondHalfAt = current.version, now.Add(gracePeriod), now.Add(secondHalfDelay)
		if now.Before(current.previousUntil) {
			// The previous release is still in progress. Its deadlines stay, so that they are not postponed again and again.
			next.previous, next.previousUntil, next.secondHalfAt = current.previous, current.previousUntil, current.secondHalfAt
		}
	}
	re.releases[ad] = next
}

// NewestVersion returns the newest announced version of an adapter, or 0 if there is none.
func (re *Releaser) NewestVersion(ad balancer.Adapter) int64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.releases[ad].version
}

// MinVersion returns the minimum version on which a request may begin now, or 0 for any.
func (re *Releaser) MinVersion(ad balancer.Adapter) int64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	rl := re.releases[ad]
	if time.Now().Before(rl.previousUntil) {
		return rl.previous
	}
	return rl.version
}

// MayReplace reports whether a target should replace an adapter with its newest version now. place is the index of the
// target, from 0, among the targets that hold the adapter, in an order that is the same at all instances.
func (re *Releaser) MayReplace(ad balancer.Adapter, place int) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return place%2 == 0 || !time.Now().Before(re.releases[ad].secondHalfAt)
}
