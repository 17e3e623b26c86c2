package server

import (
	"context"
	"time"

	"lovagebank/storer"
)

// measureInterval is how often gauges are brought up to date.
const measureInterval = 2 * time.Second

// measure keeps the gauges up to date until the context ends.
func (sv *Server) measure(ctx context.Context) {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			sv.measureNow()
		case <-ctx.Done():
			return
		}
	}
}

func (sv *Server) measureNow() {
	re := sv.reporter
	re.SetGauge("configuration_revision", float64(sv.publisher.Revision()))
	re.SetGauge("members", float64(len(sv.gossiper.Members())))
	re.SetGauge("targets", float64(len(sv.gossiper.Targets())))
	re.SetGauge("control_bytes", float64(sv.connector.ControlBytes()))
	var held, queued, running int
	for _, report := range sv.holdings.reports() {
		held++
		queued += int(report.GetQueued())
		running += int(report.GetRunning())
	}
	re.SetGauge("targets_served", float64(held))
	re.SetGauge("requests_queued", float64(queued))
	re.SetGauge("requests_running", float64(running))
	sv.measureStore()
}

// measureStore counts the calls to the store by result, and notes the store as away when calls failed since the last
// look and none was answered.
func (sv *Server) measureStore() {
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
	sv.storeAway.Store(answered == sv.storeAnswered)
	sv.storeAnswered, sv.storeFailed = answered, failed
}
