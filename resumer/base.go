package resumer

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/sleeper"
	"lovagebank/wire"
)

const (
	// basePrefix begins the keys of the routes' base origins.
	basePrefix = platform.InstancePrefix + "stream-origins/"
	// maintainInterval is the time between two looks at the origins that serve. baseDelay is the longest time for which an instance
	// leaves a change of base origins to the others.
	maintainInterval = time.Second
	baseDelay        = 2 * time.Second
	// orphanMargin is how much later than their retention entries of lost instances are deleted, as clocks of instances differ by seconds.
	orphanMargin = 10 * time.Second
	// recentFailure is how long after a failed call streams rather begin at the base origin, which needs no entry.
	recentFailure = 3 * time.Second
)

// Route is a route with resumable streams.
type Route struct {
	// Key identifies the route, whatever its services are, and Name is its name for logs.
	Key, Name string
	// Timeout is the longest time for which one attempt at a stream lasts.
	Timeout time.Duration
	// Targets is the number of targets that may begin the route's streams, by origin.
	Targets map[Origin]int
}

// baseOrigin is what is known of a route's base origin.
type baseOrigin struct {
	// origin is the base origin, known if the store's entry of the given revision and era names it.
	origin   Origin
	known    bool
	revision int64
	era      int64
	// missingSince is when the base origin was first missed; zero while it serves. backAt is when it was last seen again after an
	// absence in which it may have been replaced.
	missingSince time.Time
	backAt       time.Time
	// seenAt maps each origin to when a target there was last seen.
	seenAt map[Origin]time.Time
}

// base returns what is known of the base origin of the route with the given key.
func (re *Resumer) base(key string) *baseOrigin {
	bo, ok := re.bases[key]
	if !ok {
		bo = &baseOrigin{seenAt: make(map[Origin]time.Time)}
		re.bases[key] = bo
	}
	return bo
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
	case targets[bo.origin] > 0:
		if !bo.missingSince.IsZero() && now.Sub(bo.missingSince) > horizon/2 {
			bo.backAt = now
		}
		bo.missingSince = time.Time{}
	}
}

// isBase reports whether streams of a route that begin at an origin need no entry of their own. While the base origin has just come back,
// another one may have taken its place, which this instance has not received.
func (re *Resumer) isBase(route string, og Origin) bool {
	bo, ok := re.bases[route]
	return ok && bo.known && bo.origin == og && bo.era == re.op.Era() && time.Since(bo.backAt) > re.horizon()
}

// originWithoutEntry returns the origin of a stream without an entry. It is unknown for a time after the store has come back from an older
// copy, as its entry may be lost. The store is asked, as this instance may not have received the newest base origin.
func (re *Resumer) originWithoutEntry(ctx context.Context, route string) (Origin, Source, error) {
	it, err := re.op.Get(ctx, basePrefix+route)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Origin{}, FromBase, ErrUnknown
	case err != nil:
		og, err := re.sole(route)
		return og, FromSole, err
	}
	var entry wire.BaseOrigin
	if err := proto.Unmarshal(it.Value, &entry); err != nil || entry.GetEra() != re.op.Era() {
		return Origin{}, FromBase, errors.Join(ErrUnknown, err)
	}
	return Origin{Service: entry.GetService(), Software: entry.GetSoftware()}, FromBase, nil
}

// sole returns the origin of a stream about which the store cannot be asked: it is known only where there was no other one for longer
// than streams last. An instance that is out of step may not have received others.
func (re *Resumer) sole(route string) (Origin, error) {
	if !re.op.InStep() {
		return Origin{}, ErrUnknown
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	bo, ok := re.bases[route]
	if !ok || time.Since(re.startedAt) < re.horizon() || !bo.known || len(bo.seenAt) != 1 || bo.seenAt[bo.origin].IsZero() {
		return Origin{}, ErrUnknown
	}
	return bo.origin, nil
}

// Preferred returns the origin at which streams of a route should rather begin now; false if it makes no difference. While the store
// does not answer, no stream can get an entry.
func (re *Resumer) Preferred(route string) (Origin, bool) {
	if !re.op.StoreFailed(recentFailure) {
		return Origin{}, false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	bo, ok := re.bases[route]
	if !ok || !bo.known || len(bo.seenAt) < 2 {
		return Origin{}, false
	}
	return bo.origin, true
}

// Apply applies a change of a key of the store; it returns false for keys that concern others.
func (re *Resumer) Apply(it platform.Item) bool {
	route, ok := strings.CutPrefix(it.Key, basePrefix)
	if !ok {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	bo := re.base(route)
	var entry wire.BaseOrigin
	if err := proto.Unmarshal(it.Value, &entry); it.Deleted || err != nil {
		bo.known, bo.revision = false, it.Revision
		if it.Deleted {
			bo.revision = 0
		}
		return true
	}
	og := Origin{Service: entry.GetService(), Software: entry.GetSoftware()}
	if !bo.known || bo.origin != og {
		re.op.Logger.Info("base origin of streams", "route", entry.GetRoute(), "service", og.Service, "software", og.Software,
			"era", entry.GetEra(), "revision", it.Revision)
	}
	if bo.origin != og {
		bo.missingSince, bo.backAt = time.Time{}, time.Time{}
	}
	bo.known, bo.origin, bo.era, bo.revision = true, og, entry.GetEra(), it.Revision
	return true
}

// maintain agrees with the other instances on base origins, and deletes outdated entries, until the context ends.
func (re *Resumer) maintain(ctx context.Context) {
	orphansShare, orphansDeleted := 1+re.op.Random(), false
	for sleeper.For(ctx, maintainInterval) {
		if tx, ok := re.baseChanges(re.op.Routes()); ok {
			// A conflict means that another instance was first; its change is on its way.
			_ = re.transact(ctx, tx)
		}
		re.deleteOutdated(ctx)
		if !orphansDeleted && time.Since(re.startedAt) > time.Duration(orphansShare*float64(re.orphanAge())) {
			orphansDeleted = re.deleteOrphans(ctx) == nil
		}
	}
}

// baseChanges returns the transaction that changes base origins, if this instance is to write one now. It waits for a time by chance, so
// that one instance writes it.
func (re *Resumer) baseChanges(routes []Route) (platform.Transaction, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := time.Now()
	if era := re.op.Era(); era != re.era {
		re.era, re.eraSince = era, now
	}
	var tx platform.Transaction
	for _, rt := range routes {
		re.longest = max(re.longest, rt.Timeout)
		bo := re.base(rt.Key)
		bo.watch(rt.Targets, now, re.horizon())
		if og, wanted := re.wantedBase(bo, rt.Targets); wanted && len(tx.Writes) < maxBatch {
			// A message of numbers and strings can always be encoded.
			value, _ := proto.Marshal(&wire.BaseOrigin{Service: og.Service, Software: og.Software, Era: re.era, Route: rt.Name})
			tx.Expected = append(tx.Expected, platform.Expectation{Key: basePrefix + rt.Key, Revision: bo.revision})
			tx.Writes = append(tx.Writes, platform.Write{Key: basePrefix + rt.Key, Value: value})
		}
	}
	if len(tx.Writes) == 0 || !re.op.UpToDate() || re.op.StoreFailed(recentFailure) {
		re.basesDueAt = time.Time{}
		return platform.Transaction{}, false
	}
	if re.basesDueAt.IsZero() {
		re.basesDueAt = now.Add(time.Duration(re.op.Random() * float64(baseDelay)))
	}
	if now.Before(re.basesDueAt) {
		return platform.Transaction{}, false
	}
	re.basesDueAt = time.Time{}
	return tx, true
}

// wantedBase returns the base origin that a route should have, and whether its entry has to be written: there is none, the base origin has
// not served for longer than streams last, or it was written before the store came back from an older copy and streams from before then
// can no longer be taken up.
func (re *Resumer) wantedBase(bo *baseOrigin, targets map[Origin]int) (Origin, bool) {
	if len(targets) == 0 {
		return Origin{}, false
	}
	settled := time.Since(re.startedAt) > re.horizon()
	switch {
	case !bo.known:
		return mostCommon(targets), true
	case settled && bo.seenAt[bo.origin].IsZero():
		return mostCommon(targets), true
	case bo.era != re.era && time.Since(re.eraSince) > re.horizon():
		return bo.origin, true
	default:
		return Origin{}, false
	}
}

// mostCommon returns the origin with the most targets; among equals, the first by name.
func mostCommon(targets map[Origin]int) Origin {
	return slices.MinFunc(slices.Collect(maps.Keys(targets)), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(targets[b], targets[a]), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
}
