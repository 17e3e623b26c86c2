package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"lovagebank/invoker"
	"lovagebank/requester"
	"lovagebank/wire"
)

// The model of the simulated engines: adapter loads as in the brief, and batch steps whose time grows with the requests
// and adapters in the batch.
const (
	simTokenTime       = 30 * time.Millisecond
	simBatchSlowdown   = 0.01
	simAdapterSlowdown = 0.04
	simLoadTime        = 250 * time.Millisecond
	simFullSpeedLoads  = 24
	simReportLag       = 200 * time.Millisecond
)

// simWeights is the weight store shared by all engines.
type simWeights struct {
	mu       sync.Mutex
	inFlight int
	peak     int
	total    int
}

func (sw *simWeights) load(ctx context.Context) error {
	sw.mu.Lock()
	sw.inFlight++
	sw.total++
	sw.peak = max(sw.peak, sw.inFlight)
	took := time.Duration(float64(simLoadTime) * max(1, float64(sw.inFlight)/simFullSpeedLoads))
	sw.mu.Unlock()
	defer func() {
		sw.mu.Lock()
		defer sw.mu.Unlock()
		sw.inFlight--
	}()
	select {
	case <-time.After(took):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// simBatchRequest is one request in an engine's batch.
type simBatchRequest struct {
	model string
	left  int64
	done  chan struct{}
}

// simEngine simulates continuous batching: each step generates one token for each running request.
type simEngine struct {
	target  *wire.Target
	weights *simWeights
	wake    chan struct{}

	mu       sync.Mutex
	adapters map[string]bool
	batch    map[*simBatchRequest]struct{}
	// violations counts requests for adapters that are not loaded, loads beyond the slots and evictions in use.
	violations int
	measured   bool
	tokens     float64
	busy       time.Duration
	steps      float64
}

func newSimEngine(tg *wire.Target, weights *simWeights) *simEngine {
	return &simEngine{
		target: tg, weights: weights, wake: make(chan struct{}, 1), adapters: map[string]bool{}, batch: map[*simBatchRequest]struct{}{},
	}
}

func (se *simEngine) run(ctx context.Context) {
	for {
		took := se.stepTime()
		if took == 0 {
			select {
			case <-se.wake:
			case <-ctx.Done():
				return
			}
			continue
		}
		select {
		case <-time.After(took):
			se.step(took)
		case <-ctx.Done():
			return
		}
	}
}

func (se *simEngine) stepTime() time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	if len(se.batch) == 0 {
		return 0
	}
	models := map[string]bool{}
	for sr := range se.batch {
		models[sr.model] = true
	}
	slower := 1 + simBatchSlowdown*float64(len(se.batch)-1) + simAdapterSlowdown*float64(len(models)-1)
	return time.Duration(float64(simTokenTime) * slower)
}

func (se *simEngine) step(took time.Duration) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.measured {
		se.tokens += float64(len(se.batch))
		se.steps++
		se.busy += took
	}
	for sr := range se.batch {
		if sr.left--; sr.left <= 0 {
			delete(se.batch, sr)
			close(sr.done)
		}
	}
}

// invoke runs a request. The simulation passes the length of the answer in the idempotency key, which nothing else
// reads.
func (se *simEngine) invoke(ctx context.Context, rq *requester.Request) (requester.Usage, error) {
	length := simLength(rq)
	sr := &simBatchRequest{model: rq.Model(), left: length, done: make(chan struct{})}
	se.mu.Lock()
	if !se.adapters[rq.Model()] {
		se.violations++
	}
	se.batch[sr] = struct{}{}
	se.mu.Unlock()
	select {
	case se.wake <- struct{}{}:
	default:
	}
	select {
	case <-sr.done:
		return requester.NewUsage(rq.PromptTokens(), length, rq.Adapter(), rq.Version(), 0, 0), nil
	case <-ctx.Done():
		se.mu.Lock()
		delete(se.batch, sr)
		se.mu.Unlock()
		return requester.Usage{}, requester.RefuseUnknown(requester.CodeCancelled, "cancelled", 0)
	}
}

func (se *simEngine) load(ctx context.Context, model string) error {
	if err := se.weights.load(ctx); err != nil {
		return err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.adapters[model] = true
	if len(se.adapters) > int(se.target.GetSlots()) {
		se.violations++
	}
	return nil
}

func (se *simEngine) unload(model string) {
	se.mu.Lock()
	defer se.mu.Unlock()
	for sr := range se.batch {
		if sr.model == model {
			se.violations++
		}
	}
	delete(se.adapters, model)
}

func (se *simEngine) poll() invoker.LoadReport {
	se.mu.Lock()
	defer se.mu.Unlock()
	reps := make([]invoker.AdapterReport, 0, len(se.adapters))
	for model := range se.adapters {
		rep := invoker.AdapterReport{Name: model, State: invoker.StateLoaded}
		for sr := range se.batch {
			if sr.model == model {
				rep.Running++
			}
		}
		reps = append(reps, rep)
	}
	tg := se.target
	return invoker.NewLoadReport("1", int(tg.GetSlots()), int(tg.GetBatch()), len(se.batch), 0, reps, time.Now())
}

func simLength(rq *requester.Request) int64 {
	var length int64
	_, _ = fmt.Sscan(rq.IdempotencyKey(), &length)
	return length
}

// simLaggedPoll returns a poll function whose reports are simReportLag old.
func simLaggedPoll(se *simEngine) func(context.Context) (invoker.LoadReport, error) {
	return func(ctx context.Context) (invoker.LoadReport, error) {
		load := se.poll()
		select {
		case <-time.After(simReportLag):
		case <-ctx.Done():
		}
		return load, ctx.Err()
	}
}

func simHead(int, http.Header) error { return nil }
