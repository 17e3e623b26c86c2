package leaser

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

// node is one instance of a simulation.
type node struct {
	machine *machine
	paused  bool
	// cut means that the instance can reach neither the store nor its peers.
	cut    bool
	events []Event
	inbox  []func(now time.Time)
}

// simulation runs machines over one store. Every call is pending until the test delivers or drops it.
type simulation struct {
	now          time.Time
	store        *fakeStore
	nodes        map[string]*node
	starts       int
	pendingCalls []pendingCall
	timing       Timing
	resource     string
	history      *history
}

// pendingCall is a call in transit. arrive applies its effect and returns the answer; the answer is nil if the call has
// none.
type pendingCall struct {
	from   *node
	to     string
	arrive func() (answer func(now time.Time))
	// lost tells the caller that it got no answer.
	lost func(now time.Time)
}

func newSimulation(instances int) *simulation {
	sm := &simulation{
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		store: newFakeStore(), nodes: make(map[string]*node), resource: TargetName("e1"), history: newHistory(),
		timing: Timing{Hold: 2 * time.Minute}.withDefaults(),
	}
	for range instances {
		sm.start()
	}
	return sm
}

func (sm *simulation) start() {
	sm.starts++
	name := fmt.Sprintf("i%d", sm.starts)
	sm.nodes[name] = &node{machine: newMachine(name, sm.timing)}
	sm.updateCandidates()
}

// crash stops an instance at once. Calls that it has sent may still arrive.
func (sm *simulation) crash(name string) {
	delete(sm.nodes, name)
	sm.updateCandidates()
}

// updateCandidates sends the list of live instances to all instances.
func (sm *simulation) updateCandidates() { sm.updateCandidatesWithout("") }

// updateCandidatesWithout sends the list of live instances, except one, to all instances.
func (sm *simulation) updateCandidatesWithout(dead string) {
	var live []string
	for name := range sm.nodes {
		if name != dead {
			live = append(live, name)
		}
	}
	resources := []Resource{NewResource(sm.resource, Rendezvous(sm.resource, live))}
	for _, nd := range sm.nodes {
		nd.inbox = append(nd.inbox, func(now time.Time) { nd.machine.setResources(now, resources) })
	}
}

// run lets an instance process its messages and step, and collects its calls.
func (sm *simulation) run(nd *node) {
	if nd.paused {
		return
	}
	messages := nd.inbox
	nd.inbox = nil
	for _, message := range messages {
		message(sm.now)
	}
	nd.machine.step(sm.now)
	for _, ef := range nd.machine.takeEffects() {
		sm.perform(nd, ef)
	}
}

func (sm *simulation) addCall(nd *node, to string, arrive func() func(time.Time), lost func(time.Time)) {
	sm.pendingCalls = append(sm.pendingCalls, pendingCall{nd, to, arrive, lost})
}

func (sm *simulation) perform(nd *node, ef effect) {
	mc := nd.machine
	sentAt := sm.now
	switch ef := ef.(type) {
	case report:
		nd.events = append(nd.events, ef.event)
		sm.history.gained(mc.self, ef.event)
	case stopOwner:
		nd.inbox = append(nd.inbox, func(now time.Time) { mc.handleOwnerStopped(now, ownerStopped{ef.name, []byte("state")}) })
	case createSession:
		answer := func(session string, err error) func(time.Time) {
			res := sessionResult{creating: true, session: session, sentAt: sentAt, outcome: outcomeOf(err)}
			return func(now time.Time) { mc.handleSessionResult(now, res) }
		}
		sm.addCall(nd, "", func() func(time.Time) { return answer(sm.store.create(sm.now, sm.timing.Lease), nil) },
			answer("", storer.ErrUnknown))
	case renewSession:
		answer := func(err error) func(time.Time) {
			res := sessionResult{
				session: ef.session, sentAt: sentAt, outcome: outcomeOf(err),
				notFound: errors.Is(err, storer.ErrNotFound),
			}
			return func(now time.Time) { mc.handleSessionResult(now, res) }
		}
		sm.addCall(nd, "", func() func(time.Time) { return answer(sm.store.renew(sm.now, ef.session, sm.timing.Lease)) },
			answer(storer.ErrUnknown))
	case listRecords:
		sm.read(nd, readResult{all: true})
	case readRecords:
		sm.read(nd, readResult{names: ef.names})
	case writeRecords:
		for _, wr := range ef.writes {
			sm.history.sent(mc.self, wr)
		}
		sm.write(nd, ef.writes)
	case requestPromise:
		sm.requestPromise(nd, ef.request, sentAt)
	case notify:
		sm.addCall(nd, ef.instance, func() func(time.Time) {
			sm.nodes[ef.instance].machine.refresh(sm.now, ef.resources)
			return nil
		}, nil)
	}
}

func (sm *simulation) read(nd *node, res readResult) {
	failed := res
	failed.failed = true
	sm.addCall(nd, "", func() func(time.Time) {
		for _, en := range sm.store.list() {
			records, err := decodeRecords([]storer.Entry{en})
			if err != nil {
				panic(err)
			}
			res.records = append(res.records, records...)
		}
		return func(now time.Time) { nd.machine.handleReadResult(now, res) }
	}, func(now time.Time) { nd.machine.handleReadResult(now, failed) })
}

// write sends a transaction through Leaser.write, so that its handling of conflicts is covered as well.
func (sm *simulation) write(nd *node, writes []write) {
	transactWith := func(err error) func(now time.Time) {
		le := &Leaser{options: Options{}, machine: nd.machine, inbox: make(chan func(time.Time), 1), done: make(chan struct{})}
		le.options.Transact = func(_ ctx, steps []storer.Step) ([]storer.Entry, error) {
			if err != nil {
				return nil, err
			}
			return sm.store.transact(steps)
		}
		le.write(background, writes)
		return <-le.inbox
	}
	sm.addCall(nd, "", func() func(time.Time) { return transactWith(nil) }, transactWith(storer.ErrUnknown))
}

func (sm *simulation) requestPromise(nd *node, request *wire.PromiseRequest, sentAt time.Time) {
	answer := func(resources []string) func(time.Time) {
		res := promiseResult{request.GetSuccessor(), resources, sentAt}
		return func(now time.Time) { nd.machine.handlePromiseResult(now, res) }
	}
	sm.addCall(nd, request.GetSuccessor(), func() func(time.Time) {
		return answer(sm.nodes[request.GetSuccessor()].machine.givePromises(sm.now, request).GetResources())
	}, answer(nil))
}

// reachable reports whether a call can arrive now.
func (sm *simulation) reachable(pc pendingCall) bool {
	if pc.from.cut {
		return false
	}
	if pc.to == "" {
		return !sm.store.unreachable
	}
	peer := sm.nodes[pc.to]
	return peer != nil && !peer.cut && !peer.paused
}

// deliver makes the call at the given position arrive, if its receiver is reachable, and returns its answer to the
// caller unless the answer is lost.
func (sm *simulation) deliver(position int, answerLost bool) {
	pc := sm.pendingCalls[position]
	sm.pendingCalls = append(sm.pendingCalls[:position:position], sm.pendingCalls[position+1:]...)
	var answer func(time.Time)
	if sm.reachable(pc) {
		answer = pc.arrive()
	}
	if answer == nil || answerLost {
		answer = pc.lost
	}
	if answer != nil {
		pc.from.inbox = append(pc.from.inbox, answer)
	}
}

// advance moves the clock and expires sessions.
func (sm *simulation) advance(by time.Duration) {
	sm.now = sm.now.Add(by)
	sm.store.lapse(sm.now)
}

// settle runs all instances for the given time and delivers every call at once.
func (sm *simulation) settle(span time.Duration) {
	for end := sm.now.Add(span); sm.now.Before(end); sm.advance(tickInterval) {
		for range 8 {
			for _, name := range sm.names() {
				sm.run(sm.nodes[name])
			}
			for len(sm.pendingCalls) > 0 {
				sm.deliver(0, false)
			}
		}
	}
}

// acting returns the instances that may act as the holder now. It includes paused instances, which would act when they
// continue.
func (sm *simulation) acting() []string {
	var names []string
	for name, nd := range sm.nodes {
		if rc := nd.machine.records[sm.resource]; rc != nil && sm.now.Before(nd.machine.actingUntil(rc)) {
			names = append(names, name)
		}
	}
	return names
}

func (sm *simulation) String() string {
	return fmt.Sprintf("acting %s, record %v", strings.Join(sm.acting(), ","), sm.store.record(sm.resource))
}
