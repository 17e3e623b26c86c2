package configurer

import (
	"maps"
	"slices"
	"strings"
)

// SectionDiff is one section that differs between two texts of a document.
type SectionDiff struct {
	action  Action
	header  string
	removed []string
	added   []string
}

// Action tells whether the section was added, removed or changed.
func (sd SectionDiff) Action() Action { return sd.action }

// Header returns the section's header without brackets.
func (sd SectionDiff) Header() string { return sd.header }

// Removed returns the "key = value" lines that are in the first text alone.
func (sd SectionDiff) Removed() []string { return sd.removed }

// Added returns the "key = value" lines that are in the second text alone.
func (sd SectionDiff) Added() []string { return sd.added }

// Diff compares two texts of a document section by section, in the order of headers. Comments and order do not count.
func Diff(before, after string) []SectionDiff {
	old, current := sectionsOf(before), sectionsOf(after)
	headers := slices.Collect(maps.Keys(old))
	for header := range current {
		if _, known := old[header]; !known {
			headers = append(headers, header)
		}
	}
	slices.Sort(headers)
	var found []SectionDiff
	for _, header := range headers {
		was, wasThere := old[header]
		is, isThere := current[header]
		sd := SectionDiff{header: header, action: actionOf(wasThere, isThere)}
		sd.removed, sd.added = without(was, is), without(is, was)
		if sd.action != ActionChanged || len(sd.removed)+len(sd.added) > 0 {
			found = append(found, sd)
		}
	}
	return found
}

// sectionsOf returns the lines of each section in the form "key = value". Mistakes of form are left out: only a text
// without them is ever in force.
func sectionsOf(text string) map[string][]string {
	sections := make(map[string][]string)
	var fl faultList
	readBlocks("", text, &fl, func(bl *block) {
		lines := make([]string, len(bl.entries))
		for at, en := range bl.entries {
			lines[at] = en.key + " = " + en.value
		}
		sections[strings.Clone(bl.header)] = lines
	})
	return sections
}

// without returns the lines that are not among others.
func without(lines, others []string) []string {
	var rest []string
	for _, line := range lines {
		if !slices.Contains(others, line) {
			rest = append(rest, line)
		}
	}
	return rest
}
