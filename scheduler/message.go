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
	messageConnectionLost
	messageFinished
	messageLoaded
	messageUnloaded
	messageReported
	messageDrain
)

// message is an event that Run passes to the state.
type message struct {
	kind    messageKind
	item    *item
	usage   requester.Usage
	model   string
	load    invoker.LoadReport
	err     error
	drained chan struct{}
}

type actionKind int

const (
	actionReply actionKind = iota + 1
	actionLoad
	actionUnload
	actionPoll
	actionDrained
)

// action is a decision of the state that Run carries out.
type action struct {
	kind     actionKind
	item     *item
	decision decision
	model    string
	fencing  uint64
	drained  chan struct{}
}

// decision lets a waiting request start, or holds the refusal. A start has the fencing number and the target's boot
// that it applies to, and the times that the request waited.
type decision struct {
	refusal  *requester.Refusal
	fencing  uint64
	boot     string
	queued   time.Duration
	loadWait time.Duration
}

// item is a request in the scheduler, from its arrival to its end.
type item struct {
	rq        *requester.Request
	model     string
	arrivedAt time.Time
	decision  chan decision
	lane      laneIndex
	state     itemState
	// suspect is set if the request may have crashed a target; at most one such request runs at a time.
	suspect   bool
	startedAt time.Time
	// loadWaitSince is set while the adapter is not loaded; loadWait is the sum of earlier such periods.
	loadWaitSince time.Time
	loadWait      time.Duration
}

type itemState int

const (
	itemQueued itemState = iota + 1
	itemRunning
	itemEnded
)

func newItem(rq *requester.Request, now time.Time) *item {
	return &item{rq: rq, model: rq.Model(), arrivedAt: now, decision: make(chan decision, 1)}
}

func (it *item) cost() float64 { return float64(max(it.rq.Cost(), 1)) }

func refuseWrongHolder() *requester.Refusal {
	return requester.Refuse(requester.CodeWrongHolder, "this instance no longer serves the target", 0)
}
