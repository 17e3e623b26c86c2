package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes reports as a table with one row for each organisation and one for all, followed by the violations
// of each run and their examples. It returns the error of the writer.
func WriteTable(wr io.Writer, reports ...*Report) error {
	table := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	writeLine := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	writeLine("run\torganisation\tissued\tdone\tlate\twrongful\tcut off\tstalls\tstall s\tfirst p50\tp99 ms\ttotal p50\tp99 ms\tservice\tserved\trefused")
	for _, re := range reports {
		for _, ms := range append(slices.Clone(re.Organisations), re.All) {
			writeLine("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%s",
				re.Name, ms.Organisation, ms.Issued, ms.Done, ms.Late, ms.WrongfulRefusals, ms.CutOff, ms.Stalls, ms.StallTime,
				ms.FirstToken.P50, ms.FirstToken.P99, ms.Total.P50, ms.Total.P99, ms.Service, ms.Served, formatRefusals(ms.Refused))
		}
	}
	for _, re := range reports {
		vi := re.Violations
		writeLine("")
		writeLine("%s: lost %d, doubled %d, wrong %d, falsely not run %d, overshoot %.0f tokens, evictions in use %d, keys seen %d",
			re.Name, vi.Lost, vi.Doubled, vi.Wrong, vi.FalseNotRun, vi.Overshoot, vi.EvictionsInUse, vi.KeysSeen)
		writeLine("%s: worst served %s, adapter loads %d, mean batch %.2f", re.Name, re.WorstServed, re.AdapterLoads, re.MeanBatch)
		for _, example := range re.Examples {
			writeLine("  %s", example)
		}
	}
	return table.Flush()
}

// formatRefusals formats the number of refusals by error code, sorted by code.
func formatRefusals(refused map[string]int) string {
	parts := make([]string, 0, len(refused))
	for _, code := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, refused[code]))
	}
	return strings.Join(parts, ", ")
}
