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

// model drives a state at random and plays the target with a lagging report. It fails on a broken rule.
type model struct {
	*rapid.T
	st      *state
	now     time.Time
	held    bool
	fencing uint64
	// target is the adapters on the target; true when loaded.
	target map[string]bool
	boot   int
	// seenBoot is the target's boot as the state knows it.
	seenBoot int
	past     []invoker.Load
	orders   []action
	items    []*item
	running  map[*item]bool
	onBoot   map[*item]int
	answers  map[*item]int
}

const (
	modelSlots    = 3
	modelBatch    = 4
	modelQueue    = 12
	modelPerOrg   = 6
	modelAdapters = 8
)

var errOrder = errors.New("order failed")

func newModel(rt *rapid.T) *model {
	options := Options{
		Target: &wire.Target{Id: "t", Slots: modelSlots, Batch: modelBatch}, MaxQueue: modelQueue,
		MaxQueuePerOrganisation: modelPerOrg, EvictionDelay: time.Second,
	}
	options.setDefaults()
	now := time.Unix(1000, 0)
	mo := &model{
		T: rt, st: newState(options, now), now: now, held: rapid.Bool().Draw(rt, "held at first"), fencing: 1, target: map[string]bool{},
		running: map[*item]bool{}, onBoot: map[*item]int{}, answers: map[*item]int{},
	}
	mo.snapshot()
	return mo
}

// step lets the state decide and plays its actions.
func (mo *model) step() {
	mo.st.setHold(mo.fencing, mo.now.Add(time.Hour), mo.held)
	mo.st.decide(mo.now)
	for _, ac := range mo.st.takeActions() {
		switch ac.kind {
		case actionAnswer:
			mo.answered(ac)
		case actionLoad:
			mo.ordered(ac)
			mo.target[ac.model] = false
			if len(mo.target) > modelSlots {
				mo.Fatalf("load of %s beyond the slots", ac.model)
			}
			mo.orders = append(mo.orders, ac)
		case actionUnload:
			mo.ordered(ac)
			mo.checkIdle(ac.model)
			mo.orders = append(mo.orders, ac)
		}
	}
	mo.snapshot()
}

func (mo *model) ordered(ac action) {
	if !mo.held || ac.fencing != mo.fencing {
		mo.Fatalf("order of %s without the lease", ac.model)
	}
}

func (mo *model) answered(ac action) {
	if mo.answers[ac.item]++; mo.answers[ac.item] > 1 {
		mo.Fatalf("request answered twice")
	}
	if ac.verdict.refusal != nil {
		return
	}
	if mo.seenBoot == mo.boot && !mo.target[ac.item.model] {
		mo.Fatalf("start on %s, which is not loaded", ac.item.model)
	}
	mo.running[ac.item] = true
	mo.onBoot[ac.item] = mo.boot
	if len(mo.running) > modelBatch {
		mo.Fatalf("%d requests run", len(mo.running))
	}
}

func (mo *model) checkUnused(name string) {
	for it := range mo.running {
		if it.model == name {
			mo.Fatalf("eviction of %s in use", name)
		}
	}
}

func (mo *model) checkIdle(name string) {
	mo.checkUnused(name)
	for _, it := range mo.items {
		if it.model == name && mo.answers[it] == 0 && it.state == itemQueued {
			mo.Fatalf("eviction of %s with a queued request", name)
		}
	}
}

func (mo *model) snapshot() {
	adapters := make([]invoker.AdapterReport, 0, len(mo.target))
	for name, loaded := range mo.target {
		rep := invoker.AdapterReport{Name: name, State: invoker.StateLoading}
		if loaded {
			rep.State = invoker.StateLoaded
		}
		for it := range mo.running {
			if it.model == name && mo.onBoot[it] == mo.boot {
				rep.Running++
			}
		}
		adapters = append(adapters, rep)
	}
	mo.past = append(mo.past, invoker.NewLoad(fmt.Sprint(mo.boot), modelSlots, modelBatch, 0, 0, adapters, mo.now))
}

func (mo *model) arrive(rt *rapid.T) {
	it := newItem(requester.New(requester.Fields{
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation"),
		Adapter:      fmt.Sprint("ad", rapid.IntRange(1, modelAdapters).Draw(rt, "adapter")), Version: "1",
		MaxTokens: rapid.Int64Range(1, 200).Draw(rt, "tokens"),
		Urgency:   requester.Urgency(rapid.IntRange(1, 3).Draw(rt, "urgency")),
		Deadline:  mo.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "deadline")) * time.Second),
		Attempt:   rapid.IntRange(0, 1).Draw(rt, "attempt"),
	}), mo.now)
	mo.items = append(mo.items, it)
	mo.st.take(message{kind: messageArrived, item: it}, mo.now)
	if mo.st.queued > modelQueue {
		mo.Fatalf("%d requests queued", mo.st.queued)
	}
	mo.step()
}

func (mo *model) cancel(rt *rapid.T) {
	if len(mo.items) == 0 {
		return
	}
	mo.st.take(message{kind: messageCancelled, item: rapid.SampledFrom(mo.items).Draw(rt, "item")}, mo.now)
	mo.step()
}

func (mo *model) finish(rt *rapid.T) {
	for _, it := range mo.items {
		if !mo.running[it] {
			continue
		}
		delete(mo.running, it)
		ms := message{kind: messageFinished, item: it, usage: requester.NewUsage(1, 10, "", "", 0, 0)}
		if mo.onBoot[it] != mo.boot || rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
			ms.err = requester.RefuseTargetLost("lost")
		}
		mo.st.take(ms, mo.now)
		mo.step()
		return
	}
}

func (mo *model) order(rt *rapid.T) {
	if len(mo.orders) == 0 {
		return
	}
	at := rapid.IntRange(0, len(mo.orders)-1).Draw(rt, "order")
	ac := mo.orders[at]
	mo.orders = append(mo.orders[:at:at], mo.orders[at+1:]...)
	ms := message{kind: messageLoaded, model: ac.model}
	_, there := mo.target[ac.model]
	fails := rapid.IntRange(0, 5).Draw(rt, "fails") == 0
	switch {
	case ac.kind == actionUnload:
		ms.kind = messageUnloaded
		mo.checkUnused(ac.model)
		delete(mo.target, ac.model)
	case fails || !there:
		ms.err = errOrder
		delete(mo.target, ac.model)
	default:
		mo.target[ac.model] = true
	}
	mo.st.take(ms, mo.now)
	mo.step()
}

func (mo *model) report(rt *rapid.T) {
	from := max(len(mo.past)-20, 0)
	load := rapid.SampledFrom(mo.past[from:]).Draw(rt, "report")
	if load.Boot() != fmt.Sprint(mo.boot) {
		return
	}
	mo.seenBoot = mo.boot
	mo.st.take(message{kind: messageReported, load: load}, mo.now)
	mo.step()
}

func (mo *model) restart(rt *rapid.T) {
	if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
		mo.now = mo.now.Add(time.Millisecond)
		mo.boot++
		clear(mo.target)
		mo.snapshot()
	}
}

func (mo *model) lease(rt *rapid.T) {
	mo.held = rapid.IntRange(0, 3).Draw(rt, "held") > 0
	if mo.held && rapid.Bool().Draw(rt, "again") {
		mo.fencing++
	}
	mo.step()
}

func (mo *model) pass(rt *rapid.T) {
	mo.now = mo.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
	mo.step()
}

// TestStateRules checks over random orders of events: no eviction in use or with queued requests, no order without the
// lease, no more than the batch and the queue's bounds, and one answer for each request.
func TestStateRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mo := newModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": mo.arrive, "arrive-more": mo.arrive, "cancel": mo.cancel, "finish": mo.finish, "finish-more": mo.finish,
			"order": mo.order, "order-more": mo.order, "report": mo.report, "restart": mo.restart, "lease": mo.lease,
			"pass": mo.pass,
		})
		mo.st.take(message{kind: messageDrain, idle: make(chan struct{})}, mo.now)
		mo.step()
		for _, it := range mo.items {
			if mo.answers[it] != 1 {
				rt.Fatalf("request without an answer")
			}
		}
	})
}
