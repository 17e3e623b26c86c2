package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// NewSnapshot parses and checks the operators' documents. The error is of type Faults and names every mistake.
func NewSnapshot(revision uint64, do Documents) (*Snapshot, error) {
	return build(revision, do, EmptySnapshot())
}

// EmptySnapshot returns the configuration before the first change, of revision 0.
func EmptySnapshot() *Snapshot { return &Snapshot{adapters: &adapterTable{}} }

// Next is NewSnapshot for documents of which most stayed the same: adapters whose text stands in the snapshot already
// are not parsed again.
func (sn *Snapshot) Next(revision uint64, do Documents) (*Snapshot, error) {
	return build(revision, do, sn)
}

func build(revision uint64, do Documents, previous *Snapshot) (*Snapshot, error) {
	sb := newBuilder(revision, previous)
	sb.read(do)
	if err := sb.fl.err(); err != nil {
		return nil, err
	}
	return sb.sn, nil
}

func newBuilder(revision uint64, previous *Snapshot) *snapshotBuilder {
	return &snapshotBuilder{
		sn: &Snapshot{
			revision:      revision,
			organisations: make(map[string]Organisation),
			plans:         make(map[string]Plan),
			services:      make(map[string]Service),
			keys:          make(map[[32]byte]Key),
			keyIDs:        make(map[string][32]byte),
		},
		previous: previous.adapters,
		tb:       newTableBuilder(),
		lines:    make(map[string]int),
	}
}

func (sb *snapshotBuilder) read(do Documents) {
	sb.readPlans(do.plans)
	sb.readUses(do.uses)
	sb.readKeys(do.keys)
	sb.check()
}

// snapshotBuilder gathers a snapshot and its faults.
type snapshotBuilder struct {
	sn *Snapshot
	// previous holds adapters that need not be parsed again.
	previous *adapterTable
	tb       *tableBuilder
	fl       faultList
	// absent holds the documents that were not given; what refers to them is not checked.
	absent []string
	// lines holds the line of each section but the adapters', for checks across sections.
	lines map[string]int
}

func (sb *snapshotBuilder) readPlans(text string) {
	readBlocks(DocumentPlans, text, &sb.fl, func(bl *block) {
		if !sb.admit(bl, "organisation") {
			return
		}
		og := Organisation{name: strings.Clone(bl.name())}
		apply(organisationFields, &og, bl, &sb.fl)
		og.plan = strings.Clone(og.plan)
		sb.sn.organisations[og.name] = og
	})
}

func (sb *snapshotBuilder) readUses(text string) {
	br := &blockReader{document: DocumentUses, fl: &sb.fl, visit: sb.readUse, skip: sb.reuse}
	br.read(text)
	sb.sn.adapters = sb.tb.table(func(name string, line, earlier int) {
		sb.fl.add(Fault{
			document: DocumentUses, line: line, section: "adapter " + name,
			message: fmt.Sprintf("stands twice, first in line %d", earlier),
		})
	})
}

func (sb *snapshotBuilder) readUse(bl *block) {
	if !sb.admit(bl, "plan", "adapter", "service") {
		return
	}
	switch bl.kind() {
	case "plan":
		sb.readPlan(bl)
	case "adapter":
		sb.readAdapter(bl)
	case "service":
		sv := Service{name: strings.Clone(bl.name())}
		apply(serviceFields, &sv, bl, &sb.fl)
		sb.sn.services[sv.name] = sv
	}
}

// reuse takes over an adapter whose text did not change. Its owner may have gone, which parsing reports.
func (sb *snapshotBuilder) reuse(header string, hash uint64, line int) bool {
	name, isAdapter := strings.CutPrefix(header, "adapter ")
	if !isAdapter {
		return false
	}
	row := sb.previous.from(name)
	if row == len(sb.previous.rows) || sb.previous.rows[row].hash != hash || sb.previous.name(row) != name {
		return false
	}
	ad := sb.previous.adapter(row)
	if ad.organisation != "" && !sb.hasOrganisation(ad.organisation) {
		return false
	}
	sb.tb.add(ad, hash, line)
	return true
}

func (sb *snapshotBuilder) readPlan(bl *block) {
	pl := Plan{name: strings.Clone(bl.name())}
	apply(planFields, &pl, bl, &sb.fl)
	pl.compile()
	sb.sn.plans[pl.name] = pl
}

func (sb *snapshotBuilder) readAdapter(bl *block) {
	ad := Adapter{name: bl.name()}
	apply(adapterFields, &ad, bl, &sb.fl)
	if len(ad.versions) == 0 {
		ad.versions = []string{ad.current}
	}
	if !slices.Contains(ad.versions, ad.current) {
		sb.fl.add(bl.fault(bl.entryLine("versions"), "versions", "must include the current version "+ad.current))
	}
	if ad.organisation != "" && !sb.hasOrganisation(ad.organisation) {
		message := fmt.Sprintf("the plans list has no organisation %q", ad.organisation)
		sb.fl.add(bl.fault(bl.entryLine("organisation"), "organisation", message))
	}
	sb.tb.add(ad, bl.hash, bl.line)
}

// hasOrganisation tells whether the plans list, if it was given, has an organisation.
func (sb *snapshotBuilder) hasOrganisation(name string) bool {
	_, ok := sb.sn.organisations[name]
	return ok || slices.Contains(sb.absent, DocumentPlans)
}

func (sb *snapshotBuilder) readKeys(text string) {
	readBlocks(DocumentKeys, text, &sb.fl, func(bl *block) {
		if !sb.admit(bl, "key") {
			return
		}
		ke := Key{id: strings.Clone(bl.name())}
		apply(keyFields, &ke, bl, &sb.fl)
		ke.organisation = strings.Clone(ke.organisation)
		if earlier, ok := sb.sn.keys[ke.hash]; ok {
			sb.fl.add(bl.fault(bl.entryLine("hash"), "hash", "is also the hash of key "+earlier.id))
		}
		if !ke.withdrawn && !sb.hasOrganisation(ke.organisation) {
			message := fmt.Sprintf("the plans list has no organisation %q; withdraw the key first", ke.organisation)
			sb.fl.add(bl.fault(bl.entryLine("organisation"), "organisation", message))
		}
		sb.sn.keys[ke.hash] = ke
		sb.sn.keyIDs[ke.id] = ke.hash
	})
}

// admit checks a section's header and notes its line. Adapters are checked for repeats when they are sorted.
func (sb *snapshotBuilder) admit(bl *block, kinds ...string) bool {
	if !slices.Contains(kinds, bl.kind()) {
		allowed := make([]string, len(kinds))
		for at, kind := range kinds {
			allowed[at] = "[" + kind + " name]"
		}
		sb.fl.add(bl.fault(bl.line, "", "unknown section; allowed: "+strings.Join(allowed, ", ")))
		return false
	}
	if !validName(bl.name()) {
		sb.fl.add(bl.fault(bl.line, "", fmt.Sprintf("bad name %q; allowed: %s", bl.name(), nameAllowed)))
		return false
	}
	if bl.kind() == "adapter" {
		return true
	}
	if earlier, ok := sb.lines[bl.header]; ok {
		sb.fl.add(bl.fault(bl.line, "", fmt.Sprintf("stands twice, first in line %d", earlier)))
		return false
	}
	sb.lines[strings.Clone(bl.header)] = bl.line
	return true
}

// check finds names that are used but defined nowhere.
func (sb *snapshotBuilder) check() {
	for _, name := range slices.Sorted(maps.Keys(sb.sn.organisations)) {
		og := sb.sn.organisations[name]
		if _, ok := sb.sn.plans[og.plan]; !ok && og.plan != "" && !slices.Contains(sb.absent, DocumentUses) {
			sb.missing(DocumentPlans, "organisation "+name, "plan", fmt.Sprintf("the uses list has no plan %q", og.plan))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sb.sn.plans)) {
		pl := sb.sn.plans[name]
		for _, service := range pl.services {
			if _, ok := sb.sn.services[service]; !ok {
				sb.missing(DocumentUses, "plan "+name, "services", fmt.Sprintf("there is no service %q", service))
			}
		}
		for _, adapter := range pl.exact {
			if _, ok := sb.sn.adapters.find(adapter); !ok {
				sb.missing(DocumentUses, "plan "+name, "adapters", fmt.Sprintf("there is no adapter %q", adapter))
			}
		}
	}
}

func (sb *snapshotBuilder) missing(document, section, key, message string) {
	sb.fl.add(Fault{document: document, line: sb.lines[section], section: section, key: key, message: message})
}
