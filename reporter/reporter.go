// Package reporter counts what users measure and what operators watch, and serves it in the text format that
// monitoring systems scrape. Labels are bounded: organisations and reasons, never adapters or requests.
package reporter

import (
	"io"
	"net/http"
	"strconv"
	"time"

	scraped "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lovagebank/requester"
)

const (
	flushInterval = time.Second
	// otherOrganisation stands for organisations past the bound on labels.
	otherOrganisation = "other"
	maxOrganisations  = 500
)

// Reporter holds the metrics of one instance.
type Reporter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	labels  *labels
}

// New makes a reporter.
func New() *Reporter {
	registry := scraped.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lovagebank",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Reporter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), labels: newLabels(maxOrganisations)}
}

// Handler serves the metrics.
func (re *Reporter) Handler() http.Handler { return re.handler }

// Close stops the flushing of metrics.
func (re *Reporter) Close() { _ = re.closer.Close() }

// latencyBuckets bound first answers and waits, in seconds.
var latencyBuckets = tally.ValueBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1, 2.5, 5, 10, 30, 60}

// RequestEnded counts one request by organisation and by how it ended.
func (re *Reporter) RequestEnded(rq *requester.Request, us requester.Usage, rf *requester.Refusal, took time.Duration) {
	result, outcome := "ok", "ran"
	if rf != nil {
		result, outcome = string(rf.Code()), string(rf.Outcome())
	}
	scope := re.scope.Tagged(map[string]string{"organisation": re.labels.bound(rq.Organisation())})
	scope.Tagged(map[string]string{"result": result, "outcome": outcome}).Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordValue(took.Seconds())
	if rf != nil {
		return
	}
	scope.Counter("tokens").Inc(us.TotalTokens())
	if us.LoadWait() > 0 {
		scope.Counter("load_stalls").Inc(1)
		scope.Histogram("load_wait_seconds", latencyBuckets).RecordValue(us.LoadWait().Seconds())
	}
	scope.Histogram("queue_seconds", latencyBuckets).RecordValue(us.Queued().Seconds())
}

// ServedRequest is how one request went through an entry instance.
type ServedRequest struct {
	// Kind is the kind of the request's route, Status its final status and Reason why the instance answered itself.
	Kind   string
	Status int
	Reason string
	// TimeToFirstByte is the time to the first part of the answer, Took the whole time and LoadWait the wait for the adapter.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	LoadWait        time.Duration
	// TurnWait is the wait of a prompt for its turn at its target.
	TurnWait time.Duration
	// LongestPause is the longest pause between two events of a stream; 0 where there was none.
	LongestPause time.Duration
	// Attempts is the number of sends to targets.
	Attempts int
}

// RequestServed counts one request by kind and by how it ended.
func (re *Reporter) RequestServed(sv ServedRequest) {
	scope := re.scope.Tagged(map[string]string{"kind": sv.Kind})
	scope.Tagged(map[string]string{"status": strconv.Itoa(sv.Status), "reason": sv.Reason}).Counter("served").Inc(1)
	scope.Histogram("first_answer_seconds", latencyBuckets).RecordValue(sv.TimeToFirstByte.Seconds())
	scope.Histogram("served_seconds", latencyBuckets).RecordValue(sv.Duration.Seconds())
	if sv.LoadWait > 0 {
		scope.Histogram("adapter_wait_seconds", latencyBuckets).RecordValue(sv.LoadWait.Seconds())
	}
	if sv.TurnWait > 0 {
		scope.Histogram("turn_wait_seconds", latencyBuckets).RecordValue(sv.TurnWait.Seconds())
	}
	if sv.LongestPause > 0 {
		scope.Histogram("longest_pause_seconds", latencyBuckets).RecordValue(sv.LongestPause.Seconds())
	}
	if sv.Attempts > 1 {
		scope.Counter("retries").Inc(int64(sv.Attempts - 1))
	}
}

// AddToCounter adds to a counter without labels.
func (re *Reporter) AddToCounter(name string, by int64) { re.scope.Counter(name).Inc(by) }

// SetGauge sets a gauge without labels.
func (re *Reporter) SetGauge(name string, value float64) { re.scope.Gauge(name).Update(value) }

// SetLabelledGauge sets a gauge with one label of bounded values.
func (re *Reporter) SetLabelledGauge(name, label, value string, to float64) {
	re.scope.Tagged(map[string]string{label: value}).Gauge(name).Update(to)
}
