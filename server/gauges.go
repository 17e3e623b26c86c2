package server

import (
	"context"
	"time"

	"lovagebank/reserver"
	"lovagebank/storer"
)

// gaugeInterval is the interval at which the gauges are updated.
const gaugeInterval = 2 * time.Second

// updateGauges updates the gauges until the context ends.
func (sv *Server) updateGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			sv.setGauges()
		case <-ctx.Done():
			return
		}
	}
}

func (sv *Server) setGauges() {
	re := sv.reporter
	sv.setMemoryGauges()
	re.SetGauge("configuration_revision", float64(sv.publisher.Revision()))
	re.SetGauge("members", float64(len(sv.gossiper.Members())))
	re.SetGauge("targets", float64(len(sv.gossiper.Targets())))
	re.SetGauge("control_bytes", float64(sv.connector.ControlBytes()))
	var served, queued, running int
	for _, report := range sv.schedulers.reports() {
		served++
		queued += int(report.GetQueued())
		running += int(report.GetRunning())
	}
	re.SetGauge("targets_served", float64(served))
	re.SetGauge("requests_queued", float64(queued))
	re.SetGauge("requests_running", float64(running))
	sv.measureStoreCalls()
}

// measureStoreCalls reports the calls to the store by result. It marks the store as unreachable if calls failed since
// the last measurement and none was answered.
func (sv *Server) measureStoreCalls() {
	var answered, failed int64
	for _, co := range sv.store.Counts() {
		sv.reporter.SetLabelledGauge("store_calls", "call", string(co.Operation())+" "+string(co.Result()), float64(co.Calls()))
		switch co.Result() {
		case storer.ResultUnavailable, storer.ResultUnknown:
			failed += co.Calls()
		case storer.ResultDone, storer.ResultRefused, storer.ResultNotFound, storer.ResultConflict:
			answered += co.Calls()
		}
	}
	if answered == sv.storeAnswered && failed == sv.storeFailed {
		return
	}
	sv.storeUnreachable.Store(answered == sv.storeAnswered)
	sv.storeAnswered, sv.storeFailed = answered, failed
}

// setMemoryGauges sets the gauges of what callers hold and of what was refused to bound it.
func (sv *Server) setMemoryGauges() {
	counts := sv.reserver.Counts()
	for _, class := range reserver.Classes() {
		sv.reporter.SetLabelledGauge("memory_reserved", "class", class.String(), float64(counts.Used[class]))
		sv.reporter.SetLabelledGauge("memory_refused", "class", class.String(), float64(counts.Refused[class]))
		sv.reporter.SetLabelledGauge("memory_shed", "class", class.String(), float64(counts.Shed[class]))
	}
	for reason, count := range sv.listeners.closed() {
		sv.reporter.SetLabelledGauge("connections_closed", "reason", string(reason), float64(count))
	}
}
