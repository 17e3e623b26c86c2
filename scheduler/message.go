package scheduler

import (
	"time"

	"lovagebank/invoker"
	"lovagebank/requester"
)

type messageKind int

const (
	messageArrived messageKind = iota + 1
	messageCancelled
	messageDoubted
	messageFinished
	messageLoaded
	messageUnloaded
	messageReported
	messageDrain
)

// message is one event for the state.
type message struct {
	kind  messageKind
	item  *item
	usage requester.Usage
	model string
	load  invoker.Load
	err   error
	idle  chan struct{}
}

type actionKind int

const (
	actionAnswer actionKind = iota + 1
	actionLoad
	actionUnload
	actionPoll
	actionIdle
)

// action is one thing that the state decided to have done.
type action struct {
	kind    actionKind
	item    *item
	verdict verdict
	model   string
	fencing uint64
	idle    chan struct{}
}

// verdict tells a waiting request to start, or why it won't.
type verdict struct {
	refusal  *requester.Refusal
	fencing  uint64
	boot     string
	queued   time.Duration
	loadWait time.Duration
}

// item is one request from its arrival to its end.
type item struct {
	rq      *requester.Request
	model   string
	arrived time.Time
	verdict chan verdict
	lane    laneIndex
	state   itemState
	// suspect requests run one at a time.
	suspect bool
	started time.Time
	// loadWaitFrom is set while the adapter is not there; loadWait sums such times.
	loadWaitFrom time.Time
	loadWait     time.Duration
}

type itemState int

const (
	itemQueued itemState = iota + 1
	itemRunning
	itemEnded
)

func newItem(rq *requester.Request, now time.Time) *item {
	return &item{rq: rq, model: rq.Model(), arrived: now, verdict: make(chan verdict, 1)}
}

func (it *item) cost() float64 { return float64(max(it.rq.Cost(), 1)) }

func refuseWrongHolder() *requester.Refusal {
	return requester.Refuse(requester.CodeWrongHolder, "this instance no longer serves the target", 0)
}
