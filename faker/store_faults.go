package faker

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// storeFaults applies the active faults to calls before and after the store handles them, and counts the calls.
type storeFaults struct {
	mu      sync.Mutex
	latency time.Duration
	// rate is the limit in calls per second; tokens is the number of calls that the token bucket allows at refilled.
	rate          float64
	tokens        float64
	refilled      time.Time
	unavailable   bool
	answersToLose int
	cutOff        map[string]bool
	stats         StoreStats
}

// StoreStats holds the counters of the store. Calls during an outage are not counted.
type StoreStats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused is the number of calls over the rate limit.
	Refused int `json:"refused"`
	// Lost is the number of writes whose response was dropped.
	Lost int `json:"lost"`
}

func newStoreFaults(options StoreOptions) *storeFaults {
	return &storeFaults{
		latency: options.Latency, rate: options.Rate, tokens: options.Rate, refilled: time.Now(),
		cutOff: map[string]bool{},
	}
}

// faultDecision holds the faults that apply to one call.
type faultDecision struct {
	delay       time.Duration
	refused     bool
	unavailable bool
	loseAnswer  bool
}

// evaluate counts a call and decides which faults apply to it.
func (sf *storeFaults) evaluate(rq *http.Request) faultDecision {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	source, _, _ := net.SplitHostPort(rq.RemoteAddr)
	fd := faultDecision{delay: sf.latency, unavailable: sf.unavailable || sf.cutOff[source]}
	if fd.unavailable {
		return fd
	}
	write := rq.Method != http.MethodGet
	if write {
		sf.stats.Writes++
	} else {
		sf.stats.Reads++
	}
	if sf.rate > 0 {
		now := time.Now()
		sf.tokens = min(sf.rate, sf.tokens+sf.rate*now.Sub(sf.refilled).Seconds())
		sf.refilled = now
		if sf.tokens < 1 {
			sf.stats.Refused++
			fd.refused = true
			return fd
		}
		sf.tokens--
	}
	if write && sf.answersToLose > 0 {
		sf.answersToLose--
		sf.stats.Lost++
		fd.loseAnswer = true
	}
	return fd
}

// serve delays a call and then passes it to the next handler, unless a fault prevents that or its response.
func (sf *storeFaults) serve(wr http.ResponseWriter, rq *http.Request, next http.Handler) {
	fd := sf.evaluate(rq)
	if err := sleep(rq.Context(), fd.delay); err != nil {
		return
	}
	switch {
	case fd.unavailable:
		http.Error(wr, "No cluster leader", http.StatusInternalServerError)
	case fd.refused:
		http.Error(wr, "Your IP is issuing too many concurrent connections, please rate limit your calls",
			http.StatusTooManyRequests)
	case fd.loseAnswer:
		next.ServeHTTP(httptest.NewRecorder(), rq)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(wr, rq)
	}
}

// SetUnavailable starts or ends an outage. During an outage every call gets status 500. Blocking queries in progress are
// dropped without a response.
func (st *Store) SetUnavailable(unavailable bool) {
	st.faults.mu.Lock()
	st.faults.unavailable = unavailable
	st.faults.mu.Unlock()
	if unavailable {
		st.abortWaiting()
	}
}

// SetRate sets the rate limit in calls per second; 0 for no limit.
func (st *Store) SetRate(rate float64) {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	st.faults.rate, st.faults.tokens, st.faults.refilled = rate, rate, time.Now()
}

// SetLatency sets the time that is added to each call.
func (st *Store) SetLatency(latency time.Duration) {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	st.faults.latency = latency
}

// LoseAnswers makes the next count writes take effect without a response.
func (st *Store) LoseAnswers(count int) {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	st.faults.answersToLose = count
}

// SetCutOff starts or ends an outage for callers from one IP address. At the start, the blocking queries of all callers
// are dropped.
func (st *Store) SetCutOff(source string, cut bool) {
	st.faults.mu.Lock()
	st.faults.cutOff[source] = cut
	st.faults.mu.Unlock()
	if cut {
		st.abortWaiting()
	}
}

// SetStale starts or ends stale reads. While they are on, reads return a snapshot of the data at the start.
func (st *Store) SetStale(stale bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.frozen = nil
	if stale {
		st.frozen = st.keys.snapshot()
	}
	st.notifyChange()
}

// Stats returns a copy of the counters.
func (st *Store) Stats() StoreStats {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	return st.faults.stats
}
