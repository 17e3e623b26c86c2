package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// reportLag is the age of the state in a target's report.
const reportLag = 200 * time.Millisecond

type report struct {
	Models       []loadedModel `json:"models"`
	Born         int64         `json:"born"`
	Seq          int64         `json:"seq"`
	PendingLoads []string      `json:"pendingLoads"`
	KVTotal      int           `json:"kvTotal"`
	KVUsed       int           `json:"kvUsed"`
}

// recordedReport is a report with the time at which it was recorded.
type recordedReport struct {
	at     time.Time
	report report
}

// recordReport appends a report of the current state. The caller holds the lock, or is the only user of a new target.
func (ta *Target) recordReport() {
	held := loadedModel{Name: Model, Version: 1, Adapters: []string{}}
	for name, version := range ta.adapters {
		held.Adapters = append(held.Adapters, name+"@"+strconv.FormatInt(version, 10))
	}
	re := report{Models: []loadedModel{held}, Seq: ta.orders, PendingLoads: []string{}, KVTotal: ta.memory.kvTotal(), KVUsed: ta.memory.held}
	for name, version := range ta.pending {
		re.PendingLoads = append(re.PendingLoads, Model+"/"+name+"@"+strconv.FormatInt(version, 10))
	}
	ta.maxAdapters = max(ta.maxAdapters, len(ta.adapters)+len(ta.pending))
	ta.reports = append(ta.reports, recordedReport{at: time.Now(), report: re})
	for len(ta.reports) > 1 && time.Since(ta.reports[1].at) > reportLag {
		ta.reports = ta.reports[1:]
	}
}

// report sends the target's state of reportLag ago, or the oldest recorded state.
func (ta *Target) report(w http.ResponseWriter) {
	ta.mu.Lock()
	re := ta.reports[0].report
	for _, da := range ta.reports {
		if time.Since(da.at) >= reportLag {
			re = da.report
		}
	}
	ta.mu.Unlock()
	re.Born = ta.startNumber
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(re)
}

type order struct {
	Op       string `json:"op"`
	Adapter  string `json:"adapter"`
	Version  int64  `json:"version"`
	Expected *int64 `json:"expected"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
}

func (ta *Target) order(w http.ResponseWriter, r *http.Request) {
	var od order
	if err := json.NewDecoder(r.Body).Decode(&od); err != nil || od.Holder == "" || od.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	_, held := ta.adapters[od.Adapter]
	_, pending := ta.pending[od.Adapter]
	switch {
	case od.Expected != nil && *od.Expected != ta.orders, ta.draining != "":
		w.WriteHeader(http.StatusConflict)
	case od.Op == "load" && pending:
		w.WriteHeader(http.StatusAccepted)
	case od.Op == "load" && held && ta.adapters[od.Adapter] >= od.Version:
		w.WriteHeader(http.StatusOK)
	case od.Op == "load":
		ta.countOrder(od)
		delete(ta.adapters, od.Adapter)
		ta.pending[od.Adapter] = max(od.Version, 1)
		ta.recordReport()
		time.AfterFunc(adapterLoadTime, func() { ta.finishLoad(od.Adapter) })
		w.WriteHeader(http.StatusAccepted)
	case held && ta.running[od.Adapter] > 0:
		ta.countOrder(od)
		ta.draining = od.Adapter
		ta.recordReport()
		w.WriteHeader(http.StatusAccepted)
	case held:
		ta.countOrder(od)
		delete(ta.adapters, od.Adapter)
		ta.recordReport()
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// countOrder counts an order that changes the target, and counts it as stale if its epoch is superseded. The caller holds the
// lock.
func (ta *Target) countOrder(od order) {
	ta.orders++
	if od.Fence < ta.epoch {
		ta.staleOrders++
	}
	ta.epoch = max(ta.epoch, od.Fence)
}

// StaleOrders returns the number of orders of a superseded holder that took effect after an order of a later holder.
func (ta *Target) StaleOrders() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.staleOrders
}

func (ta *Target) finishLoad(name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.adapters[name] = ta.pending[name]
	delete(ta.pending, name)
	ta.recordReport()
}

// beginRequest counts a request on an adapter. It refuses the request and returns false if the adapter is not loaded in the
// expected version or waits for its unload.
func (ta *Target) beginRequest(w http.ResponseWriter, adapter, expected string) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	version, held := ta.adapters[adapter]
	switch {
	case !held || expected != "" && expected != strconv.FormatInt(version, 10):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case ta.draining == adapter:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	ta.running[adapter]++
	return true
}

// endRequest counts a request as finished. The last request of a draining adapter completes the unload.
func (ta *Target) endRequest(adapter string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.running[adapter]--
	if ta.running[adapter] > 0 {
		return
	}
	delete(ta.running, adapter)
	if ta.draining == adapter {
		ta.draining = ""
		delete(ta.adapters, adapter)
		ta.recordReport()
	}
}
