package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// maxOperations is the maximum number of operations in a transaction.
const maxOperations = 64

// maxTransactionBytes is the maximum size of a transaction's body. It allows for a value of maximum size in base64 and
// the remaining fields.
const maxTransactionBytes = 4 * maxValueBytes

// operation is one operation of a transaction in the format of Consul's HTTP API.
type operation struct {
	KV *keyOperation
}

type keyOperation struct {
	Verb    string
	Key     string
	Value   []byte
	Flags   uint64
	Index   uint64
	Session string
}

type operationResult struct {
	KV *Entry
}

type operationError struct {
	OpIndex int
	What    string
}

type transactionAnswer struct {
	Results []operationResult
	Errors  []operationError
}

func (st *Store) transact(wr http.ResponseWriter, rq *http.Request) {
	var operations []operation
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, maxTransactionBytes)).Decode(&operations); err != nil {
		http.Error(wr, "Failed to parse body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(operations) > maxOperations {
		http.Error(wr, fmt.Sprintf("Transaction contains too many operations (%d > %d)", len(operations), maxOperations),
			http.StatusRequestEntityTooLarge)
		return
	}
	for _, op := range operations {
		if op.KV == nil || len(op.KV.Value) > maxValueBytes {
			http.Error(wr, "Bad operation, or value exceeds the limit", http.StatusBadRequest)
			return
		}
	}
	var answer transactionAnswer
	st.change(func(ks *keyspace) bool {
		for index, op := range operations {
			entries, what := st.applyOperation(ks, op.KV)
			if what != "" {
				answer.Errors = append(answer.Errors, operationError{index, what})
				continue
			}
			for _, entry := range entries {
				answer.Results = append(answer.Results, operationResult{entry})
			}
		}
		return len(answer.Errors) == 0
	})
	if len(answer.Errors) > 0 {
		answer.Results = nil
		writeJSON(wr, http.StatusConflict, answer)
		return
	}
	writeJSON(wr, http.StatusOK, answer)
}

// applyOperation applies one operation and returns the entries of its result, or the reason for its failure.
func (st *Store) applyOperation(ks *keyspace, op *keyOperation) (entries []*Entry, failure string) {
	switch op.Verb {
	case "get":
		if entry := ks.get(op.Key); entry != nil {
			return []*Entry{entry}, ""
		}
		return nil, fmt.Sprintf("key %q doesn't exist", op.Key)
	case "get-tree":
		return ks.list(op.Key), ""
	case "check-index":
		if entry := ks.get(op.Key); entry == nil || entry.ModifyIndex != op.Index {
			return nil, fmt.Sprintf("current modify index for %q does not match %d", op.Key, op.Index)
		}
		return []*Entry{withoutValue(ks.get(op.Key))}, ""
	case "check-not-exists":
		if ks.get(op.Key) != nil {
			return nil, fmt.Sprintf("key %q exists", op.Key)
		}
		return nil, ""
	case "check-session":
		if entry := ks.get(op.Key); entry == nil || entry.Session != op.Session {
			return nil, fmt.Sprintf("failed session check for key %q", op.Key)
		}
		return []*Entry{withoutValue(ks.get(op.Key))}, ""
	default:
		return st.applyChange(ks, op)
	}
}

// applyChange applies one operation that changes keys.
func (st *Store) applyChange(ks *keyspace, op *keyOperation) (entries []*Entry, failure string) {
	switch op.Verb {
	case "set":
		return []*Entry{withoutValue(ks.set(op.Key, op.Value, op.Flags))}, ""
	case "cas":
		if !ks.matchesIndex(op.Key, op.Index) {
			return nil, fmt.Sprintf("failed to set key %q, index is stale", op.Key)
		}
		return []*Entry{withoutValue(ks.set(op.Key, op.Value, op.Flags))}, ""
	case "lock":
		if st.sessions[op.Session] == nil {
			return nil, fmt.Sprintf("invalid session %q", op.Session)
		}
		entry, done := ks.acquire(op.Key, op.Session, op.Value, op.Flags)
		if !done || st.lockDelayed(op.Key) {
			return nil, fmt.Sprintf("failed to lock key %q, lock is already held", op.Key)
		}
		return []*Entry{withoutValue(entry)}, ""
	case "unlock":
		entry, done := ks.release(op.Key, op.Session, op.Value, op.Flags)
		if !done {
			return nil, fmt.Sprintf("failed to unlock key %q, lock isn't held, or is held by another session", op.Key)
		}
		return []*Entry{withoutValue(entry)}, ""
	case "delete":
		ks.remove(op.Key)
		return nil, ""
	case "delete-tree":
		for _, entry := range ks.list(op.Key) {
			ks.remove(entry.Key)
		}
		return nil, ""
	case "delete-cas":
		if entry := ks.get(op.Key); entry != nil && entry.ModifyIndex != op.Index {
			return nil, fmt.Sprintf("failed to delete key %q, index is stale", op.Key)
		}
		ks.remove(op.Key)
		return nil, ""
	default:
		return nil, fmt.Sprintf("unknown verb %q", op.Verb)
	}
}

// withoutValue returns a copy of an entry without its value, as transactions return it for checks and changes.
func withoutValue(entry *Entry) *Entry {
	bare := *entry
	bare.Value = nil
	return &bare
}
