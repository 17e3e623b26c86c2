package leaser

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

// node is one instance of a world.
type node struct {
	machine *machine
	paused  bool
	// cut tells that the instance reaches neither the store nor its peers.
	cut    bool
	events []Event
	inbox  []func(now time.Time)
}

// world runs machines over one store. Every message waits until the test delivers or drops it.
type world struct {
	now      time.Time
	store    *fakeStore
	nodes    map[string]*node
	births   int
	flights  []flight
	timing   Timing
	resource string
	history  *history
}

// flight is a call on its way. Its arrival has the effect and returns the answer, nil for a call that is lost.
type flight struct {
	from   *node
	to     string
	arrive func() (answer func(now time.Time))
	// lost is how the caller learns that it got no answer.
	lost func(now time.Time)
}

func newWorld(instances int) *world {
	wd := &world{
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		store: newFakeStore(), nodes: make(map[string]*node), resource: TargetName("e1"), history: newHistory(),
		timing: Timing{Hold: 2 * time.Minute}.withDefaults(),
	}
	for range instances {
		wd.start()
	}
	return wd
}

func (wd *world) start() {
	wd.births++
	name := fmt.Sprintf("i%d", wd.births)
	wd.nodes[name] = &node{machine: newMachine(name, wd.timing)}
	wd.want()
}

// crash ends an instance at once; calls that it made may still arrive.
func (wd *world) crash(name string) {
	delete(wd.nodes, name)
	wd.want()
}

// want tells all instances who is alive.
func (wd *world) want() { wd.suspect("") }

// suspect tells all instances who is alive, with one of them left out.
func (wd *world) suspect(dead string) {
	var live []string
	for name := range wd.nodes {
		if name != dead {
			live = append(live, name)
		}
	}
	resources := []Resource{NewResource(wd.resource, Rendezvous(wd.resource, live))}
	for _, nd := range wd.nodes {
		nd.inbox = append(nd.inbox, func(now time.Time) { nd.machine.want(now, resources) })
	}
}

// run lets an instance take its messages and step, and collects its calls.
func (wd *world) run(nd *node) {
	if nd.paused {
		return
	}
	messages := nd.inbox
	nd.inbox = nil
	for _, message := range messages {
		message(wd.now)
	}
	nd.machine.step(wd.now)
	for _, ef := range nd.machine.takeEffects() {
		wd.perform(nd, ef)
	}
}

func (wd *world) call(nd *node, to string, arrive func() func(time.Time), lost func(time.Time)) {
	wd.flights = append(wd.flights, flight{nd, to, arrive, lost})
}

func (wd *world) perform(nd *node, ef effect) {
	mc := nd.machine
	sentAt := wd.now
	switch ef := ef.(type) {
	case report:
		nd.events = append(nd.events, ef.event)
		wd.history.gained(mc.self, ef.event)
	case surrender:
		nd.inbox = append(nd.inbox, func(now time.Time) { mc.surrendered(now, surrendered{ef.name, []byte("state")}) })
	case createSession:
		answer := func(session string, err error) func(time.Time) {
			an := sessionAnswer{creating: true, session: session, sentAt: sentAt, outcome: outcomeOf(err)}
			return func(now time.Time) { mc.answerSession(now, an) }
		}
		wd.call(nd, "", func() func(time.Time) { return answer(wd.store.create(wd.now, wd.timing.Lease), nil) },
			answer("", storer.ErrUnknown))
	case renewSession:
		answer := func(err error) func(time.Time) {
			an := sessionAnswer{session: ef.session, sentAt: sentAt, outcome: outcomeOf(err), gone: errors.Is(err, storer.ErrNotFound)}
			return func(now time.Time) { mc.answerSession(now, an) }
		}
		wd.call(nd, "", func() func(time.Time) { return answer(wd.store.renew(wd.now, ef.session, wd.timing.Lease)) },
			answer(storer.ErrUnknown))
	case listRecords:
		wd.read(nd, readAnswer{all: true})
	case readRecords:
		wd.read(nd, readAnswer{names: ef.names})
	case writeRecords:
		for _, wr := range ef.writes {
			wd.history.sent(mc.self, wr)
		}
		wd.write(nd, ef.writes)
	case askPromise:
		wd.ask(nd, ef.request, sentAt)
	case notify:
		wd.call(nd, ef.instance, func() func(time.Time) {
			wd.nodes[ef.instance].machine.notified(wd.now, ef.resources)
			return nil
		}, nil)
	}
}

func (wd *world) read(nd *node, an readAnswer) {
	failed := an
	failed.failed = true
	wd.call(nd, "", func() func(time.Time) {
		for _, en := range wd.store.list() {
			records, err := decode([]storer.Entry{en})
			if err != nil {
				panic(err)
			}
			an.records = append(an.records, records...)
		}
		return func(now time.Time) { nd.machine.answerRead(now, an) }
	}, func(now time.Time) { nd.machine.answerRead(now, failed) })
}

// write sends a transaction by way of the plumbing, so that its reading of conflicts is covered as well.
func (wd *world) write(nd *node, writes []write) {
	through := func(err error) func(now time.Time) {
		le := &Leaser{options: Options{}, machine: nd.machine, inbox: make(chan func(time.Time), 1), done: make(chan struct{})}
		le.options.Transact = func(_ ctx, steps []storer.Step) ([]storer.Entry, error) {
			if err != nil {
				return nil, err
			}
			return wd.store.transact(steps)
		}
		le.write(background, writes)
		return <-le.inbox
	}
	wd.call(nd, "", func() func(time.Time) { return through(nil) }, through(storer.ErrUnknown))
}

func (wd *world) ask(nd *node, request *wire.PromiseRequest, sentAt time.Time) {
	answer := func(resources []string) func(time.Time) {
		an := promiseAnswer{request.GetSuccessor(), resources, sentAt}
		return func(now time.Time) { nd.machine.answerPromise(now, an) }
	}
	wd.call(nd, request.GetSuccessor(), func() func(time.Time) {
		return answer(wd.nodes[request.GetSuccessor()].machine.promise(wd.now, request).GetResources())
	}, answer(nil))
}

// reachable tells whether a call can arrive now.
func (wd *world) reachable(fl flight) bool {
	if fl.from.cut {
		return false
	}
	if fl.to == "" {
		return !wd.store.away
	}
	peer := wd.nodes[fl.to]
	return peer != nil && !peer.cut && !peer.paused
}

// deliver lets the numbered call arrive, if it can, and its answer too unless that is lost.
func (wd *world) deliver(position int, answerLost bool) {
	fl := wd.flights[position]
	wd.flights = append(wd.flights[:position:position], wd.flights[position+1:]...)
	var answer func(time.Time)
	if wd.reachable(fl) {
		answer = fl.arrive()
	}
	if answer == nil || answerLost {
		answer = fl.lost
	}
	if answer != nil {
		fl.from.inbox = append(fl.from.inbox, answer)
	}
}

// advance moves the clock.
func (wd *world) advance(by time.Duration) {
	wd.now = wd.now.Add(by)
	wd.store.lapse(wd.now)
}

// settle runs all instances for a while with every call delivered at once.
func (wd *world) settle(span time.Duration) {
	for end := wd.now.Add(span); wd.now.Before(end); wd.advance(tickInterval) {
		for range 8 {
			for _, name := range wd.names() {
				wd.run(wd.nodes[name])
			}
			for len(wd.flights) > 0 {
				wd.deliver(0, false)
			}
		}
	}
}

// acting names the instances that may act as the holder now, paused ones included: they would once they go on.
func (wd *world) acting() []string {
	var names []string
	for name, nd := range wd.nodes {
		if rc := nd.machine.records[wd.resource]; rc != nil && wd.now.Before(nd.machine.until(rc)) {
			names = append(names, name)
		}
	}
	return names
}

func (wd *world) String() string {
	return fmt.Sprintf("acting %s, record %v", strings.Join(wd.acting(), ","), wd.store.record(wd.resource))
}
