package leaser

import (
	"time"

	"lovagebank/wire"
)

// storedRecord is a record as read from the store. Index zero means that it does not exist.
type storedRecord struct {
	name  string
	index uint64
	// lock is the session that locks the record; empty if the lock lapsed or was released.
	lock   string
	record *wire.HolderRecord
}

// writeKind is the kind of change that a write makes to a record.
type writeKind int

const (
	takeOver writeKind = iota + 1
	reacquire
	changeSuccessors
	release
)

// write is a pending change of one record in the store.
type write struct {
	kind      writeKind
	name      string
	baseIndex uint64
	session   string
	record    *wire.HolderRecord
	// inheritedState is the state that was handed over with the record.
	inheritedState []byte
	gained         EventKind
	pending        bool
	// uncertain means that an answer was lost: the write may have been applied or may still be applied.
	uncertain bool
	retryAt   time.Time
}

// outcome is the result of a call that writes to the store.
type outcome int

const (
	done outcome = iota + 1
	refused
	notSent
	unknown
)

// Messages to the state machine.
type (
	sessionResult struct {
		creating bool
		session  string
		sentAt   time.Time
		outcome  outcome
		// notFound means that the session no longer exists in the store.
		notFound bool
	}
	readResult struct {
		names   []string
		all     bool
		records []storedRecord
		failed  bool
	}
	writeResult struct {
		name    string
		nonce   string
		outcome outcome
		index   uint64
	}
	promiseResult struct {
		successor string
		resources []string
		sentAt    time.Time
	}
	ownerStopped struct {
		name  string
		state []byte
	}
)

// Effects that the state machine requests.
type (
	createSession  struct{}
	renewSession   struct{ session string }
	destroySession struct{ session string }
	readRecords    struct{ names []string }
	listRecords    struct{}
	writeRecords   struct{ writes []write }
	requestPromise struct{ request *wire.PromiseRequest }
	notify         struct {
		instance  string
		resources []string
	}
	stopOwner struct{ name string }
	report    struct{ event Event }
	leave     struct{}
)

// effect is one of the effect types above.
type effect any
