package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// MaxOperations is the most operations that the store takes in one transaction.
const MaxOperations = 64

const (
	transactionPath = "/v1/txn"
	// commitAttempts is how often Commit sends a write whose earlier results are unknown.
	commitAttempts = 4
)

// Verb names an operation of a transaction.
type Verb string

// The verbs of operations, as the store spells them.
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

// Swap writes value if the key's index is still the given one; index zero means that the key must not exist.
func Swap(key string, value []byte, index uint64) Step {
	return Step{verb: VerbCompareAndSwap, key: key, value: value, index: index}
}

// Delete deletes the key if its index is still the given one.
func Delete(key string, index uint64) Step {
	return Step{verb: VerbDeleteIfIndex, key: key, index: index}
}

// Check makes the transaction fail unless the key's index is the given one; zero means that the key must not exist.
func Check(key string, index uint64) Step {
	if index == 0 {
		return Step{verb: VerbCheckNotExists, key: key}
	}
	return Step{verb: VerbCheckIndex, key: key, index: index}
}

// Lock writes value and locks the key with a session; it fails while another session locks the key.
func Lock(key string, value []byte, session string) Step {
	return Step{verb: VerbLock, key: key, value: value, session: session}
}

// Unlock writes value and releases the session's lock of the key.
func Unlock(key string, value []byte, session string) Step {
	return Step{verb: VerbUnlock, key: key, value: value, session: session}
}

// Read returns the key's entry; the transaction fails if it does not exist.
func Read(key string) Step { return Step{verb: VerbGet, key: key} }

// Verb returns what the step does.
func (st Step) Verb() Verb { return st.verb }

// Key returns the key.
func (st Step) Key() string { return st.key }

// Value returns the value to write.
func (st Step) Value() []byte { return st.value }

// Index returns the index to compare with.
func (st Step) Index() uint64 { return st.index }

// Session returns the session of a lock.
func (st Step) Session() string { return st.session }

// Conflict is the error of a transaction that was rolled back; it is an ErrConflict.
type Conflict struct {
	steps    []int
	messages []string
}

// NewConflict makes the error of a transaction in which the numbered steps failed; fakes of the store use it.
func NewConflict(steps ...int) *Conflict { return &Conflict{steps: steps} }

// Error names the steps that failed.
func (cf *Conflict) Error() string {
	return fmt.Sprintf("%v: steps %v %v", ErrConflict, cf.steps, cf.messages)
}

// Unwrap returns ErrConflict.
func (cf *Conflict) Unwrap() error { return ErrConflict }

// Steps returns the positions of the steps that failed, from zero.
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

type txnAnswer struct {
	Results []struct {
		KV kvEntry
	}
	Errors []struct {
		OpIndex int
		What    string
	}
}

// Transact makes all steps or none. It returns the entries that the store answers with, in the order of the steps, a
// *Conflict when a step failed, or ErrUnknown. Deletes have no entry, checks may have one. The last entry of a written
// key has its new index.
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
	an, err := cl.call(ctx, call{operation: OperationTransact, method: http.MethodPut, path: transactionPath, body: body})
	if err != nil {
		return nil, err
	}
	var ta txnAnswer
	if err := an.decode(&ta); err != nil {
		return nil, errors.Join(ErrUnknown, err)
	}
	entries := make([]Entry, 0, len(ta.Results))
	for _, rs := range ta.Results {
		entries = append(entries, rs.KV.entry())
	}
	return entries, nil
}

// conflictOf reads the answer to a transaction that was rolled back.
func conflictOf(body []byte) error {
	var ta txnAnswer
	if err := json.Unmarshal(body, &ta); err != nil {
		return errors.Join(ErrConflict, err)
	}
	cf := &Conflict{}
	for _, failed := range ta.Errors {
		cf.steps = append(cf.steps, failed.OpIndex)
		cf.messages = append(cf.messages, failed.What)
	}
	return cf
}

// CompareAndSwap writes value if the key's index is still the given one; zero means that the key must not exist. It
// returns the new index, ErrConflict when it lost, or ErrUnknown.
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

// Commit is CompareAndSwap with unknown results resolved by reading back: mine must recognise, by a nonce, a value
// that holds this write. An unknown write at an index that still stands may yet arrive, so it is sent again. Commit
// returns ErrUnknown only when the context or the attempts end first. It can't tell a write that was already replaced
// from one that lost, unless later values keep the nonce.
func (cl *Client) Commit(
	ctx context.Context, key string, value []byte, index uint64, mine func(value []byte) bool,
) (uint64, error) {
	unsure := false
	for attempt := 1; ; attempt++ {
		written, err := cl.CompareAndSwap(ctx, key, value, index)
		unsure = unsure || errors.Is(err, ErrUnknown)
		if err == nil || !unsure {
			return written, err
		}
		en, rerr := cl.Get(ctx, key)
		switch {
		case rerr == nil && mine(en.value):
			return en.index, nil
		case rerr == nil && en.index != index, errors.Is(rerr, ErrNotFound) && index != 0:
			return 0, ErrConflict
		}
		if attempt >= commitAttempts || !cl.backOff(ctx, attempt) {
			return 0, errors.Join(ErrUnknown, err)
		}
	}
}
