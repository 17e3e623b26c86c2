package soaker

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Report is what a run found.
type Report struct {
	Seed uint64
	// Issued and Served count requests, and Took is the time from the first fault to the end.
	Issued   int
	Served   int
	Duration time.Duration
	// Faults counts those of each kind, and Checked the checks of each promise.
	Faults     map[Kind]int
	Checks     map[string]int
	Violations []Violation
	// Folder holds the logs.
	Folder string
}

func (so *Soaker) report() *Report {
	re := &Report{
		Seed: so.op.Seed, Duration: time.Since(so.began), Faults: make(map[Kind]int), Checks: so.checker.checked,
		Violations: so.checker.violations, Folder: so.op.Folder,
	}
	for _, fa := range so.plan {
		re.Faults[fa.Kind]++
	}
	for _, an := range so.callers.since(0) {
		re.Issued++
		if an.status == http.StatusOK {
			re.Served++
		}
	}
	return re
}

// Write prints the report.
func (re *Report) Write(wr io.Writer) {
	_, _ = fmt.Fprintf(wr, "seed %d: %d violations; %d of %d requests served in %v\n",
		re.Seed, len(re.Violations), re.Served, re.Issued, re.Duration.Round(time.Second))
	for _, vi := range re.Violations {
		_, _ = fmt.Fprintf(wr, "  BROKEN %s: %s; logs in %s\n", vi.Promise, vi.Detail, re.Folder)
	}
}

// WriteTotals prints what a series of runs checked and struck.
func WriteTotals(wr io.Writer, reports []*Report) {
	faults, checked, broken := make(map[Kind]int), make(map[string]int), make(map[string]int)
	for _, re := range reports {
		for kind, count := range re.Faults {
			faults[kind] += count
		}
		for promise, count := range re.Checks {
			checked[promise] += count
		}
		for _, vi := range re.Violations {
			broken[vi.Promise]++
		}
	}
	for _, promise := range slices.Sorted(maps.Keys(checked)) {
		_, _ = fmt.Fprintf(wr, "promise  %8d checks  %4d broken  %s\n", checked[promise], broken[promise], promise)
	}
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		_, _ = fmt.Fprintf(wr, "faults   %8d  %s\n", faults[kind], kind)
	}
}
