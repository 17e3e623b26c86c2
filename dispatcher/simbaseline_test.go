package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lovagebank/requester"
)

// baselineTarget runs requests on a target as the baseline policies do: first come, first served, with eviction of the
// least recently used idle adapter.
type baselineTarget struct {
	engine *simEngine

	mu       sync.Mutex
	changed  chan struct{}
	running  int
	inFlight int
	// used is the time of each resident adapter's last use; users counts its running requests.
	used    map[string]time.Time
	loading map[string]bool
	users   map[string]int
	queue   []*requester.Request
}

func newBaselineTarget(engine *simEngine) *baselineTarget {
	return &baselineTarget{
		engine: engine, changed: make(chan struct{}), used: map[string]time.Time{}, loading: map[string]bool{},
		users: map[string]int{},
	}
}

func (bt *baselineTarget) notify() {
	close(bt.changed)
	bt.changed = make(chan struct{})
}

func (bt *baselineTarget) execute(ctx context.Context, rq *requester.Request) (requester.Usage, error) {
	arrived := time.Now()
	bt.mu.Lock()
	bt.inFlight++
	bt.queue = append(bt.queue, rq)
	var loadWait time.Duration
	started := false
	defer func() {
		bt.inFlight--
		if started {
			bt.running--
			bt.users[rq.Model()]--
			bt.used[rq.Model()] = time.Now()
		} else {
			bt.dequeue(rq)
		}
		bt.notify()
		bt.mu.Unlock()
	}()
	for !bt.canStart(rq) {
		resident := !bt.used[rq.Model()].IsZero() && !bt.loading[rq.Model()]
		if !resident {
			bt.tryLoad(ctx, rq.Model())
		}
		changed, since := bt.changed, time.Now()
		bt.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		bt.mu.Lock()
		if !resident {
			loadWait += time.Since(since)
		}
		if ctx.Err() != nil {
			return requester.Usage{}, requester.Refuse(requester.CodeDeadline, "late", 0)
		}
	}
	bt.dequeue(rq)
	started = true
	bt.running++
	bt.users[rq.Model()]++
	queued := time.Since(arrived)
	bt.mu.Unlock()
	us, err := bt.engine.invoke(ctx, rq)
	bt.mu.Lock()
	return us.WithWaits(queued, loadWait), err
}

// canStart reports whether the batch has a free place and the request is the first in the queue whose adapter is
// loaded.
func (bt *baselineTarget) canStart(rq *requester.Request) bool {
	if bt.running >= int(bt.engine.target.GetBatch()) {
		return false
	}
	for _, other := range bt.queue {
		if !bt.used[other.Model()].IsZero() && !bt.loading[other.Model()] {
			return other == rq
		}
	}
	return false
}

func (bt *baselineTarget) dequeue(rq *requester.Request) {
	for at, other := range bt.queue {
		if other == rq {
			bt.queue = append(bt.queue[:at:at], bt.queue[at+1:]...)
			return
		}
	}
}

func (bt *baselineTarget) tryLoad(ctx context.Context, model string) {
	if bt.loading[model] {
		return
	}
	if len(bt.used) >= int(bt.engine.target.GetSlots()) && !bt.evict() {
		return
	}
	bt.used[model], bt.loading[model] = time.Now(), true
	go func() {
		err := bt.engine.load(context.WithoutCancel(ctx), model)
		bt.mu.Lock()
		defer bt.mu.Unlock()
		delete(bt.loading, model)
		if err != nil {
			delete(bt.used, model)
		}
		bt.notify()
	}()
}

func (bt *baselineTarget) evict() bool {
	queuedModels := map[string]bool{}
	for _, rq := range bt.queue {
		queuedModels[rq.Model()] = true
	}
	var oldest string
	for model, used := range bt.used {
		if bt.users[model] == 0 && !bt.loading[model] && !queuedModels[model] && (oldest == "" || used.Before(bt.used[oldest])) {
			oldest = model
		}
	}
	if oldest == "" {
		return false
	}
	delete(bt.used, oldest)
	bt.engine.unload(oldest)
	return true
}

// chooseBaseline picks a random target, or the one with the fewest requests in flight.
func chooseBaseline(targets []*baselineTarget, random *rand.Rand, leastLoaded bool) *baselineTarget {
	best := targets[random.IntN(len(targets))]
	if !leastLoaded {
		return best
	}
	for _, bt := range targets {
		bt.mu.Lock()
		load := bt.inFlight
		bt.mu.Unlock()
		best.mu.Lock()
		least := best.inFlight
		best.mu.Unlock()
		if load < least {
			best = bt
		}
	}
	return best
}
