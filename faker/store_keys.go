package faker

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// keyOf returns the key in a request's path.
func keyOf(rq *http.Request) string { return strings.TrimPrefix(rq.URL.Path, "/v1/kv/") }

func (st *Store) getKey(wr http.ResponseWriter, rq *http.Request) {
	key, query := keyOf(rq), rq.URL.Query()
	recurse := query.Has("recurse") || query.Has("keys")
	if !st.await(rq, key, recurse) {
		panic(http.ErrAbortHandler)
	}
	var found []*Entry
	var index uint64
	st.read(func(ks *keyspace) {
		index = ks.indexOf(key, recurse)
		if recurse {
			found = ks.list(key)
		} else if entry := ks.get(key); entry != nil {
			found = []*Entry{entry}
		}
	})
	wr.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	wr.Header().Set("X-Consul-KnownLeader", "true")
	wr.Header().Set("X-Consul-LastContact", "0")
	switch {
	case len(found) == 0:
		wr.WriteHeader(http.StatusNotFound)
	case query.Has("raw"):
		_, _ = wr.Write(found[0].Value)
	case query.Has("keys"):
		names := make([]string, 0, len(found))
		for _, entry := range found {
			names = append(names, entry.Key)
		}
		writeJSON(wr, http.StatusOK, names)
	default:
		writeJSON(wr, http.StatusOK, found)
	}
}

func (st *Store) putKey(wr http.ResponseWriter, rq *http.Request) {
	value, err := io.ReadAll(io.LimitReader(rq.Body, maxValueBytes+1))
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > maxValueBytes {
		http.Error(wr, "Value exceeds the limit", http.StatusRequestEntityTooLarge)
		return
	}
	key, query := keyOf(rq), rq.URL.Query()
	flags, _ := strconv.ParseUint(query.Get("flags"), 10, 64)
	if key == "" {
		http.Error(wr, "Missing key name", http.StatusBadRequest)
		return
	}
	if acquire := query.Get("acquire"); acquire != "" && !st.sessionExists(acquire) {
		http.Error(wr, "invalid session "+strconv.Quote(acquire), http.StatusInternalServerError)
		return
	}
	done := st.change(func(ks *keyspace) bool { return st.applyPut(ks, key, value, flags, query) })
	writeJSON(wr, http.StatusOK, done)
}

// applyPut applies a PUT according to its query parameters and reports whether it succeeded. The caller holds the lock.
func (st *Store) applyPut(ks *keyspace, key string, value []byte, flags uint64, query url.Values) bool {
	switch {
	case query.Has("cas"):
		index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil || !ks.matchesIndex(key, index) {
			return false
		}
		ks.set(key, value, flags)
		return true
	case query.Has("acquire"):
		if st.lockDelayed(key) {
			return false
		}
		_, done := ks.acquire(key, query.Get("acquire"), value, flags)
		return done
	case query.Has("release"):
		_, done := ks.release(key, query.Get("release"), value, flags)
		return done
	default:
		ks.set(key, value, flags)
		return true
	}
}

func (st *Store) deleteKey(wr http.ResponseWriter, rq *http.Request) {
	key, query := keyOf(rq), rq.URL.Query()
	done := st.change(func(ks *keyspace) bool {
		switch {
		case query.Has("recurse"):
			for _, entry := range ks.list(key) {
				ks.remove(entry.Key)
			}
		case query.Has("cas"):
			index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
			if err != nil || index == 0 || (ks.get(key) != nil && !ks.matchesIndex(key, index)) {
				return false
			}
			ks.remove(key)
		default:
			ks.remove(key)
		}
		return true
	})
	writeJSON(wr, http.StatusOK, done)
}
