package faker

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// WorkerOptions describes an application worker.
type WorkerOptions struct {
	ID      string
	Domain  string
	Service string
	// RunTime is how long a run takes.
	RunTime time.Duration
}

// WorkerAnswer is what a worker answers to each call.
type WorkerAnswer struct {
	Worker         string `json:"worker"`
	Service        string `json:"service"`
	Organisation   string `json:"organisation"`
	IdempotencyKey string `json:"idempotency-key"`
	Path           string `json:"path"`
	Body           string `json:"body"`
	// Run counts the runs under the idempotency key on this worker, from 1.
	Run int `json:"run"`
}

// Worker stands in for a plain service and counts its runs by organisation and idempotency key.
type Worker struct {
	options WorkerOptions

	mu       sync.Mutex
	runs     map[string]int
	total    int
	keysSeen int
	silent   bool
	// crashes is how many runs are still to lose their answer after they took effect.
	crashes int
}

// maxWorkerBody bounds the bytes that a worker reads of a call.
const maxWorkerBody = 1 << 20

// NewWorker makes a worker that has run nothing.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, runs: map[string]int{}}
}

// ServeHTTP runs one call.
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
	silent, crash, duration := wo.count(&answer, rq)
	if silent {
		<-rq.Context().Done()
		return
	}
	if err := sleep(rq.Context(), duration); err != nil || crash {
		panic(http.ErrAbortHandler)
	}
	writeJSON(wr, http.StatusOK, answer)
}

// count notes a run before it takes its time, as an effect that a lost answer does not undo.
func (wo *Worker) count(answer *WorkerAnswer, rq *http.Request) (silent, crash bool, duration time.Duration) {
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

// WorkerStats counts what a worker did.
type WorkerStats struct {
	Total    int `json:"total"`
	KeysSeen int `json:"keys-seen"`
	// Runs counts runs by organisation and idempotency key, joined by a slash.
	Runs map[string]int `json:"runs"`
}

// Stats returns the counts so far.
func (wo *Worker) Stats() WorkerStats {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	runs := make(map[string]int, len(wo.runs))
	for key, count := range wo.runs {
		runs[key] = count
	}
	return WorkerStats{Total: wo.total, KeysSeen: wo.keysSeen, Runs: runs}
}

// SetSilent makes the worker accept calls and never run or answer them, or ends that.
func (wo *Worker) SetSilent(silent bool) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.silent = silent
}

// SetCrashes makes the next runs lose their answer after they took effect.
func (wo *Worker) SetCrashes(count int) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.crashes = count
}

// SetRunTime changes how long a run takes.
func (wo *Worker) SetRunTime(duration time.Duration) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.options.RunTime = duration
}

// WorkerKeysSeen returns the calls to a worker that carried a caller's key; 0 for other stand-ins.
func (sa Stats) WorkerKeysSeen() int {
	if sa.Worker == nil {
		return 0
	}
	return sa.Worker.KeysSeen
}
