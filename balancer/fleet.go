package balancer

// fleetDemand sums the demand for adapters that the holders of targets report. In a large fleet, a single instance gets too few
// requests to see which adapters are popular.
type fleetDemand struct {
	counts map[Adapter]float64
	total  float64
}

func newFleetDemand() *fleetDemand { return &fleetDemand{counts: make(map[Adapter]float64)} }

// replace replaces the demand last reported for a target with the one reported now.
func (fd *fleetDemand) replace(before, now map[Adapter]float64) {
	for ad, count := range before {
		fd.add(ad, -count)
	}
	for ad, count := range now {
		fd.add(ad, count)
	}
}

func (fd *fleetDemand) add(ad Adapter, count float64) {
	fd.total += count
	fd.counts[ad] += count
	if fd.counts[ad] < minTrackedDemand {
		delete(fd.counts, ad)
	}
}

// replicas returns how many of the given number of targets should hold an adapter.
func (fd *fleetDemand) replicas(ad Adapter, targets int) int {
	return replicas(fd.counts[ad], fd.total, targets)
}
