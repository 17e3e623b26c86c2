package resumer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/sleeper"
	"lovagebank/wire"
)

const (
	// maintainInterval is the time between two looks at the origins that serve. baseDelay is the longest time for which an
	// instance leaves a change of base origins to the others.
	maintainInterval = time.Second
	baseDelay        = 2 * time.Second
	// orphanMargin is how much later than their retention entries of lost instances are deleted, as clocks of instances
	// differ by seconds.
	orphanMargin = 10 * time.Second
)

// Route is a route with streams.
type Route struct {
	// Prefix is the place that the route covers, and Name its name for logs.
	Prefix Place
	Name   string
	// Timeout is the longest time for which one attempt at a stream lasts.
	Timeout time.Duration
	// Targets is the number of targets that may begin the route's streams, by origin.
	Targets map[Origin]int
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

// baseChanges returns the transaction that changes base origins, if this instance is to write one now. It waits for a time
// by chance, so that one instance writes it.
func (re *Resumer) baseChanges(routes []Route) (platform.Transaction, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := time.Now()
	if era := re.op.Era(); era != re.era {
		re.eraChanged = re.era != 0
		re.era, re.eraSince = era, now
	}
	_ = re.copyAge()
	byKey := re.watchRoutes(routes, now)
	pr := proposal{re: re, byKey: byKey, written: make(map[string]*baseOrigin), expected: make(map[string]bool)}
	for _, key := range slices.Sorted(maps.Keys(re.bases)) {
		pr.replace(key, re.bases[key])
	}
	// A prefix comes after the ones that cover it.
	for _, rt := range slices.SortedFunc(maps.Values(byKey), func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(a.Prefix.path), len(b.Prefix.path)), cmp.Compare(a.Prefix.String(), b.Prefix.String()))
	}) {
		pr.create(rt)
	}
	if len(pr.tx.Writes) == 0 || !re.op.UpToDate() || re.op.StoreFailed(recentFailure) {
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
	return pr.tx, true
}

// watchRoutes records which origins serve each base origin's prefix, and returns the routes by the keys of their prefixes.
func (re *Resumer) watchRoutes(routes []Route, now time.Time) map[string]Route {
	byKey := make(map[string]Route, len(routes))
	for _, bo := range re.bases {
		bo.routed = false
	}
	for _, rt := range routes {
		re.longest = max(re.longest, rt.Timeout)
		key := rt.Prefix.key()
		bo := re.base(key)
		bo.place, bo.routed = rt.Prefix, true
		byKey[key] = rt
	}
	maps.DeleteFunc(re.bases, func(_ string, bo *baseOrigin) bool { return bo.revision == 0 && !bo.routed })
	serving := make(map[*baseOrigin]map[Origin]int, len(re.bases))
	serve := func(bo *baseOrigin, rt Route) {
		if serving[bo] == nil {
			serving[bo] = make(map[Origin]int)
		}
		maps.Copy(serving[bo], rt.Targets)
	}
	for _, rt := range byKey {
		if _, bo, ok := re.covering(rt.Prefix); ok {
			serve(bo, rt)
		}
	}
	for _, bo := range re.bases {
		if rt, ok := nearestRoute(byKey, bo.place); ok && !bo.routed {
			serve(bo, rt)
		}
	}
	upToDate := re.op.UpToDate()
	for _, bo := range re.bases {
		bo.see(serving[bo], now, re.horizon())
		if upToDate {
			// Before that, targets that serve may not have been received yet.
			bo.watch(serving[bo][bo.origin] > 0, now, re.horizon())
		}
	}
	return byKey
}

// nearestRoute returns the route that serves a place.
func nearestRoute(byKey map[string]Route, pl Place) (Route, bool) {
	for _, key := range pl.keys() {
		if rt, ok := byKey[key]; ok {
			return rt, true
		}
	}
	return Route{}, false
}

// proposal is a transaction that changes base origins.
type proposal struct {
	re    *Resumer
	byKey map[string]Route
	tx    platform.Transaction
	// written holds the base origins that the transaction writes, by key, and expected the keys whose revisions it expects.
	written  map[string]*baseOrigin
	expected map[string]bool
}

// replace proposes another base origin for a prefix in place of one that has not served there for longer than streams
// last, and the same one again if it was written before the store came back from an older copy and streams from before
// then can no longer be taken up.
func (pr *proposal) replace(key string, bo *baseOrigin) {
	re := pr.re
	rt, ok := nearestRoute(pr.byKey, bo.place)
	if !ok || bo.revision == 0 || len(rt.Targets) == 0 || pr.full(1) {
		return
	}
	next := &baseOrigin{place: bo.place, origin: bo.origin, era: re.era}
	switch {
	case time.Since(bo.since) > re.horizon() && (!bo.known || bo.seenAt[bo.origin].IsZero()):
		next.origin = mostCommon(rt.Targets)
	case bo.known && bo.era != re.era && time.Since(re.eraSince) > re.horizon():
	default:
		return
	}
	pr.expect(key, bo.revision)
	pr.write(key, rt.Name, next)
}

// create proposes a base origin for the prefix of a route that has none. Streams without an entry may have begun there on
// a route with a shorter prefix, so it is that of the longest prefix that covers it, until that one has not served there
// for longer than streams last. Only where there is none it is the origin with the most targets.
func (pr *proposal) create(rt Route) {
	re, keys := pr.re, rt.Prefix.keys()
	if len(keys) == 0 || re.bases[keys[0]].revision != 0 || len(rt.Targets) == 0 || pr.full(len(keys)) {
		return
	}
	next := &baseOrigin{place: rt.Prefix, era: re.era}
	cover, covered := pr.cover(keys[1:])
	switch {
	case covered:
		next.origin, next.era = cover.origin, cover.era
	case re.eraChanged && time.Since(re.eraSince) <= re.horizon():
		// The store may have lost a base origin at which streams have begun.
		return
	default:
		next.origin = mostCommon(rt.Targets)
	}
	for _, key := range keys {
		if pr.written[key] != nil {
			break
		}
		bo := re.bases[key]
		if bo != nil && bo.revision != 0 {
			pr.expect(key, bo.revision)
			break
		}
		pr.expect(key, 0)
	}
	pr.write(keys[0], rt.Name, next)
}

// cover returns the base origin of the first of the keys that has one, the transaction included.
func (pr *proposal) cover(keys []string) (*baseOrigin, bool) {
	for _, key := range keys {
		if bo, ok := pr.written[key]; ok {
			return bo, true
		}
		if bo, ok := pr.re.bases[key]; ok && bo.revision != 0 {
			return bo, true
		}
	}
	return nil, false
}

// full reports whether the transaction has no room for another write with the given number of expectations.
func (pr *proposal) full(expectations int) bool {
	return len(pr.tx.Writes)+len(pr.tx.Expected)+expectations+1 > maxBatch
}

func (pr *proposal) expect(key string, revision int64) {
	if !pr.expected[key] {
		pr.expected[key] = true
		pr.tx.Expected = append(pr.tx.Expected, platform.Expectation{Key: basePrefix + key, Revision: revision})
	}
}

func (pr *proposal) write(key, route string, bo *baseOrigin) {
	pr.written[key] = bo
	// A message of numbers and strings can always be encoded.
	value, _ := proto.Marshal(&wire.BaseOrigin{
		Service: bo.origin.Service, Software: bo.origin.Software, Era: bo.era, Route: route, Host: bo.place.host, Prefix: bo.place.path,
	})
	pr.tx.Writes = append(pr.tx.Writes, platform.Write{Key: basePrefix + key, Value: value})
}

// mostCommon returns the origin with the most targets; among equals, the first by name.
func mostCommon(targets map[Origin]int) Origin {
	return slices.MinFunc(slices.Collect(maps.Keys(targets)), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(targets[b], targets[a]), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
}
