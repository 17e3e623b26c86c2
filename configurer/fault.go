package configurer

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a settings file or an operators' list.
type Fault struct {
	document string
	line     int
	section  string
	key      string
	message  string
}

// Document returns the file or list that holds the mistake.
func (fa Fault) Document() string { return fa.document }

// Line returns the line number, from 1; 0 if something is missing from the whole document.
func (fa Fault) Line() int { return fa.line }

// Section returns the section's header without brackets; empty outside any section.
func (fa Fault) Section() string { return fa.section }

// Key returns the key; empty if the mistake is not in a single key.
func (fa Fault) Key() string { return fa.key }

// Message says what is wrong and what is allowed.
func (fa Fault) Message() string { return fa.message }

// Error returns "document:line: [section] key: message".
func (fa Fault) Error() string {
	var text strings.Builder
	text.WriteString(fa.document)
	if fa.line > 0 {
		fmt.Fprintf(&text, ":%d", fa.line)
	}
	text.WriteString(": ")
	if fa.section != "" {
		fmt.Fprintf(&text, "[%s] ", fa.section)
	}
	if fa.key != "" {
		text.WriteString(fa.key + ": ")
	}
	text.WriteString(fa.message)
	return text.String()
}

// Faults holds the mistakes found, in the order of the documents.
type Faults []Fault

// maxFaults limits the number of faults collected in one check.
const maxFaults = 200

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for at, fa := range fs {
		lines[at] = fa.Error()
	}
	return strings.Join(lines, "\n")
}

// faultList collects the faults of one or more documents.
type faultList struct {
	faults Faults
}

func (fl *faultList) add(fa Fault) {
	if len(fl.faults) < maxFaults {
		fl.faults = append(fl.faults, fa)
	}
}

// err returns the faults as an error, or nil if there are none.
func (fl *faultList) err() error {
	if len(fl.faults) == 0 {
		return nil
	}
	return fl.faults
}
