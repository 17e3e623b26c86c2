package faker

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// LoadReport is what an engine says about its load.
type LoadReport struct {
	Boot     string          `json:"boot"`
	Slots    int             `json:"slots"`
	Batch    int             `json:"batch"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Adapters []AdapterReport `json:"adapters"`
	AgeMs    int64           `json:"age-ms"`
}

// AdapterReport is one adapter in a load report.
type AdapterReport struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	State   string `json:"state"`
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

// maxReports bounds the history from which lagging reports are answered.
const maxReports = 1024

// noteReport keeps the load of now for reports to come; the caller locks.
func (en *Engine) noteReport() {
	report := LoadReport{Boot: en.boot, Slots: en.options.Slots, Batch: en.options.Batch, Adapters: []AdapterReport{}}
	report.Running, report.Waiting = en.gate.counts()
	for name, slot := range en.adapters {
		report.Adapters = append(report.Adapters, AdapterReport{name, slot.running, slot.state})
	}
	slices.SortFunc(report.Adapters, func(a, b AdapterReport) int { return strings.Compare(a.Name, b.Name) })
	if len(en.reports) >= maxReports {
		en.reports = slices.Delete(en.reports, 0, maxReports/2)
	}
	en.reports = append(en.reports, timedReport{time.Now(), report})
}

// report answers with the load as it was before the report's lag.
func (en *Engine) report(wr http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	lag := en.options.ReportLag
	if lag == 0 {
		en.noteReport()
	}
	then := time.Now().Add(-lag)
	shown := en.reports[0].report
	for _, past := range en.reports {
		if past.at.After(then) {
			break
		}
		shown = past.report
	}
	en.mu.Unlock()
	shown.AgeMs = lag.Milliseconds()
	writeJSON(wr, http.StatusOK, shown)
}
