package loader

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// healthPeriod is the interval of the readiness checks, and healthTimeout the maximum wait for the answer to one check.
const (
	healthPeriod  = 200 * time.Millisecond
	healthTimeout = time.Second
)

// balancer simulates the load balancer of the platform: it distributes requests round robin over the instances
// that report ready.
type balancer struct {
	urls   []string
	ready  []atomic.Bool
	client *http.Client
	next   atomic.Uint64
	done   chan struct{}
}

func newBalancer(urls []string) *balancer {
	ba := &balancer{
		urls: urls, ready: make([]atomic.Bool, len(urls)), client: &http.Client{Timeout: healthTimeout},
		done: make(chan struct{}),
	}
	for index := range urls {
		ba.ready[index].Store(true)
	}
	return ba
}

// run checks the readiness of all instances periodically until the context ends.
func (ba *balancer) run(ctx context.Context) {
	defer close(ba.done)
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	for {
		for index, url := range ba.urls {
			go func() { ba.ready[index].Store(ba.checkReady(ctx, url)) }()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (ba *balancer) checkReady(ctx context.Context, url string) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	answer, err := ba.client.Do(rq)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// pick returns the URL of the next ready instance, or of the next instance if none is ready.
func (ba *balancer) pick() string {
	start := ba.next.Add(1)
	for offset := range uint64(len(ba.urls)) {
		if index := (start + offset) % uint64(len(ba.urls)); ba.ready[index].Load() {
			return ba.urls[index]
		}
	}
	return ba.urls[start%uint64(len(ba.urls))]
}
