package configurer

import (
	"encoding/binary"
	"slices"
	"sort"
	"strings"
)

// adapterTable holds a large number of adapters in little memory: all names share one string, and equal values are stored
// once.
type adapterTable struct {
	names string
	rows  []adapterRow
	texts []string
	lists [][]string
}

// adapterRow is one adapter; rows are sorted by name.
type adapterRow struct {
	// hash covers the section's lines that hold keys.
	hash         uint64
	nameOffset   uint32
	organisation uint32
	base         uint32
	current      uint32
	versions     uint32
	nameLength   uint16
}

// name returns the adapter's name, without copying.
func (at *adapterTable) name(row int) string {
	ar := at.rows[row]
	return at.names[ar.nameOffset : ar.nameOffset+uint32(ar.nameLength)]
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

// lowerBound returns the first row whose name is not less than the given one.
func (at *adapterTable) lowerBound(name string) int {
	return sort.Search(len(at.rows), func(row int) bool { return at.name(row) >= name })
}

func (at *adapterTable) find(name string) (Adapter, bool) {
	row := at.lowerBound(name)
	if row == len(at.rows) || at.name(row) != name {
		return Adapter{}, false
	}
	return at.adapter(row), true
}

// tableBuilder collects adapters in the order of the list.
type tableBuilder struct {
	names     strings.Builder
	rows      []adapterRow
	lines     []int32
	texts     []string
	textIndex map[string]uint32
	lists     [][]string
	listIndex map[string]uint32
}

func newTableBuilder() *tableBuilder {
	return &tableBuilder{textIndex: make(map[string]uint32), listIndex: make(map[string]uint32)}
}

func (tb *tableBuilder) add(ad Adapter, hash uint64, line int) {
	row := adapterRow{
		hash:         hash,
		nameOffset:   uint32(tb.names.Len()),
		nameLength:   uint16(len(ad.name)),
		organisation: tb.internText(ad.organisation),
		base:         tb.internText(ad.base),
		current:      tb.internText(ad.current),
		versions:     tb.internList(ad.versions),
	}
	tb.names.WriteString(ad.name)
	tb.rows = append(tb.rows, row)
	tb.lines = append(tb.lines, int32(line))
}

func (tb *tableBuilder) internText(text string) uint32 {
	if number, ok := tb.textIndex[text]; ok {
		return number
	}
	text = strings.Clone(text)
	number := uint32(len(tb.texts))
	tb.texts = append(tb.texts, text)
	tb.textIndex[text] = number
	return number
}

func (tb *tableBuilder) internList(list []string) uint32 {
	key := make([]byte, 0, 32)
	for _, text := range list {
		key = binary.AppendUvarint(key, uint64(tb.internText(text)))
	}
	if number, ok := tb.listIndex[string(key)]; ok {
		return number
	}
	stored := make([]string, len(list))
	for at, text := range list {
		stored[at] = tb.texts[tb.internText(text)]
	}
	number := uint32(len(tb.lists))
	tb.lists = append(tb.lists, stored)
	tb.listIndex[string(key)] = number
	return number
}

// build returns the adapters sorted by name. It calls repeated with the lines of each adapter that was added twice.
func (tb *tableBuilder) build(repeated func(name string, line, earlier int)) *adapterTable {
	names := tb.names.String()
	order := make([]int32, len(tb.rows))
	for at := range order {
		order[at] = int32(at)
	}
	nameOf := func(row int32) string {
		ar := tb.rows[row]
		return names[ar.nameOffset : ar.nameOffset+uint32(ar.nameLength)]
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
