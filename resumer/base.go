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
	// since is when this instance received the origin.
	since time.Time
	// missingSince is when the base origin was first missed; zero while it serves. backAt is when it was last seen again after an
	// absence in which it may have been replaced.
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

// covering returns the base origin of the longest prefix that covers a place, with its key. It does not depend on which routes there are now.
func (re *Resumer) covering(pl Place) (string, *baseOrigin, bool) {
	for _, key := range pl.keys() {
		if bo, ok := re.bases[key]; ok && bo.revision != 0 {
			return key, bo, true
		}
	}
	return "", nil, false
}

// watch records which origins serve. After an absence of half the horizon, another instance, which has missed the base origin for longer, may
// have replaced it.
func (bo *baseOrigin) watch(targets map[Origin]int, now time.Time, horizon time.Duration) {
	for og := range targets {
		bo.seenAt[og] = now
	}
	maps.DeleteFunc(bo.seenAt, func(_ Origin, at time.Time) bool { return now.Sub(at) > horizon })
	switch {
	case !bo.known:
		return
	case targets[bo.origin] == 0 && bo.missingSince.IsZero():
		bo.missingSince = now
		if bo.seenAt[bo.origin].IsZero() {
			// It may have been missing for long before this instance received it.
			bo.missingSince = now.Add(-horizon)
		}
	case targets[bo.origin] > 0:
		if !bo.missingSince.IsZero() && now.Sub(bo.missingSince) > horizon/2 {
			bo.backAt = now
		}
		bo.missingSince = time.Time{}
	}
}

// isBase reports whether streams at a place that begin at an origin need no entry of their own. While the base origin has just come back,
// another one may have taken its place, which this instance has not received.
func (re *Resumer) isBase(pl Place, og Origin) bool {
	_, bo, ok := re.covering(pl)
	return ok && bo.known && bo.origin == og && bo.era == re.op.Era() && time.Since(bo.backAt) > re.horizon() && re.upToDate()
}

// upToDate reports whether the copies of the store's keys were current recently enough for no base origin to have been replaced since, in
// the time in which a stream is passed on and taken up again.
func (re *Resumer) upToDate() bool {
	if time.Since(re.currentAt) > maintainInterval && re.op.Current() {
		re.currentAt = time.Now()
	}
	return time.Since(re.currentAt) < re.horizon()/2
}

// originWithoutEntry returns the origin of a stream without an entry. It is unknown for a time after the store has come back from an older
// copy, as its entry may be lost. The store is asked, as this instance may not have received the newest base origin.
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

// sole returns the origin of a stream about which the store cannot be asked: it is known only where there was no other one for longer
// than streams last. An instance that is out of step may not have received others.
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

// Preferred returns the origin at which streams at a place should rather begin now; false if it makes no difference. While the store
// does not answer, no stream can get an entry.
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
		bo.since, bo.missingSince, bo.backAt = time.Now(), time.Time{}, time.Time{}
		re.op.Logger.Info("base origin of streams", "route", entry.GetRoute(), "prefix", bo.place, "key", key, "service", og.Service,
			"software", og.Software, "era", entry.GetEra(), "revision", it.Revision)
	}
	bo.known, bo.origin, bo.era, bo.revision = true, og, entry.GetEra(), it.Revision
	return true
}
