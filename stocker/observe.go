package stocker

import (
	"time"

	"lovagebank/balancer"
)

// Difference is how an engine's own word differs from what was believed of it.
type Difference struct {
	// Missing are adapters that were believed to be there or under way, and Unknown those that were not.
	Missing, Unknown []balancer.Adapter
}

// Empty tells that there is no difference.
func (di Difference) Empty() bool { return len(di.Missing) == 0 && len(di.Unknown) == 0 }

// Observe takes in the engine's own word of what it holds and what is under way to it.
func (sk *Stock) Observe(residents []balancer.Resident, pending map[balancer.Adapter]int64, now time.Time) Difference {
	old := sk.places
	sk.places = make(map[balancer.Adapter]*place, len(old))
	clear(sk.models)
	for _, re := range residents {
		sk.models[re.Model] = re.Version
		for name, version := range re.Adapters {
			ad := balancer.Adapter{Model: re.Model, Name: name}
			sk.places[ad] = &place{version: version, ready: true, loadedAt: now}
			sk.before[ad] = true
		}
	}
	for ad, version := range pending {
		pl := &place{version: version, readyAt: now.Add(sk.loadTime(ad)), loadedAt: now}
		if known, ok := old[ad]; ok && !known.ready {
			pl.readyAt, pl.replaces, pl.late = known.readyAt, known.replaces, known.late
		}
		sk.places[ad] = pl
	}
	for ad, pl := range sk.places {
		if known, ok := old[ad]; ok {
			pl.loadedAt = known.loadedAt
		}
	}
	if _, ok := sk.models[sk.loading]; ok {
		sk.loading = ""
	}
	return difference(old, sk.places)
}

func difference(before, after map[balancer.Adapter]*place) Difference {
	var di Difference
	for ad := range before {
		if _, ok := after[ad]; !ok {
			di.Missing = append(di.Missing, ad)
		}
	}
	for ad := range after {
		if _, ok := before[ad]; !ok {
			di.Unknown = append(di.Unknown, ad)
		}
	}
	return di
}
