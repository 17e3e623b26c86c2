package soaker

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Report holds the results of a run.
type Report struct {
	Seed uint64
	// Issued counts the requests, and Served those answered with status 200. Duration is the time from the start of the
	// load and the faults to the end of the run.
	Issued   int
	Served   int
	Duration time.Duration
	// Faults counts the faults by kind, and Checks the checks by promise.
	Faults     map[Kind]int
	Checks     map[string]int
	Violations []Violation
	// Folder is the path of the folder with the logs.
	Folder string
}

func (so *Soaker) report() *Report {
	re := &Report{
		Seed: so.op.Seed, Duration: time.Since(so.started), Faults: make(map[Kind]int), Checks: so.checker.checkCounts,
		Violations: so.checker.violations, Folder: so.op.Folder,
	}
	for _, fa := range so.plan {
		re.Faults[fa.Kind]++
	}
	for _, an := range so.callers.answersAfter(0) {
		re.Issued++
		if an.status == http.StatusOK {
			re.Served++
		}
	}
	return re
}

// Write writes a summary line and one line for each violation. It ignores write errors.
func (re *Report) Write(wr io.Writer) {
	_, _ = fmt.Fprintf(wr, "seed %d: %d violations; %d of %d requests served in %v\n",
		re.Seed, len(re.Violations), re.Served, re.Issued, re.Duration.Round(time.Second))
	for _, vi := range re.Violations {
		_, _ = fmt.Fprintf(wr, "  BROKEN %s: %s; logs in %s\n", vi.Promise, vi.Detail, re.Folder)
	}
}

// WriteTotals writes the checks and violations by promise and the faults by kind, summed over several runs. It ignores
// write errors.
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
