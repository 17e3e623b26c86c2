package storer

import (
	"errors"
	"sync/atomic"
)

// Operation names a kind of call in counts.
type Operation string

// The kinds of call.
const (
	OperationGet      Operation = "get"
	OperationList     Operation = "list"
	OperationWatch    Operation = "watch"
	OperationTransact Operation = "transact"
	OperationSession  Operation = "session"
	OperationHealth   Operation = "health"
	OperationDelete   Operation = "delete"
)

// Result names how a call ended in counts.
type Result string

// The results of calls.
const (
	ResultDone        Result = "done"
	ResultNotFound    Result = "not-found"
	ResultConflict    Result = "conflict"
	ResultRefused     Result = "refused"
	ResultUnavailable Result = "unavailable"
	ResultOverBudget  Result = "over-budget"
	ResultUnknown     Result = "unknown"
)

var (
	operations = []Operation{
		OperationGet, OperationList, OperationWatch, OperationTransact, OperationSession, OperationHealth, OperationDelete,
	}
	results = []Result{
		ResultDone, ResultNotFound, ResultConflict, ResultRefused, ResultUnavailable, ResultOverBudget, ResultUnknown,
	}
)

// Count is the number of calls of one kind that ended in one way.
type Count struct {
	operation Operation
	result    Result
	calls     int64
}

// Operation returns the kind of call.
func (co Count) Operation() Operation { return co.operation }

// Result returns how the calls ended.
func (co Count) Result() Result { return co.result }

// Calls returns the number of calls since the client was made. Those over budget were not sent.
func (co Count) Calls() int64 { return co.calls }

type counter struct {
	cells map[Operation]map[Result]*atomic.Int64
}

func newCounter() *counter {
	co := &counter{cells: make(map[Operation]map[Result]*atomic.Int64)}
	for _, op := range operations {
		co.cells[op] = make(map[Result]*atomic.Int64)
		for _, rs := range results {
			co.cells[op][rs] = new(atomic.Int64)
		}
	}
	return co
}

func (co *counter) add(op Operation, err error) { co.cells[op][resultOf(err)].Add(1) }

func (co *counter) counts() []Count {
	var counts []Count
	for _, op := range operations {
		for _, rs := range results {
			if calls := co.cells[op][rs].Load(); calls > 0 {
				counts = append(counts, Count{op, rs, calls})
			}
		}
	}
	return counts
}

func resultOf(err error) Result {
	switch {
	case err == nil:
		return ResultDone
	case errors.Is(err, ErrNotFound):
		return ResultNotFound
	case errors.Is(err, ErrConflict):
		return ResultConflict
	case errors.Is(err, ErrOverBudget):
		return ResultOverBudget
	case errors.Is(err, ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, ErrUnknown):
		return ResultUnknown
	default:
		return ResultRefused
	}
}
