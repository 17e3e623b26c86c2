// Package leaser maintains holder leases. Each resource, such as the adapter slots of a target or the bucket of an
// organisation, has at most one instance that acts as its holder at any time.
//
// The holder is recorded in the platform's store by compare-and-swap, under the instance's single session. It acts
// until its own deadline, which it measures on its monotonic clock from before it sent the last successful renewal.
// While the store is unavailable, it acts for as long as every successor named in the record has promised not to take
// over. A successor takes over only if the store shows that the session has lapsed, its own promise has expired, and
// its compare-and-swap succeeds. The identity of an instance must be new at each start. model/lease.pml specifies the
// protocol.
package leaser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Resource is an item that has at most one holder at a time.
type Resource struct {
	name       string
	candidates []string
}

// NewResource returns a resource. The candidates are identities of live instances, the preferred holder first.
func NewResource(name string, candidates []string) Resource {
	return Resource{name: name, candidates: candidates}
}

// TargetName returns the resource name of a target's adapter slots.
func TargetName(target string) string { return "target/" + target }

// HomeName returns the resource name of the shared part of an organisation's bucket.
func HomeName(organisation string) string { return "home/" + organisation }

// FloorName returns the resource name of a failure domain's share of an organisation's bucket.
func FloorName(domain, organisation string) string { return "floor/" + domain + "/" + organisation }

// Name returns the name of the resource.
func (rs Resource) Name() string { return rs.name }

// Candidates returns the identities of the instances that may hold the resource, the preferred one first.
func (rs Resource) Candidates() []string { return rs.candidates }

type rankedInstance struct {
	instance string
	weight   uint64
}

// Rendezvous orders instances by rendezvous hashing: all instances compute the same order, and when one leaves, the
// order of the others does not change.
func Rendezvous(name string, instances []string) []string {
	order := make([]rankedInstance, 0, len(instances))
	for _, in := range instances {
		order = append(order, rankedInstance{in, xxhash.Sum64String(in + "\x00" + name)})
	}
	slices.SortFunc(order, func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.instance, b.instance))
	})
	names := make([]string, 0, len(order))
	for _, ri := range order {
		names = append(names, ri.instance)
	}
	return names
}
