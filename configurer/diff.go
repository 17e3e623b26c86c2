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

// Action returns whether the section was added, removed or changed.
func (sd SectionDiff) Action() Action { return sd.action }

// Header returns the section's header without brackets.
func (sd SectionDiff) Header() string { return sd.header }

// Removed returns the "key = value" lines that occur only in the first text.
func (sd SectionDiff) Removed() []string { return sd.removed }

// Added returns the "key = value" lines that occur only in the second text.
func (sd SectionDiff) Added() []string { return sd.added }

// Diff compares two texts of a document and returns the sections that differ, sorted by header. Comments and ordering are
// ignored.
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
		sd.removed, sd.added = linesNotIn(was, is), linesNotIn(is, was)
		if sd.action != ActionChanged || len(sd.removed)+len(sd.added) > 0 {
			found = append(found, sd)
		}
	}
	return found
}

// sectionsOf returns the lines of each section in the form "key = value". Syntax errors are ignored, because a text with
// syntax errors is never in force.
func sectionsOf(text string) map[string][]string {
	sections := make(map[string][]string)
	var fl faultList
	readSections("", text, &fl, func(se *section) {
		lines := make([]string, len(se.entries))
		for at, en := range se.entries {
			lines[at] = en.key + " = " + en.value
		}
		sections[strings.Clone(se.header)] = lines
	})
	return sections
}

// linesNotIn returns the lines that do not occur in others.
func linesNotIn(lines, others []string) []string {
	var rest []string
	for _, line := range lines {
		if !slices.Contains(others, line) {
			rest = append(rest, line)
		}
	}
	return rest
}
