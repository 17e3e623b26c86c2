package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// reportLag is how old what a target reports is.
const reportLag = 200 * time.Millisecond

type report struct {
	Models       []resident `json:"models"`
	Seq          int64      `json:"seq"`
	PendingLoads []string   `json:"pendingLoads"`
	KVTotal      int        `json:"kvTotal"`
}

// dated is a report and when it was true.
type dated struct {
	at     time.Time
	report report
}

// record notes what the target is now; the lock is held, or nobody else knows it yet.
func (ta *Target) record() {
	held := resident{Name: Model, Version: 1, Adapters: []string{}}
	for name, version := range ta.adapters {
		held.Adapters = append(held.Adapters, name+"@"+strconv.FormatInt(version, 10))
	}
	re := report{Models: []resident{held}, Seq: ta.orders, PendingLoads: []string{}, KVTotal: 1000}
	for name, version := range ta.pending {
		re.PendingLoads = append(re.PendingLoads, Model+"/"+name+"@"+strconv.FormatInt(version, 10))
	}
	ta.most = max(ta.most, len(ta.adapters)+len(ta.pending))
	ta.reports = append(ta.reports, dated{at: time.Now(), report: re})
	for len(ta.reports) > 1 && time.Since(ta.reports[1].at) > reportLag {
		ta.reports = ta.reports[1:]
	}
}

// report tells what the target was some time ago.
func (ta *Target) report(w http.ResponseWriter) {
	ta.mu.Lock()
	re := ta.reports[0].report
	for _, da := range ta.reports {
		if time.Since(da.at) >= reportLag {
			re = da.report
		}
	}
	ta.mu.Unlock()
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
		ta.takeEffect(od)
		delete(ta.adapters, od.Adapter)
		ta.pending[od.Adapter] = max(od.Version, 1)
		ta.record()
		time.AfterFunc(adapterLoad, func() { ta.loaded(od.Adapter) })
		w.WriteHeader(http.StatusAccepted)
	case held && ta.running[od.Adapter] > 0:
		ta.takeEffect(od)
		ta.draining = od.Adapter
		ta.record()
		w.WriteHeader(http.StatusAccepted)
	case held:
		ta.takeEffect(od)
		delete(ta.adapters, od.Adapter)
		ta.record()
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// takeEffect counts an order that changes the target; the lock is held.
func (ta *Target) takeEffect(od order) {
	ta.orders++
	if od.Fence < ta.epoch {
		ta.stale++
	}
	ta.epoch = max(ta.epoch, od.Fence)
}

// StaleOrders is the number of orders of a superseded holder that took effect after one of a later holder had.
func (ta *Target) StaleOrders() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.stale
}

func (ta *Target) loaded(name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.adapters[name] = ta.pending[name]
	delete(ta.pending, name)
	ta.record()
}

// begin counts a request on an adapter, or answers it: the adapter is not there in that version, or about to go.
func (ta *Target) begin(w http.ResponseWriter, adapter, expected string) bool {
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

// end counts a request as over; the last one of an adapter that is to go takes it along.
func (ta *Target) end(adapter string) {
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
		ta.record()
	}
}
