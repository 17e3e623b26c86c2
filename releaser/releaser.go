// Package releaser decides how a new version of an adapter comes into force without taking the adapter out of service. A
// target that replaces an adapter runs nothing on it until the requests that it has begun have ended. So about half of the
// targets that hold the adapter replace it at once and the others a while later, and until then requests may go to either
// version.
package releaser

import (
	"sync"
	"time"

	"lovagebank/balancer"
)

const (
	// grace is how long after a version was named requests may still begin on the one before. The rest of the time
	// within which it has to be in force is left for requests that wait at their target.
	grace = 1500 * time.Millisecond
	// secondHalfAfter is how long after a version was named the second half of the targets replaces the adapter.
	secondHalfAfter = 1100 * time.Millisecond
)

// release is the newest version of one adapter.
type release struct {
	version int64
	// before is what was in force before, and until when requests may still begin on it.
	before int64
	until  time.Time
	// secondHalfAt is when the second half of the targets replaces the adapter.
	secondHalfAt time.Time
}

// Releaser keeps the versions named for adapters. It is safe for concurrent use; the zero Releaser is ready.
type Releaser struct {
	mu       sync.Mutex
	releases map[balancer.Adapter]release
}

// Announce takes in a version named for an adapter. A version that may have been named long ago, as it was read at the start
// or after an outage of the store, is not fresh and is in force at once.
func (re *Releaser) Announce(ad balancer.Adapter, version int64, fresh bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.releases == nil {
		re.releases = make(map[balancer.Adapter]release)
	}
	known := re.releases[ad]
	if version <= known.version {
		return
	}
	next := release{version: version}
	if now := time.Now(); fresh {
		next.before, next.until, next.secondHalfAt = known.version, now.Add(grace), now.Add(secondHalfAfter)
		if now.Before(known.until) {
			// The one before is not in force everywhere yet. Its time must not begin anew.
			next.before, next.until, next.secondHalfAt = known.before, known.until, known.secondHalfAt
		}
	}
	re.releases[ad] = next
}

// NewestVersion returns the newest version named for an adapter; 0 if none is.
func (re *Releaser) NewestVersion(ad balancer.Adapter) int64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.releases[ad].version
}

// MinVersion returns the least version on which a request may begin now; 0 for any.
func (re *Releaser) MinVersion(ad balancer.Adapter) int64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	rl := re.releases[ad]
	if time.Now().Before(rl.until) {
		return rl.before
	}
	return rl.version
}

// MayReplace tells whether a target should replace an adapter by its newest version now. Place is the target's among
// those that hold the adapter, from 0, on which all instances agree.
func (re *Releaser) MayReplace(ad balancer.Adapter, place int) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return place%2 == 0 || !time.Now().Before(re.releases[ad].secondHalfAt)
}
