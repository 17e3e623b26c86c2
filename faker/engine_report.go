package faker

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// LoadReport is an engine's response to GET /load.
type LoadReport struct {
	Boot     string          `json:"boot"`
	Slots    int             `json:"slots"`
	Batch    int             `json:"batch"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Adapters []AdapterReport `json:"adapters"`
	AgeMs    int64           `json:"age-ms"`
}

// AdapterReport is the state of one adapter in a load report.
type AdapterReport struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	State   string `json:"state"`
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

// maxReports is the maximum number of reports in the history that lagging reports are served from.
const maxReports = 1024

// recordReport appends the current load to the history. The caller holds the lock.
func (en *Engine) recordReport() {
	report := LoadReport{Boot: en.boot, Slots: en.options.Slots, Batch: en.options.Batch, Adapters: []AdapterReport{}}
	report.Running, report.Waiting = en.batch.counts()
	for name, slot := range en.adapters {
		report.Adapters = append(report.Adapters, AdapterReport{name, slot.running, slot.state})
	}
	slices.SortFunc(report.Adapters, func(a, b AdapterReport) int { return strings.Compare(a.Name, b.Name) })
	if len(en.reports) >= maxReports {
		en.reports = slices.Delete(en.reports, 0, maxReports/2)
	}
	en.reports = append(en.reports, timedReport{time.Now(), report})
}

// report responds with the load as of the report lag ago.
func (en *Engine) report(wr http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	lag := en.options.ReportLag
	if lag == 0 {
		en.recordReport()
	}
	asOf := time.Now().Add(-lag)
	shown := en.reports[0].report
	for _, past := range en.reports {
		if past.at.After(asOf) {
			break
		}
		shown = past.report
	}
	en.mu.Unlock()
	shown.AgeMs = lag.Milliseconds()
	writeJSON(wr, http.StatusOK, shown)
}
