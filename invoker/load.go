package invoker

import "time"

// States of an adapter in a load report.
const (
	StateLoading = "loading"
	StateLoaded  = "loaded"
)

// AdapterReport describes one adapter, named "adapter@version", in a load report.
type AdapterReport struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	State   string `json:"state"`
}

// LoadReport is a target's report of its load and its adapters.
type LoadReport struct {
	boot     string
	slots    int
	batch    int
	running  int
	waiting  int
	adapters []AdapterReport
	at       time.Time
}

// NewLoadReport returns a load report; at is the earliest time at which the target can have made it.
func NewLoadReport(boot string, slots, batch, running, waiting int, adapters []AdapterReport, at time.Time) LoadReport {
	return LoadReport{boot, slots, batch, running, waiting, adapters, at}
}

// BootID returns the identifier of the target's current run; it changes when the target restarts without adapters.
func (ld LoadReport) BootID() string { return ld.boot }

// Slots returns the number of adapter slots.
func (ld LoadReport) Slots() int { return ld.slots }

// MaxBatch returns the largest number of requests that run at once.
func (ld LoadReport) MaxBatch() int { return ld.batch }

// Running returns the number of requests in the batch.
func (ld LoadReport) Running() int { return ld.running }

// Waiting returns the number of requests that wait for the batch.
func (ld LoadReport) Waiting() int { return ld.waiting }

// Adapters returns the adapters that the target has loaded or is loading.
func (ld LoadReport) Adapters() []AdapterReport { return ld.adapters }

// At returns the earliest time at which the report can have been made; it shows the effect of everything done before.
func (ld LoadReport) At() time.Time { return ld.at }
