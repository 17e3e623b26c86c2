package provisioner

import (
	"time"

	"lovagebank/balancer"
)

// Difference is the difference between an engine's report and the state tracked for it.
type Difference struct {
	// Missing are adapters that were tracked as held or pending but are not reported, and Unknown adapters that are
	// reported but were not tracked.
	Missing, Unknown []balancer.Adapter
}

// Empty reports whether there is no difference.
func (di Difference) Empty() bool { return len(di.Missing) == 0 && len(di.Unknown) == 0 }

// Observe replaces the tracked state by the engine's own report of what it holds and what it is loading, and returns
// the difference between the two.
func (iv *Inventory) Observe(residents []balancer.Resident, pending map[balancer.Adapter]int64, now time.Time) Difference {
	old := iv.slots
	iv.slots = make(map[balancer.Adapter]*slot, len(old))
	clear(iv.models)
	for _, re := range residents {
		iv.models[re.Model] = re.Version
		for name, version := range re.Adapters {
			ad := balancer.Adapter{Model: re.Model, Name: name}
			iv.slots[ad] = &slot{version: version, ready: true, loadedAt: now}
			iv.loadedBefore[ad] = true
		}
	}
	for ad, version := range pending {
		sl := &slot{version: version, readyAt: now.Add(iv.loadTime(ad)), loadedAt: now}
		if tracked, ok := old[ad]; ok && !tracked.ready {
			sl.readyAt, sl.replaces, sl.late = tracked.readyAt, tracked.replaces, tracked.late
		}
		iv.slots[ad] = sl
	}
	for ad, sl := range iv.slots {
		if tracked, ok := old[ad]; ok {
			sl.loadedAt = tracked.loadedAt
		}
	}
	if _, ok := iv.models[iv.loading]; ok {
		iv.loading = ""
	}
	return difference(old, iv.slots)
}

func difference(before, after map[balancer.Adapter]*slot) Difference {
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
