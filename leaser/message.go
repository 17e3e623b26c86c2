package leaser

import (
	"time"

	"lovagebank/wire"
)

// stored is a record as the store has it; index zero means that there is none.
type stored struct {
	name  string
	index uint64
	// lock is the session that locks the record; empty when it lapsed or was released.
	lock   string
	record *wire.HolderRecord
}

// writeKind tells what a write does to a record.
type writeKind int

const (
	takeOver writeKind = iota + 1
	reacquire
	changeSuccessors
	release
)

// write is a change of one record on its way to the store.
type write struct {
	kind    writeKind
	name    string
	base    uint64
	session string
	record  *wire.HolderRecord
	// from is the state that was handed over with the record.
	from    []byte
	gained  EventKind
	calling bool
	// unsure tells that an answer was lost, so that the write may have landed or may still land.
	unsure bool
	retry  time.Time
}

// outcome tells what became of a call that writes.
type outcome int

const (
	done outcome = iota + 1
	refused
	notSent
	unknown
)

// Messages to the state machine.
type (
	sessionAnswer struct {
		creating bool
		session  string
		sentAt   time.Time
		outcome  outcome
		// gone tells that the store knows the session no more.
		gone bool
	}
	readAnswer struct {
		names   []string
		all     bool
		records []stored
		failed  bool
	}
	writeAnswer struct {
		name    string
		nonce   string
		outcome outcome
		index   uint64
	}
	promiseAnswer struct {
		successor string
		resources []string
		sentAt    time.Time
	}
	surrendered struct {
		name  string
		state []byte
	}
)

// Effects that the state machine asks for.
type (
	createSession  struct{}
	renewSession   struct{ session string }
	destroySession struct{ session string }
	readRecords    struct{ names []string }
	listRecords    struct{}
	writeRecords   struct{ writes []write }
	askPromise     struct{ request *wire.PromiseRequest }
	notify         struct {
		instance  string
		resources []string
	}
	surrender struct{ name string }
	report    struct{ event Event }
	leave     struct{}
)

// effect is one of the types above.
type effect any
