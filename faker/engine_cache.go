package faker

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockTokens is the number of prompt tokens in one block of the prefix cache.
const cacheBlockTokens = 16

// maxCacheEvents is the maximum number of events that the cache retains.
const maxCacheEvents = 4096

// CacheEvent reports that a block was stored in the prefix cache or evicted, or that the cache was cleared. Events are
// numbered in sequence; a gap in the numbers means that events were dropped.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Kind   string `json:"kind"`
	Model  string `json:"model,omitempty"`
	Block  string `json:"block,omitempty"`
	at     time.Time
}

// The kinds of cache events.
const (
	cacheStored  = "stored"
	cacheEvicted = "evicted"
	cacheCleared = "cleared"
)

type cacheBlock struct {
	model string
	hash  uint64
}

// prefixCache is an LRU cache of an engine's prompt blocks that publishes an event for each change. It keeps the block
// hashes only.
type prefixCache struct {
	limit int
	lag   time.Duration

	mu     sync.Mutex
	blocks []cacheBlock
	events []CacheEvent
	number uint64
	// lossInterval n drops every n-th event; 0 drops none.
	lossInterval uint64
}

func newPrefixCache(options EngineOptions) *prefixCache {
	limit := options.CacheBlocks
	if limit == 0 {
		limit = 256
	}
	return &prefixCache{limit: limit, lag: options.EventLag}
}

// touch marks a prompt's blocks as most recently used, stores the missing ones, and returns the number of tokens in the
// longest cached prefix.
func (pc *prefixCache) touch(model, prompt string) (cached int) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	hit := true
	for end := cacheBlockTokens * bytesPerToken; end <= len(prompt); end += cacheBlockTokens * bytesPerToken {
		block := cacheBlock{model, xxhash.Sum64String(prompt[:end])}
		position := slices.Index(pc.blocks, block)
		hit = hit && position >= 0
		if hit {
			cached += cacheBlockTokens
		}
		if position >= 0 {
			pc.blocks = slices.Delete(pc.blocks, position, position+1)
		} else {
			pc.publish(cacheStored, block)
		}
		pc.blocks = append(pc.blocks, block)
	}
	for len(pc.blocks) > pc.limit {
		pc.publish(cacheEvicted, pc.blocks[0])
		pc.blocks = pc.blocks[1:]
	}
	return cached
}

// clear empties the cache, as on a restart.
func (pc *prefixCache) clear() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.blocks = nil
	pc.publish(cacheCleared, cacheBlock{})
}

// publish appends an event unless lossInterval drops it. The caller holds the lock.
func (pc *prefixCache) publish(kind string, block cacheBlock) {
	pc.number++
	if pc.lossInterval > 0 && pc.number%pc.lossInterval == 0 {
		return
	}
	event := CacheEvent{Number: pc.number, Kind: kind, Model: block.model, at: time.Now()}
	if kind != cacheCleared {
		event.Block = fmt.Sprintf("%016x", block.hash)
	}
	if len(pc.events) >= maxCacheEvents {
		pc.events = slices.Delete(pc.events, 0, maxCacheEvents/2)
	}
	pc.events = append(pc.events, event)
}

func (pc *prefixCache) setLag(lag time.Duration) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lag = lag
}

func (pc *prefixCache) setLossInterval(every uint64) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lossInterval = every
}

// serveEvents handles GET /cache-events?after=N. It returns the events with a number greater than N that are at least
// as old as the event lag.
func (pc *prefixCache) serveEvents(wr http.ResponseWriter, rq *http.Request) {
	after, _ := strconv.ParseUint(rq.URL.Query().Get("after"), 10, 64)
	pc.mu.Lock()
	visible := []CacheEvent{}
	until := time.Now().Add(-pc.lag)
	for _, event := range pc.events {
		if event.Number > after && !event.at.After(until) {
			visible = append(visible, event)
		}
	}
	pc.mu.Unlock()
	writeJSON(wr, http.StatusOK, visible)
}
