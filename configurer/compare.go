package configurer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Action tells what happened to one section of the lists.
type Action string

// The actions of a Difference.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Difference is one section that differs between two snapshots.
type Difference struct {
	action Action
	kind   string
	name   string
}

// Action tells what happened to the section.
func (di Difference) Action() Action { return di.action }

// Kind returns the kind of section: organisation, plan, adapter, service or key.
func (di Difference) Kind() string { return di.kind }

// Name returns the section's name.
func (di Difference) Name() string { return di.name }

// String returns "plan dealer changed".
func (di Difference) String() string { return fmt.Sprintf("%s %s %s", di.kind, di.name, di.action) }

// Comparison is what differs between two snapshots.
type Comparison struct {
	differences   []Difference
	organisations map[string]bool
	all           bool
}

// Differences returns the sections that differ, by kind and name.
func (cp *Comparison) Differences() []Difference { return cp.differences }

// AffectedOrganisations returns the names of the organisations that the differences concern, sorted. all is true when they may
// concern every organisation.
func (cp *Comparison) AffectedOrganisations() (names []string, all bool) {
	return slices.Sorted(maps.Keys(cp.organisations)), cp.all
}

// Summary returns one sentence of at most the given number of bytes.
func (cp *Comparison) Summary(longest int) string {
	var text strings.Builder
	for at, di := range cp.differences {
		next := di.String()
		if at > 0 {
			next = ", " + next
		}
		rest := fmt.Sprintf(" and %d more", len(cp.differences)-at)
		if text.Len()+len(next)+len(rest) > longest {
			text.WriteString(rest)
			break
		}
		text.WriteString(next)
	}
	if len(cp.differences) == 0 {
		return "no section differs"
	}
	return text.String()
}

// Compare finds what differs between two snapshots. before may be nil.
func Compare(before, after *Snapshot) *Comparison {
	if before == nil {
		before = &Snapshot{adapters: &adapterTable{}}
	}
	cp := &Comparison{organisations: make(map[string]bool)}
	for _, name := range compareInto(cp, "organisation", before.organisations, after.organisations,
		func(left, right Organisation) bool { return left == right }) {
		cp.organisations[name] = true
	}
	plans := compareInto(cp, "plan", before.plans, after.plans, samePlan)
	for _, og := range after.organisations {
		if slices.Contains(plans, og.plan) {
			cp.organisations[og.name] = true
		}
	}
	cp.compareAdapters(before.adapters, after.adapters)
	services := compareInto(cp, "service", before.services, after.services,
		func(left, right Service) bool { return left == right })
	cp.all = cp.all || len(services) > 0
	cp.compareKeys(before, after)
	return cp
}

func (cp *Comparison) add(action Action, kind, name string) {
	cp.differences = append(cp.differences, Difference{action: action, kind: kind, name: name})
}

func (cp *Comparison) compareKeys(before, after *Snapshot) {
	byID := func(sn *Snapshot) map[string]Key {
		keys := make(map[string]Key, len(sn.keys))
		for _, ke := range sn.keys {
			keys[ke.id] = ke
		}
		return keys
	}
	old, current := byID(before), byID(after)
	same := func(left, right Key) bool {
		return left.organisation == right.organisation && left.hash == right.hash &&
			left.withdrawn == right.withdrawn && left.expires.Equal(right.expires)
	}
	for _, id := range compareInto(cp, "key", old, current, same) {
		cp.organisations[cmp.Or(current[id].organisation, old[id].organisation)] = true
	}
}

func samePlan(left, right Plan) bool {
	return left.rate == right.rate && left.burst == right.burst && left.weight == right.weight &&
		left.urgency == right.urgency && left.deadline == right.deadline &&
		slices.Equal(left.adapters, right.adapters) && slices.Equal(left.services, right.services)
}

// compareInto adds the differences of one kind, and returns the names that differ.
func compareInto[T any](cp *Comparison, kind string, before, after map[string]T, same func(left, right T) bool) []string {
	var names []string
	for name, old := range before {
		current, stays := after[name]
		if !stays || !same(old, current) {
			names = append(names, name)
		}
	}
	for name := range after {
		if _, was := before[name]; !was {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		_, was := before[name]
		_, is := after[name]
		cp.add(actionOf(was, is), kind, name)
	}
	return names
}

func actionOf(was, is bool) Action {
	switch {
	case !was:
		return ActionAdded
	case !is:
		return ActionRemoved
	default:
		return ActionChanged
	}
}

// compareAdapters walks two sorted tables side by side.
func (cp *Comparison) compareAdapters(before, after *adapterTable) {
	left, right := 0, 0
	for left < len(before.rows) || right < len(after.rows) {
		var order int
		switch {
		case left == len(before.rows):
			order = 1
		case right == len(after.rows):
			order = -1
		default:
			order = strings.Compare(before.name(left), after.name(right))
		}
		cp.compareRows(before, after, left, right, order)
		if order <= 0 {
			left++
		}
		if order >= 0 {
			right++
		}
	}
}

func (cp *Comparison) compareRows(before, after *adapterTable, left, right, order int) {
	switch {
	case order < 0:
		cp.addAdapter(ActionRemoved, before.adapter(left))
	case order > 0:
		cp.addAdapter(ActionAdded, after.adapter(right))
	case !sameAdapter(before.adapter(left), after.adapter(right)):
		cp.addAdapter(ActionChanged, before.adapter(left))
		cp.noteOwner(after.adapter(right))
	}
}

func (cp *Comparison) addAdapter(action Action, ad Adapter) {
	cp.add(action, "adapter", ad.name)
	cp.noteOwner(ad)
}

// noteOwner counts an adapter without an owner as a matter of every organisation.
func (cp *Comparison) noteOwner(ad Adapter) {
	if ad.organisation == "" {
		cp.all = true
		return
	}
	cp.organisations[ad.organisation] = true
}

func sameAdapter(left, right Adapter) bool {
	return left.organisation == right.organisation && left.base == right.base &&
		left.current == right.current && slices.Equal(left.versions, right.versions)
}
