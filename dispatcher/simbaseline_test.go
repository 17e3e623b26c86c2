package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lovagebank/requester"
)

// plainTarget runs requests on a target as the baseline policies do: first come, first served, with eviction of the
// least recently used idle adapter.
type plainTarget struct {
	engine *simEngine

	mu       sync.Mutex
	changed  chan struct{}
	running  int
	inFlight int
	// used is the time of each resident adapter's last use; users counts its running requests.
	used    map[string]time.Time
	loading map[string]bool
	users   map[string]int
	line    []*requester.Request
}

func newPlainTarget(engine *simEngine) *plainTarget {
	return &plainTarget{
		engine: engine, changed: make(chan struct{}), used: map[string]time.Time{}, loading: map[string]bool{},
		users: map[string]int{},
	}
}

func (pt *plainTarget) notify() {
	close(pt.changed)
	pt.changed = make(chan struct{})
}

func (pt *plainTarget) execute(ctx context.Context, rq *requester.Request) (requester.Usage, error) {
	arrived := time.Now()
	pt.mu.Lock()
	pt.inFlight++
	pt.line = append(pt.line, rq)
	var loadWait time.Duration
	started := false
	defer func() {
		pt.inFlight--
		if started {
			pt.running--
			pt.users[rq.Model()]--
			pt.used[rq.Model()] = time.Now()
		} else {
			pt.leave(rq)
		}
		pt.notify()
		pt.mu.Unlock()
	}()
	for !pt.mayStart(rq) {
		resident := !pt.used[rq.Model()].IsZero() && !pt.loading[rq.Model()]
		if !resident {
			pt.tryLoad(ctx, rq.Model())
		}
		changed, since := pt.changed, time.Now()
		pt.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		pt.mu.Lock()
		if !resident {
			loadWait += time.Since(since)
		}
		if ctx.Err() != nil {
			return requester.Usage{}, requester.Refuse(requester.CodeDeadline, "late", 0)
		}
	}
	pt.leave(rq)
	started = true
	pt.running++
	pt.users[rq.Model()]++
	queued := time.Since(arrived)
	pt.mu.Unlock()
	us, err := pt.engine.invoke(ctx, rq)
	pt.mu.Lock()
	return us.WithWaits(queued, loadWait), err
}

// mayStart reports whether the batch has a free place and the request is the first in the queue whose adapter is
// loaded.
func (pt *plainTarget) mayStart(rq *requester.Request) bool {
	if pt.running >= int(pt.engine.target.GetBatch()) {
		return false
	}
	for _, other := range pt.line {
		if !pt.used[other.Model()].IsZero() && !pt.loading[other.Model()] {
			return other == rq
		}
	}
	return false
}

func (pt *plainTarget) leave(rq *requester.Request) {
	for at, other := range pt.line {
		if other == rq {
			pt.line = append(pt.line[:at:at], pt.line[at+1:]...)
			return
		}
	}
}

func (pt *plainTarget) tryLoad(ctx context.Context, model string) {
	if pt.loading[model] {
		return
	}
	if len(pt.used) >= int(pt.engine.target.GetSlots()) && !pt.evict() {
		return
	}
	pt.used[model], pt.loading[model] = time.Now(), true
	go func() {
		err := pt.engine.load(context.WithoutCancel(ctx), model)
		pt.mu.Lock()
		defer pt.mu.Unlock()
		delete(pt.loading, model)
		if err != nil {
			delete(pt.used, model)
		}
		pt.notify()
	}()
}

func (pt *plainTarget) evict() bool {
	wanted := map[string]bool{}
	for _, rq := range pt.line {
		wanted[rq.Model()] = true
	}
	var oldest string
	for model, used := range pt.used {
		if pt.users[model] == 0 && !pt.loading[model] && !wanted[model] && (oldest == "" || used.Before(pt.used[oldest])) {
			oldest = model
		}
	}
	if oldest == "" {
		return false
	}
	delete(pt.used, oldest)
	pt.engine.unload(oldest)
	return true
}

// choosePlain picks a random target, or the one with the fewest requests in flight.
func choosePlain(targets []*plainTarget, random *rand.Rand, leastLoaded bool) *plainTarget {
	best := targets[random.IntN(len(targets))]
	if !leastLoaded {
		return best
	}
	for _, pt := range targets {
		pt.mu.Lock()
		load := pt.inFlight
		pt.mu.Unlock()
		best.mu.Lock()
		least := best.inFlight
		best.mu.Unlock()
		if load < least {
			best = pt
		}
	}
	return best
}
