// Package leaser keeps holder leases: of each resource, such as a target's adapter slots or an organisation's bucket,
// at most one instance acts as the holder at any time.
//
// The holder is recorded in the platform's store by compare-and-swap, under the instance's one session. It acts until
// its own deadline, which counts on its monotonic clock from before it sent the last renewal that succeeded. While the
// store is away it acts for as long as every successor that the record names has promised not to take over. A successor
// takes over only when the store shows that the session lapsed, its own promise has run out, and its compare-and-swap
// wins. An instance's identity must be new at each start. model/lease.pml specifies the protocol.
package leaser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Resource is something that has one holder at a time.
type Resource struct {
	name       string
	candidates []string
}

// NewResource makes a resource. The candidates are identities of live instances, the preferred holder first.
func NewResource(name string, candidates []string) Resource {
	return Resource{name: name, candidates: candidates}
}

// TargetName returns the name of the resource for a target's adapter slots.
func TargetName(target string) string { return "target/" + target }

// HomeName returns the name of the resource for the shared part of an organisation's bucket.
func HomeName(organisation string) string { return "home/" + organisation }

// FloorName returns the name of the resource for a failure domain's part of an organisation's bucket.
func FloorName(domain, organisation string) string { return "floor/" + domain + "/" + organisation }

// Name returns the resource's name.
func (rs Resource) Name() string { return rs.name }

// Candidates returns the identities of the instances that may hold the resource, the preferred one first.
func (rs Resource) Candidates() []string { return rs.candidates }

type ranked struct {
	instance string
	weight   uint64
}

// Rendezvous orders instances by rendezvous hashing: each instance comes to the same order, and when one leaves, the
// order of the others stays.
func Rendezvous(name string, instances []string) []string {
	order := make([]ranked, 0, len(instances))
	for _, in := range instances {
		order = append(order, ranked{in, xxhash.Sum64String(in + "\x00" + name)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.instance, b.instance))
	})
	names := make([]string, 0, len(order))
	for _, rk := range order {
		names = append(names, rk.instance)
	}
	return names
}
