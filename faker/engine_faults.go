package faker

import (
	"strings"
	"time"
)

// engineFaults holds the active faults of an engine.
type engineFaults struct {
	silent       bool
	wrongVersion bool
	// failingLoads is the number of further loads that fail; negative for all.
	failingLoads int
	poison       string
}

// consumeLoadFailure reports whether the next load fails, and decrements a positive failingLoads.
func (ef *engineFaults) consumeLoadFailure() bool {
	if ef.failingLoads > 0 {
		ef.failingLoads--
		return true
	}
	return ef.failingLoads < 0
}

// EngineStats holds the counters of an engine, including violations of its rules by callers.
type EngineStats struct {
	Requests int `json:"requests"`
	Finished int `json:"finished"`
	Tokens   int `json:"tokens"`
	// Steps is the number of batch steps; Tokens divided by Steps is the mean batch size.
	Steps       float64 `json:"steps"`
	Loads       int     `json:"loads"`
	FailedLoads int     `json:"failed-loads"`
	// FullLoads is the number of loads that were refused because no slot was free.
	FullLoads int `json:"full-loads"`
	Unloads   int `json:"unloads"`
	// EvictionsInUse is the number of unloads of adapters that were in use by a request.
	EvictionsInUse int `json:"evictions-in-use"`
	// NotLoaded is the number of requests for an adapter that was not loaded.
	NotLoaded int `json:"not-loaded"`
	// OldOrders is the number of orders with an old fencing number, refused or not.
	OldOrders int `json:"old-orders"`
	// KeysSeen is the number of calls that carried a caller's API key, which must not be forwarded to a target.
	KeysSeen int `json:"keys-seen"`
	Crashes  int `json:"crashes"`
}

// Stats returns a copy of the counters.
func (en *Engine) Stats() EngineStats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.stats
}

// SetSilent sets whether the engine accepts calls without ever responding.
func (en *Engine) SetSilent(silent bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.silent = silent
}

// SetWrongVersion sets whether responses report a different version than the requested one.
func (en *Engine) SetWrongVersion(wrong bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.wrongVersion = wrong
}

// SetFailingLoads sets the number of further loads that fail; a negative number makes all loads fail.
func (en *Engine) SetFailingLoads(count int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.failingLoads = count
}

// SetPoison sets the text that makes a prompt containing it crash the engine; empty for none.
func (en *Engine) SetPoison(text string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults.poison = text
}

// SetReportLag sets the age of load reports.
func (en *Engine) SetReportLag(lag time.Duration) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.options.ReportLag = lag
}

// SetDown stops the engine, which drops all calls in progress and new ones, or starts it again without adapters.
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
		en.cancelBoot()
		return
	}
	en.reset()
}

// Restart drops all calls in progress and starts the engine again without adapters.
func (en *Engine) Restart() {
	en.SetDown(true)
	en.SetDown(false)
}

// Crash stops the engine for its restart time.
func (en *Engine) Crash() {
	en.SetDown(true)
	time.AfterFunc(en.options.RestartTime, func() { en.SetDown(false) })
}

func (en *Engine) poisoned(prompt string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.faults.poison != "" && strings.Contains(prompt, en.faults.poison)
}
