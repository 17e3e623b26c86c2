package configurer

import (
	"encoding/binary"
	"slices"
	"sort"
	"strings"
)

// adapterTable holds very many adapters in little memory: names lie in one string, other values are stored once.
type adapterTable struct {
	names string
	rows  []adapterRow
	texts []string
	lists [][]string
}

// adapterRow is one adapter; rows are sorted by name.
type adapterRow struct {
	// hash is of the section's text.
	hash         uint64
	nameAt       uint32
	organisation uint32
	base         uint32
	current      uint32
	versions     uint32
	nameLength   uint16
}

// name returns the adapter's name, without copying.
func (at *adapterTable) name(row int) string {
	ar := at.rows[row]
	return at.names[ar.nameAt : ar.nameAt+uint32(ar.nameLength)]
}

func (at *adapterTable) adapter(row int) Adapter {
	ar := at.rows[row]
	return Adapter{
		name:         at.name(row),
		organisation: at.texts[ar.organisation],
		base:         at.texts[ar.base],
		current:      at.texts[ar.current],
		versions:     at.lists[ar.versions],
	}
}

// from returns the first row whose name is not below the given one.
func (at *adapterTable) from(name string) int {
	return sort.Search(len(at.rows), func(row int) bool { return at.name(row) >= name })
}

func (at *adapterTable) find(name string) (Adapter, bool) {
	row := at.from(name)
	if row == len(at.rows) || at.name(row) != name {
		return Adapter{}, false
	}
	return at.adapter(row), true
}

// tableBuilder gathers adapters in the order of the list.
type tableBuilder struct {
	names      strings.Builder
	rows       []adapterRow
	lines      []int32
	texts      []string
	textNumber map[string]uint32
	lists      [][]string
	listNumber map[string]uint32
}

func newTableBuilder() *tableBuilder {
	return &tableBuilder{textNumber: make(map[string]uint32), listNumber: make(map[string]uint32)}
}

func (tb *tableBuilder) add(ad Adapter, hash uint64, line int) {
	row := adapterRow{
		hash:         hash,
		nameAt:       uint32(tb.names.Len()),
		nameLength:   uint16(len(ad.name)),
		organisation: tb.text(ad.organisation),
		base:         tb.text(ad.base),
		current:      tb.text(ad.current),
		versions:     tb.list(ad.versions),
	}
	tb.names.WriteString(ad.name)
	tb.rows = append(tb.rows, row)
	tb.lines = append(tb.lines, int32(line))
}

func (tb *tableBuilder) text(text string) uint32 {
	if number, ok := tb.textNumber[text]; ok {
		return number
	}
	text = strings.Clone(text)
	number := uint32(len(tb.texts))
	tb.texts = append(tb.texts, text)
	tb.textNumber[text] = number
	return number
}

func (tb *tableBuilder) list(list []string) uint32 {
	key := make([]byte, 0, 32)
	for _, text := range list {
		key = binary.AppendUvarint(key, uint64(tb.text(text)))
	}
	if number, ok := tb.listNumber[string(key)]; ok {
		return number
	}
	stored := make([]string, len(list))
	for at, text := range list {
		stored[at] = tb.texts[tb.text(text)]
	}
	number := uint32(len(tb.lists))
	tb.lists = append(tb.lists, stored)
	tb.listNumber[string(key)] = number
	return number
}

// table sorts the rows by name. repeated is called with the lines of an adapter that was added twice.
func (tb *tableBuilder) table(repeated func(name string, line, earlier int)) *adapterTable {
	names := tb.names.String()
	order := make([]int32, len(tb.rows))
	for at := range order {
		order[at] = int32(at)
	}
	nameOf := func(row int32) string {
		ar := tb.rows[row]
		return names[ar.nameAt : ar.nameAt+uint32(ar.nameLength)]
	}
	slices.SortStableFunc(order, func(left, right int32) int { return strings.Compare(nameOf(left), nameOf(right)) })
	at := &adapterTable{names: names, rows: make([]adapterRow, len(order)), texts: tb.texts, lists: tb.lists}
	for place, row := range order {
		at.rows[place] = tb.rows[row]
		if place > 0 && nameOf(order[place-1]) == nameOf(row) {
			repeated(nameOf(row), int(tb.lines[row]), int(tb.lines[order[place-1]]))
		}
	}
	return at
}
