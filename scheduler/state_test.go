package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagebank/invoker"
	"lovagebank/requester"
	"lovagebank/wire"
)

// stateModel sends random events to a state and simulates the target, with load reports that lag. It fails the test if
// an invariant is broken.
type stateModel struct {
	*rapid.T
	st      *state
	now     time.Time
	held    bool
	fencing uint64
	// adapters holds the adapters on the target; the value is true once the adapter is loaded.
	adapters map[string]bool
	boot     int
	// seenBoot is the target's boot in the last report that the state handled.
	seenBoot      int
	pastReports   []invoker.LoadReport
	pendingOrders []action
	items         []*item
	running       map[*item]bool
	startBoot     map[*item]int
	answers       map[*item]int
}

const (
	modelSlots                = 3
	modelBatch                = 4
	modelQueue                = 12
	modelQueuePerOrganisation = 6
	modelAdapters             = 8
)

var errOrder = errors.New("order failed")

func newStateModel(rt *rapid.T) *stateModel {
	options := Options{
		Target: &wire.Target{Id: "t", Slots: modelSlots, Batch: modelBatch}, MaxQueue: modelQueue,
		MaxQueuePerOrganisation: modelQueuePerOrganisation, EvictionDelay: time.Second,
	}
	options.setDefaults()
	now := time.Unix(1000, 0)
	sm := &stateModel{
		T: rt, st: newState(options, now), now: now, held: rapid.Bool().Draw(rt, "held at first"), fencing: 1,
		adapters: map[string]bool{}, running: map[*item]bool{}, startBoot: map[*item]int{}, answers: map[*item]int{},
	}
	sm.recordReport()
	return sm
}

// step lets the state decide, checks its actions and applies them to the target.
func (sm *stateModel) step() {
	sm.st.setLease(sm.fencing, sm.now.Add(time.Hour), sm.held)
	sm.st.decide(sm.now)
	for _, ac := range sm.st.takeActions() {
		switch ac.kind {
		case actionReply:
			sm.recordAnswer(ac)
		case actionLoad:
			sm.checkOrder(ac)
			sm.adapters[ac.model] = false
			if len(sm.adapters) > modelSlots {
				sm.Fatalf("load of %s without a free slot", ac.model)
			}
			sm.pendingOrders = append(sm.pendingOrders, ac)
		case actionUnload:
			sm.checkOrder(ac)
			sm.checkIdle(ac.model)
			sm.pendingOrders = append(sm.pendingOrders, ac)
		}
	}
	sm.recordReport()
}

func (sm *stateModel) checkOrder(ac action) {
	if !sm.held || ac.fencing != sm.fencing {
		sm.Fatalf("order of %s without the lease", ac.model)
	}
}

func (sm *stateModel) recordAnswer(ac action) {
	if sm.answers[ac.item]++; sm.answers[ac.item] > 1 {
		sm.Fatalf("request answered twice")
	}
	if ac.decision.refusal != nil {
		return
	}
	if sm.seenBoot == sm.boot && !sm.adapters[ac.item.model] {
		sm.Fatalf("request started on %s, which is not loaded", ac.item.model)
	}
	sm.running[ac.item] = true
	sm.startBoot[ac.item] = sm.boot
	if len(sm.running) > modelBatch {
		sm.Fatalf("%d requests run, more than the batch", len(sm.running))
	}
}

func (sm *stateModel) checkUnused(name string) {
	for it := range sm.running {
		if it.model == name {
			sm.Fatalf("eviction of adapter %s in use", name)
		}
	}
}

func (sm *stateModel) checkIdle(name string) {
	sm.checkUnused(name)
	for _, it := range sm.items {
		if it.model == name && sm.answers[it] == 0 && it.state == itemQueued {
			sm.Fatalf("eviction of adapter %s with a queued request", name)
		}
	}
}

func (sm *stateModel) recordReport() {
	adapters := make([]invoker.AdapterReport, 0, len(sm.adapters))
	for name, loaded := range sm.adapters {
		rep := invoker.AdapterReport{Name: name, State: invoker.StateLoading}
		if loaded {
			rep.State = invoker.StateLoaded
		}
		for it := range sm.running {
			if it.model == name && sm.startBoot[it] == sm.boot {
				rep.Running++
			}
		}
		adapters = append(adapters, rep)
	}
	sm.pastReports = append(sm.pastReports,
		invoker.NewLoadReport(fmt.Sprint(sm.boot), modelSlots, modelBatch, 0, 0, adapters, sm.now))
}

func (sm *stateModel) arrive(rt *rapid.T) {
	it := newItem(requester.New(requester.Fields{
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation"),
		Adapter:      fmt.Sprint("ad", rapid.IntRange(1, modelAdapters).Draw(rt, "adapter")), Version: "1",
		MaxTokens: rapid.Int64Range(1, 200).Draw(rt, "tokens"),
		Urgency:   requester.Urgency(rapid.IntRange(1, 3).Draw(rt, "urgency")),
		Deadline:  sm.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "deadline")) * time.Second),
		Attempt:   rapid.IntRange(0, 1).Draw(rt, "attempt"),
	}), sm.now)
	sm.items = append(sm.items, it)
	sm.st.handle(message{kind: messageArrived, item: it}, sm.now)
	if sm.st.queued > modelQueue {
		sm.Fatalf("%d requests queued, more than the limit", sm.st.queued)
	}
	sm.step()
}

func (sm *stateModel) cancel(rt *rapid.T) {
	if len(sm.items) == 0 {
		return
	}
	sm.st.handle(message{kind: messageCancelled, item: rapid.SampledFrom(sm.items).Draw(rt, "item")}, sm.now)
	sm.step()
}

func (sm *stateModel) finish(rt *rapid.T) {
	for _, it := range sm.items {
		if !sm.running[it] {
			continue
		}
		delete(sm.running, it)
		ms := message{kind: messageFinished, item: it, usage: requester.NewUsage(1, 10, "", "", 0, 0)}
		if sm.startBoot[it] != sm.boot || rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
			ms.err = requester.RefuseTargetLost("lost")
		}
		sm.st.handle(ms, sm.now)
		sm.step()
		return
	}
}

func (sm *stateModel) finishOrder(rt *rapid.T) {
	if len(sm.pendingOrders) == 0 {
		return
	}
	at := rapid.IntRange(0, len(sm.pendingOrders)-1).Draw(rt, "order")
	ac := sm.pendingOrders[at]
	sm.pendingOrders = append(sm.pendingOrders[:at:at], sm.pendingOrders[at+1:]...)
	ms := message{kind: messageLoaded, model: ac.model}
	_, there := sm.adapters[ac.model]
	fails := rapid.IntRange(0, 5).Draw(rt, "fails") == 0
	switch {
	case ac.kind == actionUnload:
		ms.kind = messageUnloaded
		sm.checkUnused(ac.model)
		delete(sm.adapters, ac.model)
	case fails || !there:
		ms.err = errOrder
		delete(sm.adapters, ac.model)
	default:
		sm.adapters[ac.model] = true
	}
	sm.st.handle(ms, sm.now)
	sm.step()
}

func (sm *stateModel) deliverReport(rt *rapid.T) {
	from := max(len(sm.pastReports)-20, 0)
	load := rapid.SampledFrom(sm.pastReports[from:]).Draw(rt, "report")
	if load.BootID() != fmt.Sprint(sm.boot) {
		return
	}
	sm.seenBoot = sm.boot
	sm.st.handle(message{kind: messageReported, load: load}, sm.now)
	sm.step()
}

func (sm *stateModel) restartTarget(rt *rapid.T) {
	if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
		sm.now = sm.now.Add(time.Millisecond)
		sm.boot++
		clear(sm.adapters)
		sm.recordReport()
	}
}

func (sm *stateModel) changeLease(rt *rapid.T) {
	sm.held = rapid.IntRange(0, 3).Draw(rt, "held") > 0
	if sm.held && rapid.Bool().Draw(rt, "again") {
		sm.fencing++
	}
	sm.step()
}

func (sm *stateModel) advanceTime(rt *rapid.T) {
	sm.now = sm.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
	sm.step()
}

// TestStateInvariants checks over random sequences of events that no adapter in use or with queued requests is evicted,
// no order is sent without the lease, the bounds of the batch and the queue hold, and each request gets one answer.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := newStateModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": sm.arrive, "arrive-more": sm.arrive, "cancel": sm.cancel,
			"finish": sm.finish, "finish-more": sm.finish, "order": sm.finishOrder, "order-more": sm.finishOrder,
			"report": sm.deliverReport, "restart": sm.restartTarget, "lease": sm.changeLease, "pass": sm.advanceTime,
		})
		sm.st.handle(message{kind: messageDrain, drained: make(chan struct{})}, sm.now)
		sm.step()
		for _, it := range sm.items {
			if sm.answers[it] != 1 {
				rt.Fatalf("request without an answer")
			}
		}
	})
}
