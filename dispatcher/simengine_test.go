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

// The simulated engines' laws: those of the brief for loads, and a batch step that grows with its requests and adapters.
const (
	simTokenTime       = 30 * time.Millisecond
	simBatchSlowdown   = 0.01
	simAdapterSlowdown = 0.04
	simLoadTime        = 250 * time.Millisecond
	simFullSpeedLoads  = 24
	simReportLag       = 200 * time.Millisecond
)

// simWeights is the weight store of all engines.
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

// simRun is one request in an engine's batch.
type simRun struct {
	model string
	left  int64
	done  chan struct{}
}

// simEngine batches continuously: each step gives each running request a token.
type simEngine struct {
	target  *wire.Target
	weights *simWeights
	wake    chan struct{}

	mu       sync.Mutex
	adapters map[string]bool
	batch    map[*simRun]struct{}
	// violations counts requests for absent adapters and evictions in use.
	violations int
	measured   bool
	tokens     float64
	busy       time.Duration
	steps      float64
}

func newSimEngine(tg *wire.Target, weights *simWeights) *simEngine {
	return &simEngine{
		target: tg, weights: weights, wake: make(chan struct{}, 1), adapters: map[string]bool{}, batch: map[*simRun]struct{}{},
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

// invoke runs a request; the length of its answer is in its idempotency key's place, as the simulation's own secret.
func (se *simEngine) invoke(ctx context.Context, rq *requester.Request) (requester.Usage, error) {
	length := simLength(rq)
	sr := &simRun{model: rq.Model(), left: length, done: make(chan struct{})}
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

func (se *simEngine) poll() invoker.Load {
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
	return invoker.NewLoad("1", int(tg.GetSlots()), int(tg.GetBatch()), len(se.batch), 0, reps, time.Now())
}

func simLength(rq *requester.Request) int64 {
	var length int64
	_, _ = fmt.Sscan(rq.IdempotencyKey(), &length)
	return length
}

// simLaggedPoll answers with the report of a while ago.
func simLaggedPoll(se *simEngine) func(context.Context) (invoker.Load, error) {
	return func(ctx context.Context) (invoker.Load, error) {
		load := se.poll()
		select {
		case <-time.After(simReportLag):
		case <-ctx.Done():
		}
		return load, ctx.Err()
	}
}

func simHead(int, http.Header) error { return nil }
