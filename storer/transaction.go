package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// MaxOperations is the maximum number of operations that the store accepts in one transaction.
const MaxOperations = 64

const (
	transactionPath = "/v1/txn"
	// commitAttempts is the maximum number of times that Commit sends a write whose earlier results are unknown.
	commitAttempts = 4
)

// Verb is the kind of an operation in a transaction.
type Verb string

// The verbs of operations, with the names of the store's API.
const (
	VerbCompareAndSwap Verb = "cas"
	VerbDeleteIfIndex  Verb = "delete-cas"
	VerbCheckIndex     Verb = "check-index"
	VerbCheckNotExists Verb = "check-not-exists"
	VerbLock           Verb = "lock"
	VerbUnlock         Verb = "unlock"
	VerbGet            Verb = "get"
)

// Step is one operation of a transaction.
type Step struct {
	verb    Verb
	key     string
	value   []byte
	index   uint64
	session string
}

// Swap writes value if the key's index equals index; zero means that the key must not exist.
func Swap(key string, value []byte, index uint64) Step {
	return Step{verb: VerbCompareAndSwap, key: key, value: value, index: index}
}

// Delete deletes the key if its index equals index.
func Delete(key string, index uint64) Step {
	return Step{verb: VerbDeleteIfIndex, key: key, index: index}
}

// Check makes the transaction fail unless the key's index equals index; zero means that the key must not exist.
func Check(key string, index uint64) Step {
	if index == 0 {
		return Step{verb: VerbCheckNotExists, key: key}
	}
	return Step{verb: VerbCheckIndex, key: key, index: index}
}

// Lock writes value and locks the key for a session. It fails while another session holds the lock.
func Lock(key string, value []byte, session string) Step {
	return Step{verb: VerbLock, key: key, value: value, session: session}
}

// Unlock writes value and releases the session's lock on the key.
func Unlock(key string, value []byte, session string) Step {
	return Step{verb: VerbUnlock, key: key, value: value, session: session}
}

// Read returns the key's entry; the transaction fails if it does not exist.
func Read(key string) Step { return Step{verb: VerbGet, key: key} }

// Verb returns the kind of the operation.
func (st Step) Verb() Verb { return st.verb }

// Key returns the key.
func (st Step) Key() string { return st.key }

// Value returns the value to write.
func (st Step) Value() []byte { return st.value }

// Index returns the index that the key's index is compared with.
func (st Step) Index() uint64 { return st.index }

// Session returns the session that holds or releases a lock.
func (st Step) Session() string { return st.session }

// Conflict is the error of a transaction that was rolled back because steps failed. It wraps ErrConflict.
type Conflict struct {
	steps    []int
	messages []string
}

// NewConflict returns the error of a transaction in which the steps at the given positions failed; fakes of the store
// use it.
func NewConflict(steps ...int) *Conflict { return &Conflict{steps: steps} }

// Error lists the failed steps and the store's messages.
func (cf *Conflict) Error() string {
	return fmt.Sprintf("%v: steps %v %v", ErrConflict, cf.steps, cf.messages)
}

// Unwrap returns ErrConflict.
func (cf *Conflict) Unwrap() error { return ErrConflict }

// Steps returns the positions of the failed steps, starting from zero.
func (cf *Conflict) Steps() []int { return cf.steps }

type kvStep struct {
	Verb    Verb
	Key     string
	Value   []byte `json:",omitempty"`
	Index   uint64 `json:",omitempty"`
	Session string `json:",omitempty"`
}

type txnStep struct {
	KV kvStep
}

type txnResponse struct {
	Results []struct {
		KV kvEntry
	}
	Errors []struct {
		OpIndex int
		What    string
	}
}

// Transact applies all steps atomically or none. It returns the entries of the store's response in the order of the
// steps. A delete has no entry, a check may have one, and the last entry of a written key has its new index. The error
// is a *Conflict if a step failed, ErrUnknown if the transaction may have taken effect, or ErrRefused.
func (cl *Client) Transact(ctx context.Context, steps []Step) ([]Entry, error) {
	if len(steps) == 0 || len(steps) > MaxOperations {
		return nil, fmt.Errorf("transaction of %d steps: %w", len(steps), ErrRefused)
	}
	txn := make([]txnStep, 0, len(steps))
	for _, st := range steps {
		txn = append(txn, txnStep{kvStep{st.verb, st.key, st.value, st.index, st.session}})
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, errors.Join(ErrRefused, err)
	}
	rp, err := cl.call(ctx, request{operation: OperationTransact, method: http.MethodPut, path: transactionPath, body: body})
	if err != nil {
		return nil, err
	}
	var tr txnResponse
	if err := rp.decode(&tr); err != nil {
		return nil, errors.Join(ErrUnknown, err)
	}
	entries := make([]Entry, 0, len(tr.Results))
	for _, rs := range tr.Results {
		entries = append(entries, rs.KV.entry())
	}
	return entries, nil
}

// conflictOf decodes the response to a transaction that was rolled back.
func conflictOf(body []byte) error {
	var tr txnResponse
	if err := json.Unmarshal(body, &tr); err != nil {
		return errors.Join(ErrConflict, err)
	}
	cf := &Conflict{}
	for _, failed := range tr.Errors {
		cf.steps = append(cf.steps, failed.OpIndex)
		cf.messages = append(cf.messages, failed.What)
	}
	return cf
}

// CompareAndSwap writes value if the key's index equals index; zero means that the key must not exist. It returns the
// new index, or ErrConflict if the index differs, ErrUnknown if the write may have taken effect, or ErrRefused.
func (cl *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	entries, err := cl.Transact(ctx, []Step{Swap(key, value, index)})
	if err != nil {
		return 0, err
	}
	if len(entries) != 1 {
		return 0, fmt.Errorf("store's answer has %d results: %w", len(entries), ErrUnknown)
	}
	return entries[0].index, nil
}

// Commit calls CompareAndSwap and resolves unknown results by reading the key back. isOwn must recognise, by a nonce, a
// value that contains this write. If the key's index has not changed after an unknown write, that write may still
// arrive, so it is sent again. Commit returns ErrUnknown only if the context or the attempts end first. It cannot
// distinguish a write that was already replaced from one that failed, unless later values keep the nonce.
func (cl *Client) Commit(
	ctx context.Context, key string, value []byte, index uint64, isOwn func(value []byte) bool,
) (uint64, error) {
	unknown := false
	for attempt := 1; ; attempt++ {
		written, err := cl.CompareAndSwap(ctx, key, value, index)
		unknown = unknown || errors.Is(err, ErrUnknown)
		if err == nil || !unknown {
			return written, err
		}
		en, readErr := cl.Get(ctx, key)
		switch {
		case readErr == nil && isOwn(en.value):
			return en.index, nil
		case readErr == nil && en.index != index, errors.Is(readErr, ErrNotFound) && index != 0:
			return 0, ErrConflict
		}
		if attempt >= commitAttempts || !cl.backOff(ctx, attempt) {
			return 0, errors.Join(ErrUnknown, err)
		}
	}
}
