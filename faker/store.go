package faker

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxValueBytes is the maximum size of a value in the store.
const maxValueBytes = 1 << 20

// Consul's default and maximum wait of blocking queries.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// StoreOptions configures a Store.
type StoreOptions struct {
	// Rate is the rate limit in calls per second; 0 for no limit. Calls over the limit get status 429.
	Rate float64
	// Latency is added to each call.
	Latency time.Duration
}

// Store is a fake of the platform's key-value service that implements Consul's HTTP API: keys with compare-and-swap,
// locks and blocking queries, transactions and sessions.
type Store struct {
	router http.Handler
	faults *storeFaults

	mu       sync.Mutex
	keys     *keyspace
	sessions map[string]*session
	// frozen is the snapshot that reads return while stale reads are on, otherwise nil.
	frozen *keyspace
	// lockDelays holds, by key, the time until which the key can't be locked again after its holder's session ended.
	lockDelays map[string]time.Time
	// changed is closed at the next change of any key.
	changed chan struct{}
	// aborted is closed when an outage aborts the current blocking queries.
	aborted chan struct{}
}

// NewStore returns an empty store.
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

// ServeHTTP serves one call, subject to the active faults.
func (st *Store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	st.faults.serve(wr, rq, st.router)
}

// change runs apply under the lock and returns its result. If apply returns false, its changes are rolled back;
// otherwise blocking queries are notified if anything has changed.
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

// notifyChange wakes all blocking queries. The caller holds the lock.
func (st *Store) notifyChange() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// read runs view on the visible data under the lock.
func (st *Store) read(view func(ks *keyspace)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireSessions()
	view(st.visible())
}

// visible returns the data that reads see, which is the frozen snapshot while stale reads are on. The caller holds the
// lock.
func (st *Store) visible() *keyspace {
	if st.frozen != nil {
		return st.frozen
	}
	return st.keys
}

// abortWaiting ends all blocking queries without a response.
func (st *Store) abortWaiting() {
	st.mu.Lock()
	defer st.mu.Unlock()
	close(st.aborted)
	st.aborted = make(chan struct{})
}

// await blocks a query with an index until the key or prefix has changed since that index or the wait has passed. It
// returns false when the query's connection is to be dropped without a response.
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
		changed, aborted := st.changed, st.aborted
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
		case <-aborted:
			stop()
			return false
		case <-rq.Context().Done():
			stop()
			return false
		}
		stop()
	}
}
