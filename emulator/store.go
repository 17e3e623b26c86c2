// Package emulator emulates the users' platform over loopback: the store, the targets and the operator, with the faults that
// tests inject. It follows the platform's documentation and shares no code with the platform.
package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// watchPollInterval is the interval at which a waiting watch checks for events.
	watchPollInterval = 20 * time.Millisecond
	// leaseSweepInterval is the interval between two checks for expired leases.
	leaseSweepInterval = 50 * time.Millisecond
	// leaseIDBase is one less than the ID of the first lease. It is large because the platform's lease IDs use all of their bits.
	leaseIDBase = 1 << 60
	// statusCut stands for an answer that breaks off after its head.
	statusCut = 0
)

// item is a key of the store with its value and metadata, or an event that changes the key.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// Store emulates the platform's key-value store with revisions, watches and leases.
type Store struct {
	mu       sync.Mutex
	revision int64
	// era is the number of store rollbacks.
	era          int64
	items        map[string]item
	history      []item
	historyStart int64
	leases       map[int64]lease
	lastLease    int64
	down         bool
	loseEvery    int
	calls        int
	// cuts counts the times at which all waiting watches were cut.
	cuts int
	done chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store and starts its lease expiry, which Close stops.
func NewStore() *Store {
	st := &Store{lastLease: leaseIDBase, items: make(map[string]item), leases: make(map[int64]lease), done: make(chan struct{})}
	go st.expireLeases()
	return st
}

// Close stops the lease expiry.
func (st *Store) Close() { close(st.done) }

// SetDown makes all calls fail with status 503, or restores normal service.
func (st *Store) SetDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
}

// LoseAnswers drops the response of every POST call whose number in the sequence of all calls is a multiple of nth; the call
// still takes effect. 0 turns the fault off.
func (st *Store) LoseAnswers(nth int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.loseEvery = nth
}

// CutWatches breaks the connections of all watches that wait, after the head of their answers.
func (st *Store) CutWatches() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.cuts++
}

// Compact drops the event history; watches that start at an older revision get status 410.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history, st.historyStart = nil, st.revision
}

// EndLeases ends all leases and removes their keys, as a long outage does.
func (st *Store) EndLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id := range st.leases {
		st.endLease(id)
	}
}

// Put writes a key without a lease, as the operator or a target does. It returns an error if the value cannot be encoded.
func (st *Store) Put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	st.PutBytes(key, text)
	return nil
}

// PutBytes writes any bytes to a key without a lease, as another writer may do.
func (st *Store) PutBytes(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.write(item{Key: key, Value: value, Revision: st.revision})
}

// Remove deletes a key from the store and adds the deletion to the history.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.write(item{Key: key, Revision: st.revision, Deleted: true})
}

func (st *Store) write(it item) {
	if it.Deleted {
		delete(st.items, it.Key)
	} else {
		it.CreatedRev = it.Revision
		if existing, ok := st.items[it.Key]; ok {
			it.CreatedRev = existing.CreatedRev
		}
		st.items[it.Key] = it
	}
	st.history = append(st.history, it)
}

func (st *Store) expireLeases() {
	ticker := time.NewTicker(leaseSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-st.done:
			return
		case now := <-ticker.C:
			st.expireLeasesAt(now)
		}
	}
}

func (st *Store) expireLeasesAt(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, le := range st.leases {
		if now.After(le.expires) {
			st.endLease(id)
		}
	}
}

func (st *Store) endLease(id int64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.revision++
			st.write(item{Key: key, Revision: st.revision, Deleted: true})
		}
	}
}

// ServeHTTP answers the calls of the store's HTTP API.
func (st *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	st.serve(w, r, func(it item) item { return it })
}

// serve answers a call with the items as the caller sees them.
func (st *Store) serve(w http.ResponseWriter, r *http.Request, view func(item) item) {
	st.mu.Lock()
	down := st.down
	st.calls++
	w.Header().Set("Store-Era", strconv.FormatInt(st.era+1, 10))
	loseAnswer := st.loseEvery > 0 && r.Method == http.MethodPost && st.calls%st.loseEvery == 0
	st.mu.Unlock()
	if down {
		http.Error(w, `{"error":"try later"}`, http.StatusServiceUnavailable)
		return
	}
	status, body := st.answer(r)
	if status == statusCut {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(viewed(body, view))
	}
}

func (st *Store) answer(r *http.Request) (int, any) {
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		return st.get(r.URL.Query().Get("key"))
	case path == "/-/kv-range":
		return st.list(r.URL.Query().Get("prefix"))
	case path == "/-/kv-watch":
		return st.watch(r)
	case path == "/-/kv-txn":
		return st.transact(r)
	case path == "/-/kv-lease":
		return st.grantLease(r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		return st.keepLease(strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		return st.revokeLease(strings.TrimPrefix(path, "/-/kv-lease-end/"))
	default:
		return http.StatusNotFound, nil
	}
}

// viewed returns an answer with its items as the caller sees them.
func viewed(body any, view func(item) item) any {
	switch answer := body.(type) {
	case item:
		return view(answer)
	case page:
		answer.Items, answer.Events = viewedItems(answer.Items, view), viewedItems(answer.Events, view)
		return answer
	default:
		return body
	}
}

func viewedItems(items []item, view func(item) item) []item {
	seen := make([]item, 0, len(items))
	for _, it := range items {
		seen = append(seen, view(it))
	}
	return seen
}

type page struct {
	Items   []item `json:"items,omitempty"`
	Events  []item `json:"events,omitempty"`
	HasMore bool   `json:"hasMore"`
	AtRev   int64  `json:"atRev"`
}

// get returns one key.
func (st *Store) get(key string) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, it
}

func (st *Store) list(prefix string) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	pa := page{AtRev: st.revision}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) {
			pa.Items = append(pa.Items, it)
		}
	}
	return http.StatusOK, pa
}

func (st *Store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		return http.StatusBadRequest, nil
	}
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	cuts := st.cutCount()
	for {
		pa, compacted := st.events(query.Get("prefix"), after)
		switch {
		case st.cutCount() != cuts:
			return statusCut, nil
		case compacted:
			return http.StatusGone, nil
		case len(pa.Events) > 0 || time.Now().After(until) || r.Context().Err() != nil:
			return http.StatusOK, pa
		}
		time.Sleep(watchPollInterval)
	}
}

func (st *Store) cutCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.cuts
}

func (st *Store) events(prefix string, after int64) (page, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	pa := page{AtRev: st.revision}
	if after < st.historyStart || after > st.revision {
		return pa, true
	}
	for _, it := range st.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			pa.Events = append(pa.Events, it)
		}
	}
	return pa, false
}

type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"puts"`
	Deletes  []string `json:"deletes"`
}

type transactionResult struct {
	Revision int64 `json:"revision"`
}

func (st *Store) transact(r *http.Request) (int, any) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, ex := range tx.Expected {
		if st.items[ex.Key].Revision != ex.Revision {
			return http.StatusPreconditionFailed, page{AtRev: st.revision}
		}
	}
	for _, it := range tx.Puts {
		if _, ok := st.leases[it.Lease]; it.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	st.revision++
	for _, it := range tx.Puts {
		it.Revision = st.revision
		st.write(it)
	}
	for _, key := range tx.Deletes {
		st.write(item{Key: key, Revision: st.revision, Deleted: true})
	}
	return http.StatusOK, transactionResult{Revision: st.revision}
}

type leaseGrant struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

func (st *Store) grantLease(r *http.Request) (int, any) {
	var rq leaseGrant
	if err := json.NewDecoder(r.Body).Decode(&rq); err != nil {
		return http.StatusBadRequest, nil
	}
	ttl := time.Duration(rq.TTLMs) * time.Millisecond
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLease++
	st.leases[st.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, leaseGrant{Lease: st.lastLease, TTLMs: rq.TTLMs}
}

func (st *Store) keepLease(text string) (int, any) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	le, ok := st.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	le.expires = time.Now().Add(le.ttl)
	st.leases[id] = le
	return http.StatusOK, leaseGrant{TTLMs: le.ttl.Milliseconds()}
}

func (st *Store) revokeLease(text string) (int, any) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.leases[id]; !ok {
		return http.StatusNotFound, nil
	}
	st.endLease(id)
	return http.StatusOK, nil
}
