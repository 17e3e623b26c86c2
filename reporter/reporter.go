// Package reporter collects the metrics of requests and of the instance, and serves them in the Prometheus text format.
// The number of label values is bounded: labels name organisations and reasons, never adapters or requests.
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
	// otherOrganisation is the label of all organisations after the first maxOrganisations.
	otherOrganisation = "other"
	maxOrganisations  = 500
)

// Reporter collects the metrics of one instance.
type Reporter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	labels  *boundedLabels
}

// New returns a reporter.
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
	return &Reporter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), labels: newBoundedLabels(maxOrganisations)}
}

// Handler returns the HTTP handler that serves the metrics.
func (re *Reporter) Handler() http.Handler { return re.handler }

// Close flushes the metrics and stops the periodic flushing.
func (re *Reporter) Close() { _ = re.closer.Close() }

// latencyBuckets are the upper bounds of the histogram buckets of all latencies and waits, in seconds.
var latencyBuckets = tally.ValueBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1, 2.5, 5, 10, 30, 60}

// RequestEnded counts one request by organisation, result and outcome; rf is nil if the request was answered.
func (re *Reporter) RequestEnded(rq *requester.Request, us requester.Usage, rf *requester.Refusal, took time.Duration) {
	result, outcome := "ok", "ran"
	if rf != nil {
		result, outcome = string(rf.Code()), string(rf.Outcome())
	}
	scope := re.scope.Tagged(map[string]string{"organisation": re.labels.limit(rq.Organisation())})
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

// ServedRequest holds the measurements of one request at an entry instance.
type ServedRequest struct {
	// Kind is the kind of the request's route and Status the HTTP status of the answer. Reason says why the instance
	// answered the request itself.
	Kind   string
	Status int
	Reason string
	// TimeToFirstByte is the time to the first part of the answer, Duration the total time and LoadWait the wait for
	// the adapter.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	LoadWait        time.Duration
	// TurnWait is the time that the prompt waited for its turn to be prefilled by the target.
	TurnWait time.Duration
	// LongestPause is the longest pause between two events of a stream; 0 if there was none.
	LongestPause time.Duration
	// Admission is the decision of admission control by its reason; empty if the targets were calm.
	Admission string
	// Attempts is the number of times that the request was sent to a target.
	Attempts int
}

// RequestServed counts one request by kind, status and reason, and records its times.
func (re *Reporter) RequestServed(sv ServedRequest) {
	scope := re.scope.Tagged(map[string]string{"kind": sv.Kind})
	scope.Tagged(map[string]string{"status": strconv.Itoa(sv.Status), "reason": sv.Reason}).Counter("served").Inc(1)
	scope.Histogram("first_answer_seconds", latencyBuckets).RecordValue(sv.TimeToFirstByte.Seconds())
	scope.Histogram("served_seconds", latencyBuckets).RecordValue(sv.Duration.Seconds())
	if sv.Admission != "" {
		re.scope.Tagged(map[string]string{"decision": sv.Admission}).Counter("admission").Inc(1)
	}
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

// AddToCounter adds a number to a counter without labels.
func (re *Reporter) AddToCounter(name string, by int64) { re.scope.Counter(name).Inc(by) }

// SetGauge sets a gauge without labels.
func (re *Reporter) SetGauge(name string, value float64) { re.scope.Gauge(name).Update(value) }

// SetLabelledGauge sets a gauge with one label. The caller must bound the number of the label's values.
func (re *Reporter) SetLabelledGauge(name, label, value string, to float64) {
	re.scope.Tagged(map[string]string{label: value}).Gauge(name).Update(to)
}
