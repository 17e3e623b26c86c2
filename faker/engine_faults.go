package faker

import (
	"strings"
	"time"
)

// engineFaults is what is switched on at an engine.
type engineFaults struct {
	silent       bool
	wrongVersion bool
	// failingLoads is how many loads are still to fail; negative for all.
	failingLoads int
	poison       string
}

// failsLoad tells whether a load is to fail, and counts it.
func (ef *engineFaults) failsLoad() bool {
	if ef.failingLoads > 0 {
		ef.failingLoads--
		return true
	}
	return ef.failingLoads < 0
}

// EngineStats counts what an engine did and which rules were broken at it.
type EngineStats struct {
	Requests int `json:"requests"`
	Finished int `json:"finished"`
	Tokens   int `json:"tokens"`
	// Steps is the batch steps that the tokens took; tokens by steps is the mean batch.
	Steps       float64 `json:"steps"`
	Loads       int     `json:"loads"`
	FailedLoads int     `json:"failed-loads"`
	// FullLoads is the loads that were refused for want of a slot.
	FullLoads int `json:"full-loads"`
	Unloads   int `json:"unloads"`
	// EvictionsInUse is the unloads of adapters that a request ran on.
	EvictionsInUse int `json:"evictions-in-use"`
	// NotLoaded is the requests for an adapter that was not there.
	NotLoaded int `json:"not-loaded"`
	// OldOrders is the orders with an old fencing number, refused or not.
	OldOrders int `json:"old-orders"`
	// KeysSeen is the calls that carried a caller's key, which no target may see.
	KeysSeen int `json:"keys-seen"`
	Crashes  int `json:"crashes"`
}

// Stats returns the counts so far.
func (en *Engine) Stats() EngineStats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.stats
}

// SetSilent makes the engine accept calls and never answer, or ends that.
func (en *Engine) SetSilent(silent bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.silent = silent
}

// SetWrongVersion makes answers name another version than the one asked for.
func (en *Engine) SetWrongVersion(wrong bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.wrongVersion = wrong
}

// SetFailingLoads makes the next loads fail; a negative number stands for all.
func (en *Engine) SetFailingLoads(count int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.failingLoads = count
}

// SetPoison makes each prompt that holds a text crash the engine; empty for none.
func (en *Engine) SetPoison(text string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.poison = text
}

// SetReportLag changes the age of load reports.
func (en *Engine) SetReportLag(lag time.Duration) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.options.ReportLag = lag
}

// SetDown makes the engine drop all calls in progress and new ones, or come back empty.
func (en *Engine) SetDown(down bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.setDown(down)
}

func (en *Engine) setDown(down bool) {
	if down == en.down {
		return
	}
	en.down = down
	if down {
		en.stats.Crashes++
		en.end()
		return
	}
	en.reset()
}

// Restart drops all calls in progress and goes on without adapters.
func (en *Engine) Restart() {
	en.SetDown(true)
	en.SetDown(false)
}

// Crash takes the engine away for its restart time.
func (en *Engine) Crash() {
	en.SetDown(true)
	time.AfterFunc(en.options.RestartTime, func() { en.SetDown(false) })
}

func (en *Engine) poisoned(prompt string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.faults.poison != "" && strings.Contains(prompt, en.faults.poison)
}
