package configurer

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/ini.v1"
)

// block is one section of an INI document.
type block struct {
	document string
	header   string
	line     int
	// hash is of the section's lines with keys, to know an unchanged section again.
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
func (bl *block) kind() string {
	kind, _, _ := strings.Cut(bl.header, " ")
	return kind
}

// name returns the rest of the header: "dealer" for "[plan dealer]".
func (bl *block) name() string {
	_, name, _ := strings.Cut(bl.header, " ")
	return strings.TrimSpace(name)
}

// fault makes a fault at a line of the block.
func (bl *block) fault(line int, key, message string) Fault {
	return Fault{document: bl.document, line: line, section: bl.header, key: key, message: message}
}

// entryLine returns the line of a key, or of the header if the key is absent.
func (bl *block) entryLine(key string) int {
	for _, en := range bl.entries {
		if en.key == key {
			return en.line
		}
	}
	return bl.line
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	KeyValueDelimiters:         "=",
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// blockReader splits a document into sections and has the INI library read one at a time: 35,000 sections read at
// once would take more memory than an instance has, and the library alone tells no line numbers.
type blockReader struct {
	document string
	fl       *faultList
	visit    func(*block)
	// skip, where set, is asked before a section's keys are read; a section that it knows is not visited.
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

// readBlocks visits each section of a document in order. Mistakes of form go to the fault list.
func readBlocks(document, text string, fl *faultList, visit func(*block)) {
	br := &blockReader{document: document, fl: fl, visit: visit}
	br.read(text)
}

func (br *blockReader) read(text string) {
	if !utf8.ValidString(text) {
		br.fault(0, "the text is not UTF-8")
		return
	}
	number := 0
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		number++
		br.readLine(strings.TrimSpace(line), number)
	}
	br.finish()
}

func (br *blockReader) fault(line int, message string) {
	br.fl.add(Fault{document: br.document, line: line, section: br.header, message: message})
}

func (br *blockReader) readLine(line string, number int) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		br.finish()
		br.start(line, number)
	case !br.started:
		br.fault(number, "a key must stand below a section's header, such as [name]")
	case !strings.Contains(line, "="):
		br.fault(number, "not understood; allowed: a comment, a [section], or key = value")
	default:
		br.lines = append(br.lines, sourceLine{text: line, number: number})
	}
}

func (br *blockReader) start(line string, number int) {
	br.started, br.line, br.header = true, number, ""
	inner, closed := strings.CutSuffix(line[1:], "]")
	if !closed || strings.ContainsAny(inner, "[]") {
		br.fault(number, "a section's header must be closed by one ] at the end of the line")
		return
	}
	br.header = normalised(inner)
	if br.header == "" {
		br.fault(number, "a section's header must not be empty")
	}
}

// normalised returns a header with single spaces between its words.
func normalised(header string) string {
	header = strings.TrimSpace(header)
	if !strings.Contains(header, "  ") && !strings.ContainsAny(header, "\t\v\f\u00a0") {
		return header
	}
	return strings.Join(strings.Fields(header), " ")
}

// finish reads the section whose lines were gathered.
func (br *blockReader) finish() {
	if !br.started {
		return
	}
	hash := br.hash()
	if br.skip != nil && br.skip(br.header, hash, br.line) {
		br.lines = br.lines[:0]
		return
	}
	bl := &block{
		document: br.document, header: br.header, line: br.line, hash: hash,
		entries: br.readEntries(br.lines),
	}
	if bl.entries == nil {
		bl.entries = br.readEach()
	}
	br.lines = br.lines[:0]
	br.reportRepeats(bl)
	if br.header != "" {
		br.visit(bl)
	}
}

func (br *blockReader) hash() uint64 {
	br.digest.Reset()
	for _, sl := range br.lines {
		// A digest's writes never fail.
		_, _ = br.digest.WriteString(sl.text)
		_, _ = br.digest.WriteString("\n")
	}
	return br.digest.Sum64()
}

// readEntries reads lines with the INI library. It returns nil when they hold a mistake or a key twice.
func (br *blockReader) readEntries(lines []sourceLine) []entry {
	br.buffer.Reset()
	for _, sl := range lines {
		br.buffer.WriteString(sl.text)
		br.buffer.WriteByte('\n')
	}
	file, err := ini.LoadSources(loadOptions, br.buffer.Bytes())
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

// readEach reads the lines one by one, to name those that hold a mistake.
func (br *blockReader) readEach() []entry {
	var entries []entry
	for _, sl := range br.lines {
		read := br.readEntries([]sourceLine{sl})
		if read == nil {
			br.fault(sl.number, "not understood; allowed: a comment, a [section], or key = value")
		}
		entries = append(entries, read...)
	}
	return entries
}

func (br *blockReader) reportRepeats(bl *block) {
	for at, en := range bl.entries {
		for _, earlier := range bl.entries[:at] {
			if earlier.key == en.key {
				br.fl.add(bl.fault(en.line, en.key, fmt.Sprintf("stands twice in the section, first in line %d", earlier.line)))
				break
			}
		}
	}
}
