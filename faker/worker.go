package faker

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	ID      string
	Domain  string
	Service string
	// RunTime is the duration of a run.
	RunTime time.Duration
}

// WorkerAnswer is a worker's response to a call.
type WorkerAnswer struct {
	Worker         string `json:"worker"`
	Service        string `json:"service"`
	Organisation   string `json:"organisation"`
	IdempotencyKey string `json:"idempotency-key"`
	Path           string `json:"path"`
	Body           string `json:"body"`
	// Run is the number of the run under its organisation and idempotency key on this worker, counted from 1.
	Run int `json:"run"`
}

// Worker is a fake of a plain service that counts its runs by organisation and idempotency key.
type Worker struct {
	options WorkerOptions

	mu       sync.Mutex
	runs     map[string]int
	total    int
	keysSeen int
	silent   bool
	// crashes is the number of further runs whose connection is dropped after they take effect.
	crashes int
}

// maxWorkerBody is the maximum number of bytes that a worker reads of a request body.
const maxWorkerBody = 1 << 20

// NewWorker returns a worker without runs.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, runs: map[string]int{}}
}

// ServeHTTP runs the service once, subject to the active faults.
func (wo *Worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxWorkerBody))
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	answer := WorkerAnswer{
		Worker: wo.options.ID, Service: wo.options.Service, Organisation: rq.Header.Get(HeaderOrganisation),
		IdempotencyKey: rq.Header.Get(HeaderIdempotency), Path: rq.URL.Path, Body: string(body),
	}
	silent, crash, duration := wo.recordRun(&answer, rq)
	if silent {
		<-rq.Context().Done()
		return
	}
	if err := sleep(rq.Context(), duration); err != nil || crash {
		panic(http.ErrAbortHandler)
	}
	writeJSON(wr, http.StatusOK, answer)
}

// recordRun counts a run before its duration passes, because a lost response does not undo the effect of a run.
func (wo *Worker) recordRun(answer *WorkerAnswer, rq *http.Request) (silent, crash bool, duration time.Duration) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.silent {
		return true, false, 0
	}
	if strings.HasPrefix(rq.Header.Get("Authorization"), "Bearer ") {
		wo.keysSeen++
	}
	wo.total++
	key := answer.Organisation + "/" + answer.IdempotencyKey
	wo.runs[key]++
	answer.Run = wo.runs[key]
	if wo.crashes > 0 {
		wo.crashes--
		crash = true
	}
	return false, crash, wo.options.RunTime
}

// WorkerStats holds the counters of a worker.
type WorkerStats struct {
	Total int `json:"total"`
	// KeysSeen is the number of calls that carried a caller's API key.
	KeysSeen int `json:"keys-seen"`
	// Runs is the number of runs by organisation and idempotency key, joined by a slash.
	Runs map[string]int `json:"runs"`
}

// Stats returns a copy of the counters.
func (wo *Worker) Stats() WorkerStats {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	runs := make(map[string]int, len(wo.runs))
	for key, count := range wo.runs {
		runs[key] = count
	}
	return WorkerStats{Total: wo.total, KeysSeen: wo.keysSeen, Runs: runs}
}

// SetSilent sets whether the worker accepts calls without ever running or answering them.
func (wo *Worker) SetSilent(silent bool) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.silent = silent
}

// SetCrashes sets the number of further runs whose connection is dropped after they take effect.
func (wo *Worker) SetCrashes(count int) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.crashes = count
}

// SetRunTime sets the duration of a run.
func (wo *Worker) SetRunTime(duration time.Duration) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.options.RunTime = duration
}

// WorkerKeysSeen returns the number of calls to a worker that carried a caller's API key; 0 for other fakes.
func (sa Stats) WorkerKeysSeen() int {
	if sa.Worker == nil {
		return 0
	}
	return sa.Worker.KeysSeen
}
