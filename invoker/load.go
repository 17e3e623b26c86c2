package invoker

import "time"

// The states of an adapter in a load report.
const (
	StateLoading = "loading"
	StateLoaded  = "loaded"
)

// AdapterReport is one adapter in a load report, named "adapter@version".
type AdapterReport struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	State   string `json:"state"`
}

// LoadReport is what a target reports about itself.
type LoadReport struct {
	boot     string
	slots    int
	batch    int
	running  int
	waiting  int
	adapters []AdapterReport
	at       time.Time
}

// NewLoadReport makes a load report as of a time.
func NewLoadReport(boot string, slots, batch, running, waiting int, adapters []AdapterReport, at time.Time) LoadReport {
	return LoadReport{boot, slots, batch, running, waiting, adapters, at}
}

// BootID identifies the target's life; it changes when the target restarts empty.
func (ld LoadReport) BootID() string { return ld.boot }

// Slots returns the number of adapter slots.
func (ld LoadReport) Slots() int { return ld.slots }

// MaxBatch returns the most requests that run at once.
func (ld LoadReport) MaxBatch() int { return ld.batch }

// Running returns the requests in the batch.
func (ld LoadReport) Running() int { return ld.running }

// Waiting returns the requests that wait for the batch.
func (ld LoadReport) Waiting() int { return ld.waiting }

// Adapters returns the adapters that the target has or loads.
func (ld LoadReport) Adapters() []AdapterReport { return ld.adapters }

// At returns the earliest time that the report can be of; all that was done before it shows.
func (ld LoadReport) At() time.Time { return ld.at }
