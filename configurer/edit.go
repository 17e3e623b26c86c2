package configurer

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// SetKey returns a document with one key of a section set. A missing section is added at the end. An empty value removes
// the key. All other lines, including comments, stay as they are.
func SetKey(text, header, key, value string) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	start, end := findSection(lines, header)
	if start < 0 {
		if value == "" {
			return text
		}
		return joinLines(append(lines, "", "["+header+"]", key+" = "+value))
	}
	for at := start + 1; at < end; at++ {
		if keyOf(lines[at]) != key {
			continue
		}
		if value == "" {
			return joinLines(slices.Delete(lines, at, at+1))
		}
		lines[at] = key + " = " + value
		return joinLines(lines)
	}
	if value == "" {
		return text
	}
	for end > start+1 && strings.TrimSpace(lines[end-1]) == "" {
		end--
	}
	return joinLines(slices.Insert(lines, end, key+" = "+value))
}

// RemoveSection returns a document without a section; found is false if there is none.
func RemoveSection(text, header string) (result string, found bool) {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	start, end := findSection(lines, header)
	if start < 0 {
		return text, false
	}
	return joinLines(slices.Delete(lines, start, end)), true
}

// AddKey returns the keys document with a key added.
func AddKey(text, id, organisation string, hash [32]byte, expires time.Time) string {
	header := "key " + id
	text = SetKey(text, header, "organisation", organisation)
	text = SetKey(text, header, "hash", fmt.Sprintf("%x", hash))
	if !expires.IsZero() {
		text = SetKey(text, header, "expires", expires.UTC().Format(time.RFC3339))
	}
	return text
}

// WithdrawKey returns the keys document with a key withdrawn; found is false if there is no such key.
func WithdrawKey(text, id string) (result string, found bool) {
	if !HasSection(text, "key "+id) {
		return text, false
	}
	return SetKey(text, "key "+id, "withdrawn", "true"), true
}

// findSection returns the range of lines of a section, from its header up to but not including end. start is -1 if there
// is no such section.
func findSection(lines []string, header string) (start, end int) {
	for at, line := range lines {
		if name, isHeader := headerOf(line); isHeader && name == header {
			return sectionAt(lines, at)
		}
	}
	return -1, len(lines)
}

func headerOf(line string) (string, bool) {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "[") {
		return "", false
	}
	return normaliseHeader(strings.Trim(line, "[]")), true
}

func keyOf(line string) string {
	line = strings.TrimSpace(line)
	if line == "" || line[0] == '#' || line[0] == ';' {
		return ""
	}
	key, _, _ := strings.Cut(line, "=")
	return strings.TrimSpace(key)
}

func joinLines(lines []string) string {
	return strings.TrimLeft(strings.Join(lines, "\n"), "\n") + "\n"
}

// HasSection reports whether a document has a section.
func HasSection(text, header string) bool {
	start, _ := findSection(strings.Split(text, "\n"), header)
	return start >= 0
}

// PruneKeys returns the keys document with only the last keep withdrawn keys; earlier ones are removed. A removed key
// stays invalid, like a withdrawn one, but is no longer in the list.
func PruneKeys(text string, keep int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	starts := withdrawnSections(lines)
	for _, start := range slices.Backward(starts[:max(0, len(starts)-keep)]) {
		_, end := sectionAt(lines, start)
		lines = slices.Delete(lines, start, end)
	}
	return joinLines(lines)
}

// withdrawnSections returns the lines at which the sections of withdrawn keys start.
func withdrawnSections(lines []string) []int {
	var starts []int
	for at, line := range lines {
		if _, isHeader := headerOf(line); !isHeader {
			continue
		}
		_, end := sectionAt(lines, at)
		for _, inside := range lines[at:end] {
			if keyOf(inside) == "withdrawn" && strings.HasSuffix(strings.TrimSpace(inside), "true") {
				starts = append(starts, at)
			}
		}
	}
	return starts
}

// sectionAt returns the range of lines of the section whose header is at line start; end is exclusive.
func sectionAt(lines []string, start int) (first, end int) {
	for end = start + 1; end < len(lines); end++ {
		if _, isHeader := headerOf(lines[end]); isHeader {
			break
		}
	}
	return start, end
}
