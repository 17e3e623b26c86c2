package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// reportedMemory is the memory that engines report, in tokens, unless it is limited or they cache parts of prompts.
	reportedMemory = 1000
	// roomPollInterval is the time between two checks by a request that waits for memory.
	roomPollInterval = 5 * time.Millisecond
)

// memory is the memory of an engine for prompts and answers, in tokens.
type memory struct {
	// total limits the tokens that requests may hold; 0 for no limit. If crashes is set, the engine crashes when they
	// hold more; otherwise requests wait until there is room.
	total   int
	crashes bool
	// cache is the memory that the engine has for cached parts of prompts; 0 if it caches none.
	cache int
	held  int
	// rejected counts the requests that are larger than the memory, waited those that had to wait for room, and crashCount
	// the crashes of the engine.
	rejected   int
	waited     int
	crashCount int
}

// LimitMemory limits an engine's memory, in tokens. Requests that are larger are rejected. If the running ones would
// hold more, the engine crashes or lets requests wait. 0 ends the limit.
func (ta *Target) LimitMemory(total int, crashes bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.memory.total, ta.memory.crashes = total, crashes
	ta.recordReport()
}

// MemoryEvents returns how many requests were rejected as larger than the engine's memory, how many had to wait for
// room, and how many times the engine crashed.
func (ta *Target) MemoryEvents() (rejected, waited, crashes int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.memory.rejected, ta.memory.waited, ta.memory.crashCount
}

// kvTotal returns the memory that an engine reports. The lock is held.
func (me *memory) kvTotal() int {
	switch {
	case me.total > 0:
		return me.total
	case me.cache > 0:
		return me.cache
	default:
		return reportedMemory
	}
}

// tokens returns the memory that a request takes: its prompt and the maximum answer.
func tokens(header http.Header) int {
	prompt, answer, _ := strings.Cut(header.Get("Token-Counts"), ",")
	first, _ := strconv.Atoi(prompt)
	second, _ := strconv.Atoi(answer)
	return max(first, 0) + max(second, 0)
}

// holdMemory takes a request's memory, and returns false if the request cannot run. done gives the memory back.
func (ta *Target) holdMemory(w http.ResponseWriter, r *http.Request) (done func(), ok bool) {
	need := tokens(r.Header)
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.memory.total > 0 && need > ta.memory.total {
		ta.memory.rejected++
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
	if ta.full(need) && ta.memory.crashes {
		ta.memory.crashCount++
		go ta.crashed()
		return nil, false
	}
	if ta.full(need) {
		ta.memory.waited++
	}
	for ta.full(need) && r.Context().Err() == nil {
		ta.mu.Unlock()
		time.Sleep(roomPollInterval)
		ta.mu.Lock()
	}
	ta.memory.held += need
	ta.recordReport()
	return func() {
		ta.mu.Lock()
		defer ta.mu.Unlock()
		ta.memory.held -= need
		ta.recordReport()
	}, true
}

// full reports whether an engine has no room for a number of tokens. The lock is held.
func (ta *Target) full(need int) bool {
	return ta.memory.total > 0 && ta.memory.held+need > ta.memory.total
}
