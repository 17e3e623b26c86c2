package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// NewSnapshot parses and checks the operators' documents. The error is of type Faults and
// lists up to 200 faults.
func NewSnapshot(revision uint64, do Documents) (*Snapshot, error) {
	return build(revision, do, EmptySnapshot())
}

// EmptySnapshot returns the configuration before the first change. Its revision is 0.
func EmptySnapshot() *Snapshot { return &Snapshot{adapters: &adapterTable{}} }

// Next does the same as NewSnapshot for documents that are mostly unchanged: adapters whose text is the same as in sn are
// not parsed again.
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
	sb.checkReferences()
}

// snapshotBuilder collects a snapshot and its faults.
type snapshotBuilder struct {
	sn *Snapshot
	// previous holds the adapters of the previous snapshot. Unchanged ones are not parsed again.
	previous *adapterTable
	tb       *tableBuilder
	fl       faultList
	// absent lists the documents that were not given. References to them are not checked.
	absent []string
	// lines holds the line of each section except adapters, for checks across sections.
	lines map[string]int
}

func (sb *snapshotBuilder) readPlans(text string) {
	readSections(DocumentPlans, text, &sb.fl, func(se *section) {
		if !sb.checkHeader(se, "organisation") {
			return
		}
		og := Organisation{name: strings.Clone(se.name())}
		apply(organisationFields, &og, se, &sb.fl)
		og.plan = strings.Clone(og.plan)
		sb.sn.organisations[og.name] = og
	})
}

func (sb *snapshotBuilder) readUses(text string) {
	sr := &sectionReader{document: DocumentUses, fl: &sb.fl, visit: sb.readUsesSection, skip: sb.reuseAdapter}
	sr.read(text)
	sb.sn.adapters = sb.tb.build(func(name string, line, earlier int) {
		sb.fl.add(Fault{
			document: DocumentUses, line: line, section: "adapter " + name,
			message: fmt.Sprintf("stands twice, first in line %d", earlier),
		})
	})
}

func (sb *snapshotBuilder) readUsesSection(se *section) {
	if !sb.checkHeader(se, "plan", "adapter", "service") {
		return
	}
	switch se.kind() {
	case "plan":
		sb.readPlan(se)
	case "adapter":
		sb.readAdapter(se)
	case "service":
		sv := Service{name: strings.Clone(se.name())}
		apply(serviceFields, &sv, se, &sb.fl)
		sb.sn.services[sv.name] = sv
	}
}

// reuseAdapter adds an adapter whose text is unchanged, and reports whether it did. It returns false if the owner has
// been removed, so that the section is parsed and the fault reported.
func (sb *snapshotBuilder) reuseAdapter(header string, hash uint64, line int) bool {
	name, isAdapter := strings.CutPrefix(header, "adapter ")
	if !isAdapter {
		return false
	}
	row := sb.previous.lowerBound(name)
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

func (sb *snapshotBuilder) readPlan(se *section) {
	pl := Plan{name: strings.Clone(se.name())}
	apply(planFields, &pl, se, &sb.fl)
	pl.compile()
	sb.sn.plans[pl.name] = pl
}

func (sb *snapshotBuilder) readAdapter(se *section) {
	ad := Adapter{name: se.name()}
	apply(adapterFields, &ad, se, &sb.fl)
	if len(ad.versions) == 0 {
		ad.versions = []string{ad.current}
	}
	if !slices.Contains(ad.versions, ad.current) {
		sb.fl.add(se.fault(se.entryLine("versions"), "versions", "must include the current version "+ad.current))
	}
	if ad.organisation != "" && !sb.hasOrganisation(ad.organisation) {
		message := fmt.Sprintf("the plans list has no organisation %q", ad.organisation)
		sb.fl.add(se.fault(se.entryLine("organisation"), "organisation", message))
	}
	sb.tb.add(ad, se.hash, se.line)
}

// hasOrganisation reports whether the plans list has an organisation. It returns true if no plans list was given.
func (sb *snapshotBuilder) hasOrganisation(name string) bool {
	_, ok := sb.sn.organisations[name]
	return ok || slices.Contains(sb.absent, DocumentPlans)
}

func (sb *snapshotBuilder) readKeys(text string) {
	readSections(DocumentKeys, text, &sb.fl, func(se *section) {
		if !sb.checkHeader(se, "key") {
			return
		}
		ke := Key{id: strings.Clone(se.name())}
		apply(keyFields, &ke, se, &sb.fl)
		ke.organisation = strings.Clone(ke.organisation)
		if earlier, ok := sb.sn.keys[ke.hash]; ok {
			sb.fl.add(se.fault(se.entryLine("hash"), "hash", "is also the hash of key "+earlier.id))
		}
		if !ke.withdrawn && !sb.hasOrganisation(ke.organisation) {
			message := fmt.Sprintf("the plans list has no organisation %q; withdraw the key first", ke.organisation)
			sb.fl.add(se.fault(se.entryLine("organisation"), "organisation", message))
		}
		sb.sn.keys[ke.hash] = ke
		sb.sn.keyIDs[ke.id] = ke.hash
	})
}

// checkHeader checks a section's header and records its line. Duplicate adapters are found later, when they are sorted.
func (sb *snapshotBuilder) checkHeader(se *section, kinds ...string) bool {
	if !slices.Contains(kinds, se.kind()) {
		allowed := make([]string, len(kinds))
		for at, kind := range kinds {
			allowed[at] = "[" + kind + " name]"
		}
		sb.fl.add(se.fault(se.line, "", "unknown section; allowed: "+strings.Join(allowed, ", ")))
		return false
	}
	if !validName(se.name()) {
		sb.fl.add(se.fault(se.line, "", fmt.Sprintf("bad name %q; allowed: %s", se.name(), nameAllowed)))
		return false
	}
	if se.kind() == "adapter" {
		return true
	}
	if earlier, ok := sb.lines[se.header]; ok {
		sb.fl.add(se.fault(se.line, "", fmt.Sprintf("stands twice, first in line %d", earlier)))
		return false
	}
	sb.lines[strings.Clone(se.header)] = se.line
	return true
}

// checkReferences reports references to names that are not defined.
func (sb *snapshotBuilder) checkReferences() {
	for _, name := range slices.Sorted(maps.Keys(sb.sn.organisations)) {
		og := sb.sn.organisations[name]
		if _, ok := sb.sn.plans[og.plan]; !ok && og.plan != "" && !slices.Contains(sb.absent, DocumentUses) {
			sb.reportUndefined(DocumentPlans, "organisation "+name, "plan", fmt.Sprintf("the uses list has no plan %q", og.plan))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sb.sn.plans)) {
		pl := sb.sn.plans[name]
		for _, service := range pl.services {
			if _, ok := sb.sn.services[service]; !ok {
				sb.reportUndefined(DocumentUses, "plan "+name, "services", fmt.Sprintf("there is no service %q", service))
			}
		}
		for _, adapter := range pl.exact {
			if _, ok := sb.sn.adapters.find(adapter); !ok {
				sb.reportUndefined(DocumentUses, "plan "+name, "adapters", fmt.Sprintf("there is no adapter %q", adapter))
			}
		}
	}
}

func (sb *snapshotBuilder) reportUndefined(document, section, key, message string) {
	sb.fl.add(Fault{document: document, line: sb.lines[section], section: section, key: key, message: message})
}
