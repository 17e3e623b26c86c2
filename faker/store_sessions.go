package faker

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// defaultLockDelay is Consul's default for the time that a key can't be locked again after its holder's session
// expired.
const defaultLockDelay = 15 * time.Second

// maxLockDelay is Consul's maximum lock delay.
const maxLockDelay = time.Minute

// What happens to a session's locked keys when the session ends.
const (
	behaviorRelease = "release"
	behaviorDelete  = "delete"
)

// session is a session of the store, which holds locks. Consul requires a TTL of at least 10 seconds and may keep a
// session for up to twice its TTL. The fake accepts any TTL and ends a session as soon as the TTL has passed.
type session struct {
	id        string
	name      string
	ttl       time.Duration
	behavior  string
	lockDelay time.Duration
	expires   time.Time
	created   uint64
}

// sessionMessage is a session in the format of Consul's HTTP API.
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

// newUUID returns a random identifier in Consul's format.
func newUUID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return fmt.Sprintf("%x-%x-%x-%x-%x", raw[:4], raw[4:6], raw[6:8], raw[8:10], raw[10:])
}

// parseLockDelay parses a lock delay as Consul does: a duration string, or a number, which is in seconds when it is
// small and in nanoseconds otherwise.
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

// expireSessions ends the sessions whose TTL has passed. The caller holds the lock.
func (st *Store) expireSessions() {
	now := time.Now()
	for _, se := range st.sessions {
		if se.ttl > 0 && now.After(se.expires) {
			st.endSession(se)
		}
	}
}

// endSession removes a session and releases or deletes the keys that it has locked. As in Consul, the lock delay
// applies to expired sessions and to destroyed ones. The caller holds the lock.
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

// lockDelayed reports whether a key can't be locked yet because of a lock delay. The caller holds the lock.
func (st *Store) lockDelayed(key string) bool {
	until, found := st.lockDelays[key]
	if found && time.Now().After(until) {
		delete(st.lockDelays, key)
		return false
	}
	return found
}

// nextExpiry returns a channel that fires after the next session expires, or nil if no session can expire. The caller
// holds the lock, and must call stop.
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
