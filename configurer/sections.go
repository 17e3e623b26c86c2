package configurer

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/ini.v1"
)

// section is one section of an INI document.
type section struct {
	document string
	header   string
	line     int
	// hash covers the section's lines that hold keys. An unchanged section has the same hash.
	hash    uint64
	entries []entry
}

// entry is one key of a section.
type entry struct {
	key   string
	value string
	line  int
}

// kind returns the first word of the header: "plan" for "[plan dealer]".
func (se *section) kind() string {
	kind, _, _ := strings.Cut(se.header, " ")
	return kind
}

// name returns the rest of the header: "dealer" for "[plan dealer]".
func (se *section) name() string {
	_, name, _ := strings.Cut(se.header, " ")
	return strings.TrimSpace(name)
}

// fault returns a fault at a line of the section.
func (se *section) fault(line int, key, message string) Fault {
	return Fault{document: se.document, line: line, section: se.header, key: key, message: message}
}

// entryLine returns the line of a key, or of the header if the key is absent.
func (se *section) entryLine(key string) int {
	for _, en := range se.entries {
		if en.key == key {
			return en.line
		}
	}
	return se.line
}

var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	KeyValueDelimiters:         "=",
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// sectionReader splits a document into sections and parses them one at a time with the INI library. Parsing 35,000
// sections at once would need more memory than an instance has, and the library reports no line numbers.
type sectionReader struct {
	document string
	fl       *faultList
	visit    func(*section)
	// skip, if set, is called before a section's keys are parsed. A section for which it returns true is not visited.
	skip func(header string, hash uint64, line int) bool

	header  string
	line    int
	started bool
	lines   []sourceLine
	buffer  bytes.Buffer
	digest  xxhash.Digest
}

// sourceLine is a line that holds a key.
type sourceLine struct {
	text   string
	number int
}

// readSections visits each section of a document in order. Syntax errors are added to the fault list.
func readSections(document, text string, fl *faultList, visit func(*section)) {
	sr := &sectionReader{document: document, fl: fl, visit: visit}
	sr.read(text)
}

func (sr *sectionReader) read(text string) {
	if !utf8.ValidString(text) {
		sr.fault(0, "the text is not UTF-8")
		return
	}
	number := 0
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		number++
		sr.readLine(strings.TrimSpace(line), number)
	}
	sr.finish()
}

func (sr *sectionReader) fault(line int, message string) {
	sr.fl.add(Fault{document: sr.document, line: line, section: sr.header, message: message})
}

func (sr *sectionReader) readLine(line string, number int) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		sr.finish()
		sr.start(line, number)
	case !sr.started:
		sr.fault(number, "a key must stand below a section's header, such as [name]")
	case !strings.Contains(line, "="):
		sr.fault(number, "not understood; allowed: a comment, a [section], or key = value")
	default:
		sr.lines = append(sr.lines, sourceLine{text: line, number: number})
	}
}

func (sr *sectionReader) start(line string, number int) {
	sr.started, sr.line, sr.header = true, number, ""
	inner, closed := strings.CutSuffix(line[1:], "]")
	if !closed || strings.ContainsAny(inner, "[]") {
		sr.fault(number, "a section's header must be closed by one ] at the end of the line")
		return
	}
	sr.header = normaliseHeader(inner)
	if sr.header == "" {
		sr.fault(number, "a section's header must not be empty")
	}
}

// normaliseHeader returns a header with single spaces between its words.
func normaliseHeader(header string) string {
	header = strings.TrimSpace(header)
	if !strings.Contains(header, "  ") && !strings.ContainsAny(header, "\t\v\f\u00a0") {
		return header
	}
	return strings.Join(strings.Fields(header), " ")
}

// finish parses the section whose lines have been collected.
func (sr *sectionReader) finish() {
	if !sr.started {
		return
	}
	hash := sr.hash()
	if sr.skip != nil && sr.skip(sr.header, hash, sr.line) {
		sr.lines = sr.lines[:0]
		return
	}
	se := &section{
		document: sr.document, header: sr.header, line: sr.line, hash: hash,
		entries: sr.readEntries(sr.lines),
	}
	if se.entries == nil {
		se.entries = sr.readLinesSeparately()
	}
	sr.lines = sr.lines[:0]
	sr.reportDuplicateKeys(se)
	if sr.header != "" {
		sr.visit(se)
	}
}

func (sr *sectionReader) hash() uint64 {
	sr.digest.Reset()
	for _, sl := range sr.lines {
		// A digest's writes never fail.
		_, _ = sr.digest.WriteString(sl.text)
		_, _ = sr.digest.WriteString("\n")
	}
	return sr.digest.Sum64()
}

// readEntries parses lines with the INI library. It returns nil if a line is malformed or a key occurs twice.
func (sr *sectionReader) readEntries(lines []sourceLine) []entry {
	sr.buffer.Reset()
	for _, sl := range lines {
		sr.buffer.WriteString(sl.text)
		sr.buffer.WriteByte('\n')
	}
	file, err := ini.LoadSources(iniOptions, sr.buffer.Bytes())
	if err != nil {
		return nil
	}
	keys := file.Section(ini.DefaultSection).Keys()
	if len(keys) != len(lines) {
		return nil
	}
	entries := make([]entry, len(keys))
	for at, key := range keys {
		entries[at] = entry{key: key.Name(), value: strings.TrimSpace(key.Value()), line: lines[at].number}
	}
	return entries
}

// readLinesSeparately parses the lines one by one, to report those that are malformed.
func (sr *sectionReader) readLinesSeparately() []entry {
	var entries []entry
	for _, sl := range sr.lines {
		read := sr.readEntries([]sourceLine{sl})
		if read == nil {
			sr.fault(sl.number, "not understood; allowed: a comment, a [section], or key = value")
		}
		entries = append(entries, read...)
	}
	return entries
}

func (sr *sectionReader) reportDuplicateKeys(se *section) {
	for at, en := range se.entries {
		for _, earlier := range se.entries[:at] {
			if earlier.key == en.key {
				sr.fl.add(se.fault(en.line, en.key, fmt.Sprintf("stands twice in the section, first in line %d", earlier.line)))
				break
			}
		}
	}
}
