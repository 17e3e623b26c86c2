package emulator

import (
	"container/list"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PrefixCache describes engines that keep the parts of prompts that they have processed, so that prompts with these
// begin sooner. The engines evict the least recently used parts.
type PrefixCache struct {
	// PerToken is the time to prefill a token, and Tokens the memory of an engine in tokens.
	PerToken time.Duration
	Tokens   int
}

// prefixCache is the cache of one start of an engine.
type prefixCache struct {
	mu    sync.Mutex
	parts map[string]*list.Element
	order *list.List
	used  int
	// readShared is the number of tokens in shared parts that the engine had to prefill.
	readShared int
}

type cachedPart struct {
	key    string
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{parts: make(map[string]*list.Element), order: list.New()}
}

// read caches the parts of a prompt and returns the number of tokens that were not cached. A part counts as cached only
// if all parts before it are.
func (pc *prefixCache) read(header http.Header, capacity int) int {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	entries := strings.Split(header.Get("Prompt-Prefix"), ",")
	key, cached, read := header.Get("Model-Name"), true, 0
	for at, entry := range entries {
		id, count, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			break
		}
		key += "," + id
		if !pc.use(key, tokens) {
			cached = false
		}
		if !cached {
			read += tokens
			if at < len(entries)-1 {
				pc.readShared += tokens
			}
		}
	}
	for pc.used > capacity && pc.order.Len() > 0 {
		oldest := pc.order.Remove(pc.order.Back()).(cachedPart)
		delete(pc.parts, oldest.key)
		pc.used -= oldest.tokens
	}
	return read
}

// use marks a part as the most recently used one and reports whether it was cached.
func (pc *prefixCache) use(key string, tokens int) bool {
	if el, ok := pc.parts[key]; ok {
		pc.order.MoveToFront(el)
		return true
	}
	pc.parts[key] = pc.order.PushFront(cachedPart{key: key, tokens: tokens})
	pc.used += tokens
	return false
}

// ReadSharedTokens returns the number of tokens in shared parts of prompts that the present starts of the engines had to prefill.
func (fl *Fleet) ReadSharedTokens() int {
	sum := 0
	for _, id := range fl.TargetIDs() {
		if ta := fl.Target(id); ta != nil {
			ta.prefixes.mu.Lock()
			sum += ta.prefixes.readShared
			ta.prefixes.mu.Unlock()
		}
	}
	return sum
}
