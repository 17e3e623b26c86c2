package faker

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// storeFaults decides what happens to a call before and after the store has it.
type storeFaults struct {
	mu      sync.Mutex
	latency time.Duration
	// rate is the calls a second, with allowance the calls that may come at this moment.
	rate      float64
	allowance float64
	refilled  time.Time
	away      bool
	lost      int
	cut       map[string]bool
	stats     StoreStats
}

// StoreStats counts the calls that the store got.
type StoreStats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused is the calls over the rate.
	Refused int `json:"refused"`
	// Lost is the writes whose answer was lost.
	Lost int `json:"lost"`
}

func newStoreFaults(options StoreOptions) *storeFaults {
	return &storeFaults{
		latency: options.Latency, rate: options.Rate, allowance: options.Rate, refilled: time.Now(),
		cut: map[string]bool{},
	}
}

// verdict is what becomes of one call.
type verdict struct {
	delay   time.Duration
	refused bool
	away    bool
	lost    bool
}

// judge counts a call and decides what becomes of it.
func (sf *storeFaults) judge(rq *http.Request) verdict {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	source, _, _ := net.SplitHostPort(rq.RemoteAddr)
	ve := verdict{delay: sf.latency, away: sf.away || sf.cut[source]}
	if ve.away {
		return ve
	}
	write := rq.Method != http.MethodGet
	if write {
		sf.stats.Writes++
	} else {
		sf.stats.Reads++
	}
	if sf.rate > 0 {
		now := time.Now()
		sf.allowance = min(sf.rate, sf.allowance+sf.rate*now.Sub(sf.refilled).Seconds())
		sf.refilled = now
		if sf.allowance < 1 {
			sf.stats.Refused++
			ve.refused = true
			return ve
		}
		sf.allowance--
	}
	if write && sf.lost > 0 {
		sf.lost--
		sf.stats.Lost++
		ve.lost = true
	}
	return ve
}

// serve passes a call on, or does to it what the faults say.
func (sf *storeFaults) serve(wr http.ResponseWriter, rq *http.Request, next http.Handler) {
	ve := sf.judge(rq)
	if err := sleep(rq.Context(), ve.delay); err != nil {
		return
	}
	switch {
	case ve.away:
		http.Error(wr, "No cluster leader", http.StatusInternalServerError)
	case ve.refused:
		http.Error(wr, "Your IP is issuing too many concurrent connections, please rate limit your calls",
			http.StatusTooManyRequests)
	case ve.lost:
		next.ServeHTTP(httptest.NewRecorder(), rq)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(wr, rq)
	}
}

// SetUnavailable switches an outage: every call is answered with 500, waiting ones too.
func (st *Store) SetUnavailable(away bool) {
	st.faults.mu.Lock()
	st.faults.away = away
	st.faults.mu.Unlock()
	if away {
		st.dropWaiting()
	}
}

// SetRate changes the calls a second that the store takes; 0 for no limit.
func (st *Store) SetRate(rate float64) {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	st.faults.rate, st.faults.allowance, st.faults.refilled = rate, rate, time.Now()
}

// SetLatency changes the time that is added to each call.
func (st *Store) SetLatency(latency time.Duration) {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	st.faults.latency = latency
}

// LoseAnswers makes the next writes take effect and lose their answer.
func (st *Store) LoseAnswers(count int) {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	st.faults.lost = count
}

// SetCutOff cuts off the callers with an IP address, or ends that.
func (st *Store) SetCutOff(source string, cut bool) {
	st.faults.mu.Lock()
	st.faults.cut[source] = cut
	st.faults.mu.Unlock()
	if cut {
		st.dropWaiting()
	}
}

// SetStale makes reads see the data of now until it is switched off.
func (st *Store) SetStale(stale bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.frozen = nil
	if stale {
		st.frozen = st.keys.snapshot()
	}
	st.wake()
}

// Stats returns the counts so far.
func (st *Store) Stats() StoreStats {
	st.faults.mu.Lock()
	defer st.faults.mu.Unlock()
	return st.faults.stats
}
