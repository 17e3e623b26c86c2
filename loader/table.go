package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes reports as a table, one row for each organisation and one for all.
func WriteTable(wr io.Writer, reports ...*Report) error {
	table := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	line("run\torganisation\tissued\tdone\tlate\twrongful\tcut off\tstalls\tstall s\tfirst p50\tp99 ms\ttotal p50\tp99 ms\tservice\tserved\trefused")
	for _, re := range reports {
		for _, ms := range append(slices.Clone(re.Organisations), re.All) {
			line("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%s",
				re.Name, ms.Organisation, ms.Issued, ms.Done, ms.Late, ms.WrongfulRefusals, ms.CutOff, ms.Stalls, ms.StallTime,
				ms.FirstToken.P50, ms.FirstToken.P99, ms.Total.P50, ms.Total.P99, ms.Service, ms.Served, reasons(ms.Refused))
		}
	}
	for _, re := range reports {
		vi := re.Violations
		line("")
		line("%s: lost %d, doubled %d, wrong %d, falsely not run %d, overshoot %.0f tokens, evictions in use %d, keys seen %d",
			re.Name, vi.Lost, vi.Doubled, vi.Wrong, vi.FalseNotRun, vi.Overshoot, vi.EvictionsInUse, vi.KeysSeen)
		line("%s: worst served %s, adapter loads %d, mean batch %.2f", re.Name, re.WorstServed, re.AdapterLoads, re.MeanBatch)
		for _, example := range re.Examples {
			line("  %s", example)
		}
	}
	return table.Flush()
}

// reasons writes refusals by reason, ordered and joined.
func reasons(refused map[string]int) string {
	words := make([]string, 0, len(refused))
	for _, code := range slices.Sorted(maps.Keys(refused)) {
		words = append(words, fmt.Sprintf("%s %d", code, refused[code]))
	}
	return strings.Join(words, ", ")
}
