package faker

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxValueBytes is the largest value that the store takes.
const maxValueBytes = 1 << 20

// Consul's bounds on blocking queries.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// StoreOptions describes a store.
type StoreOptions struct {
	// Rate is the calls that the store takes a second; 0 for no limit. More are answered with 429.
	Rate float64
	// Latency is added to each call.
	Latency time.Duration
}

// Store stands in for the platform's key-value service and speaks Consul's HTTP API: keys with compare-and-swap,
// locks and blocking queries, transactions and sessions.
type Store struct {
	router http.Handler
	faults *storeFaults

	mu       sync.Mutex
	keys     *keyspace
	sessions map[string]*session
	// frozen is what reads see while stale reads are switched on.
	frozen *keyspace
	// lockDelays tells until when a key can't be locked again after its holder's session ended.
	lockDelays map[string]time.Time
	// changed is closed at the next change of any key.
	changed chan struct{}
	// aborted is closed when an outage ends the blocked queries of now.
	aborted chan struct{}
}

// NewStore makes an empty store.
func NewStore(options StoreOptions) *Store {
	st := &Store{
		faults: newStoreFaults(options), keys: newKeyspace(), sessions: map[string]*session{},
		lockDelays: map[string]time.Time{}, changed: make(chan struct{}), aborted: make(chan struct{}),
	}
	ro := chi.NewRouter()
	ro.Get("/v1/kv/*", st.getKey)
	ro.Put("/v1/kv/*", st.putKey)
	ro.Delete("/v1/kv/*", st.deleteKey)
	ro.Put("/v1/txn", st.transact)
	ro.Put("/v1/session/create", st.createSession)
	ro.Put("/v1/session/renew/{id}", st.renewSession)
	ro.Put("/v1/session/destroy/{id}", st.destroySession)
	ro.Get("/v1/session/info/{id}", st.sessionInfo)
	ro.Get("/v1/status/leader", func(wr http.ResponseWriter, _ *http.Request) {
		writeJSON(wr, http.StatusOK, "127.0.0.1:8300")
	})
	st.router = ro
	return st
}

// ServeHTTP answers one call, or lets a fault that is switched on have it.
func (st *Store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	st.faults.serve(wr, rq, st.router)
}

// change runs a change under the lock, wakes blocking queries if it did something, and returns what the change
// returned. A change that returns false is undone.
func (st *Store) change(apply func(ks *keyspace) bool) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireSessions()
	st.keys.begin()
	if !apply(st.keys) {
		st.keys.rollback()
		return false
	}
	if st.keys.commit() {
		st.notifyChange()
	}
	return true
}

func (st *Store) notifyChange() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// read runs a read under the lock.
func (st *Store) read(look func(ks *keyspace)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireSessions()
	look(st.visible())
}

// visible returns the data that reads see: a frozen copy when stale reads are switched on. The caller locks.
func (st *Store) visible() *keyspace {
	if st.frozen != nil {
		return st.frozen
	}
	return st.keys
}

// abortWaiting ends blocked queries without an answer.
func (st *Store) abortWaiting() {
	st.mu.Lock()
	defer st.mu.Unlock()
	close(st.aborted)
	st.aborted = make(chan struct{})
}

// await blocks a query with an index until the key or prefix has changed since, or its wait is over. It is false when
// the query is to be dropped.
func (st *Store) await(rq *http.Request, key string, recurse bool) bool {
	seen, _ := strconv.ParseUint(rq.URL.Query().Get("index"), 10, 64)
	if seen == 0 {
		return true
	}
	wait := defaultWait
	if given, err := time.ParseDuration(rq.URL.Query().Get("wait")); err == nil {
		wait = min(given, maxWait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		st.mu.Lock()
		st.expireSessions()
		current := st.visible().indexOf(key, recurse)
		changed, dropped := st.changed, st.aborted
		expiry, stop := st.nextExpiry()
		st.mu.Unlock()
		if current > seen {
			stop()
			return true
		}
		select {
		case <-changed:
		case <-expiry:
		case <-timer.C:
			stop()
			return true
		case <-dropped:
			stop()
			return false
		case <-rq.Context().Done():
			stop()
			return false
		}
		stop()
	}
}
