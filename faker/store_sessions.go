package faker

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// defaultLockDelay is Consul's time for which a key can't be locked again after its holder's session lapsed.
const defaultLockDelay = 15 * time.Second

// maxLockDelay is Consul's longest lock delay.
const maxLockDelay = time.Minute

const (
	behaviorRelease = "release"
	behaviorDelete  = "delete"
)

// session is one lease of the store. Unlike Consul, which takes lifetimes from 10 seconds on and lets a session live
// up to twice as long, the stand-in takes any and ends a session as soon as it may.
type session struct {
	id        string
	name      string
	ttl       time.Duration
	behavior  string
	lockDelay time.Duration
	expires   time.Time
	created   uint64
}

// sessionMessage is a session in the shape of Consul's HTTP API.
type sessionMessage struct {
	ID          string `json:",omitempty"`
	Name        string
	TTL         string
	Behavior    string
	LockDelay   json.RawMessage `json:",omitempty"`
	CreateIndex uint64          `json:",omitempty"`
	ModifyIndex uint64          `json:",omitempty"`
}

func (se *session) message() []sessionMessage {
	return []sessionMessage{{
		ID: se.id, Name: se.name, TTL: se.ttl.String(), Behavior: se.behavior,
		CreateIndex: se.created, ModifyIndex: se.created,
	}}
}

// newUUID returns a random identifier in the form that Consul uses.
func newUUID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return fmt.Sprintf("%x-%x-%x-%x-%x", raw[:4], raw[4:6], raw[6:8], raw[8:10], raw[10:])
}

// parseLockDelay reads a delay as Consul does: a duration in quotes, or a number of nanoseconds, or seconds when small.
func parseLockDelay(raw json.RawMessage) (time.Duration, error) {
	if len(raw) == 0 {
		return defaultLockDelay, nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return time.ParseDuration(text)
	}
	var number float64
	if err := json.Unmarshal(raw, &number); err != nil {
		return 0, err
	}
	if number < float64(maxLockDelay/time.Microsecond) {
		return time.Duration(number * float64(time.Second)), nil
	}
	return time.Duration(number), nil
}

func (st *Store) createSession(wr http.ResponseWriter, rq *http.Request) {
	var message sessionMessage
	if rq.ContentLength != 0 {
		if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, maxValueBytes)).Decode(&message); err != nil {
			http.Error(wr, "Request decode failed: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	se := &session{id: newUUID(), name: message.Name, behavior: message.Behavior}
	if se.behavior == "" {
		se.behavior = behaviorRelease
	}
	if se.behavior != behaviorRelease && se.behavior != behaviorDelete {
		http.Error(wr, "Invalid Behavior setting", http.StatusBadRequest)
		return
	}
	var err error
	if se.lockDelay, err = parseLockDelay(message.LockDelay); err != nil {
		http.Error(wr, "Invalid LockDelay", http.StatusBadRequest)
		return
	}
	if message.TTL != "" {
		if se.ttl, err = time.ParseDuration(message.TTL); err != nil {
			http.Error(wr, "Invalid TTL", http.StatusBadRequest)
			return
		}
	}
	st.mu.Lock()
	st.keys.index++
	se.created, se.expires = st.keys.index, time.Now().Add(se.ttl)
	st.sessions[se.id] = se
	st.mu.Unlock()
	writeJSON(wr, http.StatusOK, struct{ ID string }{se.id})
}

func (st *Store) renewSession(wr http.ResponseWriter, rq *http.Request) {
	id := chi.URLParam(rq, "id")
	st.mu.Lock()
	st.expireSessions()
	se := st.sessions[id]
	if se != nil {
		se.expires = time.Now().Add(se.ttl)
	}
	st.mu.Unlock()
	if se == nil {
		http.Error(wr, "Session id '"+id+"' not found", http.StatusNotFound)
		return
	}
	writeJSON(wr, http.StatusOK, se.message())
}

func (st *Store) sessionInfo(wr http.ResponseWriter, rq *http.Request) {
	id := chi.URLParam(rq, "id")
	st.mu.Lock()
	st.expireSessions()
	se := st.sessions[id]
	st.mu.Unlock()
	if se == nil {
		writeJSON(wr, http.StatusOK, []sessionMessage{})
		return
	}
	writeJSON(wr, http.StatusOK, se.message())
}

func (st *Store) destroySession(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	if se := st.sessions[chi.URLParam(rq, "id")]; se != nil {
		st.endSession(se)
	}
	st.mu.Unlock()
	writeJSON(wr, http.StatusOK, true)
}

func (st *Store) sessionExists(id string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireSessions()
	return st.sessions[id] != nil
}

// expireSessions ends the sessions whose time is over; the caller locks.
func (st *Store) expireSessions() {
	now := time.Now()
	for _, se := range st.sessions {
		if se.ttl > 0 && now.After(se.expires) {
			st.endSession(se)
		}
	}
}

// endSession frees or deletes what a session has locked; the caller locks. As in Consul, the lock delay holds for
// sessions that lapsed and for those that were destroyed.
func (st *Store) endSession(se *session) {
	delete(st.sessions, se.id)
	st.keys.begin()
	for _, key := range st.keys.expire(se.id, se.behavior == behaviorDelete) {
		if se.lockDelay > 0 {
			st.lockDelays[key] = time.Now().Add(se.lockDelay)
		}
	}
	if st.keys.commit() {
		st.notifyChange()
	}
}

// lockDelayed tells whether a key can't be locked yet; the caller locks.
func (st *Store) lockDelayed(key string) bool {
	until, found := st.lockDelays[key]
	if found && time.Now().After(until) {
		delete(st.lockDelays, key)
		return false
	}
	return found
}

// nextExpiry returns a channel that fires when the next session may lapse; the caller locks and calls stop.
func (st *Store) nextExpiry() (fires <-chan time.Time, stop func()) {
	var next time.Time
	for _, se := range st.sessions {
		if se.ttl > 0 && (next.IsZero() || se.expires.Before(next)) {
			next = se.expires
		}
	}
	if next.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(next) + time.Millisecond)
	return timer.C, func() { timer.Stop() }
}
