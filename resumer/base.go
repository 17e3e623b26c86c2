package resumer

import (
	"context"
	"errors"
	"maps"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/wire"
)

const (
	// basePrefix begins the keys of the base origins.
	basePrefix = platform.InstancePrefix + "stream-origins/"
	// recentFailure is how long after a failed call streams rather begin at the base origin, which needs no entry.
	recentFailure = 3 * time.Second
	// settleTime is how long a base origin has to have served, as this instance sees it, before streams begin there
	// without entries. Another instance that has not seen it yet may replace it until then; copies that are current are
	// two seconds old at most.
	settleTime = 5 * time.Second
	// maxCopyAge is the greatest age of the copies of the store's keys at which a base origin that has not served for a
	// horizon is relied on.
	maxCopyAge = 2 * time.Second
)

// baseOrigin is what is known of the base origin of a prefix.
type baseOrigin struct {
	// place is the prefix; empty while no route with it has been seen. routed is true while there is one.
	place  Place
	routed bool
	// revision is that of the store's entry; 0 if there is none. origin and era are those of the entry, known if it can be read.
	revision int64
	known    bool
	origin   Origin
	era      int64
	// since is when this instance received the origin, and live is true if it did so as it was written, not as an old
	// entry at its start.
	since time.Time
	live  bool
	// servingSince is since when the base origin has served but for short absences; zero if it has never been seen, or has
	// been missing for longer. missingSince is when it was first missed; zero while it serves. backAt is when it was last
	// seen again after an absence in which it may have been replaced.
	servingSince time.Time
	missingSince time.Time
	backAt       time.Time
	// seenAt maps each origin to when a target there was last seen.
	seenAt map[Origin]time.Time
}

// base returns what is known of the base origin with the given key.
func (re *Resumer) base(key string) *baseOrigin {
	bo, ok := re.bases[key]
	if !ok {
		bo = &baseOrigin{seenAt: make(map[Origin]time.Time)}
		re.bases[key] = bo
	}
	return bo
}

// covering returns the base origin of the longest prefix that covers a place, with its key. It does not depend on which
// routes there are now.
func (re *Resumer) covering(pl Place) (string, *baseOrigin, bool) {
	for _, key := range pl.keys() {
		if bo, ok := re.bases[key]; ok && bo.revision != 0 {
			return key, bo, true
		}
	}
	return "", nil, false
}

// see records which origins serve.
func (bo *baseOrigin) see(targets map[Origin]int, now time.Time, horizon time.Duration) {
	for og := range targets {
		bo.seenAt[og] = now
	}
	maps.DeleteFunc(bo.seenAt, func(_ Origin, at time.Time) bool { return now.Sub(at) > horizon })
}

// watch records whether the base origin serves. After an absence of half the horizon, another instance, which has missed
// it for longer, may have replaced it.
func (bo *baseOrigin) watch(serves bool, now time.Time, horizon time.Duration) {
	if !bo.known {
		return
	}
	if !serves {
		if bo.missingSince.IsZero() {
			bo.missingSince = now
		}
		if now.Sub(bo.missingSince) > horizon/2 {
			bo.servingSince = time.Time{}
		}
		return
	}
	if !bo.missingSince.IsZero() && now.Sub(bo.missingSince) > horizon/2 {
		bo.backAt = now
	}
	bo.missingSince = time.Time{}
	if bo.servingSince.IsZero() {
		bo.servingSince = now
	}
}

// isBase reports whether streams at a place that begin at an origin need no entry of their own. While the base origin has
// just come back, or has just been seen first by an instance that does not know for how long it was missing, another one
// may have taken its place, which this instance has not received.
func (re *Resumer) isBase(pl Place, og Origin) bool {
	_, bo, ok := re.covering(pl)
	if !ok || !bo.known || bo.origin != og || bo.era != re.op.Era() || time.Since(bo.backAt) <= re.horizon() {
		return false
	}
	age := time.Since(bo.servingSince)
	switch {
	case bo.live && time.Since(bo.since) < re.horizon()/2:
		return re.upToDate()
	case bo.servingSince.IsZero():
		return false
	case age <= re.horizon():
		return age >= settleTime && re.copyAge() < maxCopyAge
	default:
		return re.upToDate()
	}
}

// upToDate reports whether the copies of the store's keys were current recently enough for no base origin to have been
// replaced since, in the time in which a stream is passed on and taken up again.
func (re *Resumer) upToDate() bool { return re.copyAge() < re.horizon()/2 }

// copyAge returns how long ago the copies of the store's keys were last known to be current, to within maintainInterval.
func (re *Resumer) copyAge() time.Duration {
	if time.Since(re.currentAt) > maintainInterval && re.op.Current() {
		re.currentAt = time.Now()
	}
	return time.Since(re.currentAt)
}

// originWithoutEntry returns the origin of a stream without an entry. It is unknown for a time after the store has come
// back from an older copy, as its entry may be lost. The store is asked, as this instance may not have received the newest
// base origin.
func (re *Resumer) originWithoutEntry(ctx context.Context, pl Place) (Origin, Source, error) {
	re.mu.Lock()
	key, _, ok := re.covering(pl)
	ok = ok && re.upToDate()
	re.mu.Unlock()
	if !ok {
		return Origin{}, FromBase, ErrUnknown
	}
	it, err := re.op.Get(ctx, basePrefix+key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Origin{}, FromBase, ErrUnknown
	case err != nil:
		og, err := re.sole(pl)
		return og, FromSole, err
	}
	var entry wire.BaseOrigin
	if err := proto.Unmarshal(it.Value, &entry); err != nil || entry.GetEra() != re.op.Era() {
		return Origin{}, FromBase, errors.Join(ErrUnknown, err)
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if now, _, ok := re.covering(pl); !ok || now != key {
		// A longer prefix has got a base origin of its own while the store was asked.
		return Origin{}, FromBase, ErrUnknown
	}
	return Origin{Service: entry.GetService(), Software: entry.GetSoftware()}, FromBase, nil
}

// sole returns the origin of a stream about which the store cannot be asked: it is known only where there was no other one
// for longer than streams last. An instance that is out of step may not have received others.
func (re *Resumer) sole(pl Place) (Origin, error) {
	if !re.op.InStep() {
		return Origin{}, ErrUnknown
	}
	routes := re.op.Routes()
	re.mu.Lock()
	defer re.mu.Unlock()
	// Another origin may have begun to serve since the last look.
	re.watchRoutes(routes, time.Now())
	_, bo, ok := re.covering(pl)
	if !ok || !bo.known || time.Since(bo.since) < re.horizon() || len(bo.seenAt) != 1 || bo.seenAt[bo.origin].IsZero() {
		return Origin{}, ErrUnknown
	}
	return bo.origin, nil
}

// Preferred returns the origin at which streams at a place should rather begin now; false if it makes no difference. While
// the store does not answer, no stream can get an entry.
func (re *Resumer) Preferred(pl Place) (Origin, bool) {
	if !re.op.StoreFailed(recentFailure) {
		return Origin{}, false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	_, bo, ok := re.covering(pl)
	if !ok || !bo.known || len(bo.seenAt) < 2 {
		return Origin{}, false
	}
	return bo.origin, true
}

// Apply applies a change of a key of the store; it returns false for keys that concern others.
func (re *Resumer) Apply(it platform.Item) bool {
	key, ok := strings.CutPrefix(it.Key, basePrefix)
	if !ok {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	bo := re.base(key)
	var entry wire.BaseOrigin
	if err := proto.Unmarshal(it.Value, &entry); it.Deleted || err != nil {
		bo.known, bo.origin, bo.revision, bo.since = false, Origin{}, it.Revision, time.Now()
		if it.Deleted {
			bo.revision = 0
		}
		return true
	}
	if host, prefix := entry.GetHost(), entry.GetPrefix(); prefix != "" {
		bo.place = NewPlace(host, prefix)
	}
	og := Origin{Service: entry.GetService(), Software: entry.GetSoftware()}
	if !bo.known || bo.origin != og {
		bo.live = re.op.UpToDate()
		bo.since, bo.servingSince, bo.missingSince, bo.backAt = time.Now(), time.Time{}, time.Time{}, time.Time{}
		re.op.Logger.Info("base origin of streams", "route", entry.GetRoute(), "prefix", bo.place, "key", key, "service", og.Service,
			"software", og.Software, "era", entry.GetEra(), "revision", it.Revision)
	}
	bo.known, bo.origin, bo.era, bo.revision = true, og, entry.GetEra(), it.Revision
	return true
}
