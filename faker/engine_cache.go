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

// cacheBlockTokens is the prompt tokens in one block of the prefix cache.
const cacheBlockTokens = 16

// maxCacheEvents bounds the events that the cache keeps.
const maxCacheEvents = 4096

// CacheEvent tells of a block that came into the prefix cache or left it. Numbers that are missing were lost.
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

// prefixCache holds the latest prompt blocks of an engine and publishes what happens to them.
type prefixCache struct {
	limit int
	lag   time.Duration

	mu     sync.Mutex
	blocks []cacheBlock
	events []CacheEvent
	number uint64
	// lose drops every n-th event; 0 for none.
	lose uint64
}

func newPrefixCache(options EngineOptions) *prefixCache {
	limit := options.CacheBlocks
	if limit == 0 {
		limit = 256
	}
	return &prefixCache{limit: limit, lag: options.EventLag}
}

// touch puts a prompt's blocks into the cache and returns how many of its tokens were there.
func (pc *prefixCache) touch(model, prompt string) (cached int) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	hit := true
	for end := cacheBlockTokens * bytesPerToken; end <= len(prompt); end += cacheBlockTokens * bytesPerToken {
		block := cacheBlock{model, xxhash.Sum64String(prompt[:end])}
		place := slices.Index(pc.blocks, block)
		hit = hit && place >= 0
		if hit {
			cached += cacheBlockTokens
		}
		if place >= 0 {
			pc.blocks = slices.Delete(pc.blocks, place, place+1)
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

// clear empties the cache, as a restart does.
func (pc *prefixCache) clear() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.blocks = nil
	pc.publish(cacheCleared, cacheBlock{})
}

// publish adds an event, unless it is one to lose; the caller locks.
func (pc *prefixCache) publish(kind string, block cacheBlock) {
	pc.number++
	if pc.lose > 0 && pc.number%pc.lose == 0 {
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

func (pc *prefixCache) setLoss(every uint64) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lose = every
}

// serve answers GET /cache-events?after=N with the events after a number that are old enough to show.
func (pc *prefixCache) serve(wr http.ResponseWriter, rq *http.Request) {
	after, _ := strconv.ParseUint(rq.URL.Query().Get("after"), 10, 64)
	pc.mu.Lock()
	shown := []CacheEvent{}
	until := time.Now().Add(-pc.lag)
	for _, event := range pc.events {
		if event.Number > after && !event.at.After(until) {
			shown = append(shown, event)
		}
	}
	pc.mu.Unlock()
	writeJSON(wr, http.StatusOK, shown)
}
