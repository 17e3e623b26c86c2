package emulator

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// prefillTime is the time from a request's arrival at an engine to the first event of its answer, for requests that name
	// the parts of their prompts.
	prefillTime = 60 * time.Millisecond
	// crashedTime is how long a target is away after a part of a prompt has crashed it.
	crashedTime = 1500 * time.Millisecond
	// crashesUntilRefusal is the number of crashes after which requests with the part count, crashNotice the time that instances
	// have from then on, and maxLateArrivals the number of requests that may reach targets later.
	crashesUntilRefusal = 5
	crashNotice         = 3 * time.Second
	maxLateArrivals     = 3
)

// crashingParts holds the parts of prompts that crash the engines that begin an answer on them, and what came of them.
type crashingParts struct {
	mu    sync.Mutex
	parts map[string]*crashingPart
}

// crashingPart is a part of prompts that crashes engines.
type crashingPart struct {
	crashes  []time.Time
	arrivals []Arrival
}

// CrashOnPart makes each engine crash that begins an answer on a prompt with the given part. The engine is back, under its ID and
// empty, after crashedTime.
func (fl *Fleet) CrashOnPart(part string) {
	fl.crashing.mu.Lock()
	defer fl.crashing.mu.Unlock()
	fl.crashing.parts[part] = &crashingPart{}
}

// sharedParts returns the IDs of the parts of a request's prompt but the last one, which is the request's own.
func sharedParts(header http.Header) []string {
	entries := strings.Split(header.Get("Prompt-Prefix"), ",")
	ids := make([]string, 0, len(entries))
	for _, entry := range entries {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// arrived counts a request that has reached an engine.
func (cp *crashingParts) arrived(header http.Header) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	for _, id := range sharedParts(header) {
		if part, ok := cp.parts[id]; ok {
			part.arrivals = append(part.arrivals, Arrival{ID: header.Get("Request-Id"), At: time.Now()})
		}
	}
}

// crashes counts a crash and reports whether an engine crashes that begins an answer to the request now.
func (cp *crashingParts) crashes(header http.Header) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	crashes := false
	for _, id := range sharedParts(header) {
		if part, ok := cp.parts[id]; ok {
			part.crashes = append(part.crashes, time.Now())
			crashes = true
		}
	}
	return crashes
}

// prefill waits for the prefill time of a request that names the parts of its prompt. It returns false if the engine
// has crashed on the request.
func (ta *Target) prefill(r *http.Request) bool {
	if r.Header.Get("Prompt-Prefix") == "" {
		return true
	}
	ta.crashing.arrived(r.Header)
	took := prefillTime
	if ta.prefixCache.PerToken > 0 {
		took = time.Duration(ta.prefixes.read(r.Header, ta.prefixCache.Tokens)) * ta.prefixCache.PerToken
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(took):
	}
	if !ta.crashing.crashes(r.Header) {
		return true
	}
	ta.crashed()
	return false
}

// crashFor stops a target and starts it again after a time, with the same ID, without adapters and at another address.
func (fl *Fleet) crashFor(id string, away time.Duration) {
	if ta := fl.Target(id); ta != nil {
		ta.Crash()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.restarting[id] {
		return
	}
	fl.restarting[id] = true
	fl.restarts.Go(func() {
		select {
		case <-fl.closing:
			return
		case <-time.After(away):
		}
		fl.mu.Lock()
		delete(fl.restarting, id)
		fl.mu.Unlock()
		// A target that cannot start again stays away, as a lost one does.
		_ = fl.RestartTarget(id)
	})
}

// CrashingParts returns the sorted parts that crash engines.
func (fl *Fleet) CrashingParts() []string {
	fl.crashing.mu.Lock()
	defer fl.crashing.mu.Unlock()
	return slices.Sorted(maps.Keys(fl.crashing.parts))
}

// Crashes returns the number of times that a part has crashed an engine.
func (fl *Fleet) Crashes(part string) int {
	fl.crashing.mu.Lock()
	defer fl.crashing.mu.Unlock()
	return len(fl.crashing.parts[part].crashes)
}

// PartExcess describes the requests with a crashing part that reached engines although instances had to refuse them;
// empty if they were few enough. The function counts reports whether an arrival counts.
func (fl *Fleet) PartExcess(part string, counts func(ar Arrival) bool) string {
	fl.crashing.mu.Lock()
	defer fl.crashing.mu.Unlock()
	cp := fl.crashing.parts[part]
	if len(cp.crashes) < crashesUntilRefusal {
		return ""
	}
	binds := cp.crashes[crashesUntilRefusal-1].Add(crashNotice)
	late := slices.DeleteFunc(slices.Clone(cp.arrivals), func(ar Arrival) bool { return !ar.At.After(binds) || !counts(ar) })
	if len(late) <= maxLateArrivals {
		return ""
	}
	return fmt.Sprintf("%d requests with part %s reached targets later than %v after the fifth crash; allowed %d, %d crashes in all",
		len(late), part, crashNotice, maxLateArrivals, len(cp.crashes))
}
