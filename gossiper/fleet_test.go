package gossiper

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"lovagebank/storer"
	"lovagebank/wire"
)

// fleet is gossipers joined by direct calls, with a platform's list. It runs in fake time.
type fleet struct {
	mu      sync.Mutex
	members map[string]*Gossiper
	// silent addresses take calls and answer nothing; calls across cut domains answer nothing either.
	silent map[string]bool
	cut    map[string]bool
	list   map[string][]storer.Registration
	// hints counts the hints that members were told.
	hints map[string]int
	stops map[string]context.CancelFunc
}

func newFleet() *fleet {
	return &fleet{
		members: make(map[string]*Gossiper), silent: make(map[string]bool), cut: make(map[string]bool),
		list: make(map[string][]storer.Registration), hints: make(map[string]int),
		stops: make(map[string]context.CancelFunc),
	}
}

// add starts an instance in a failure domain.
func (fl *fleet) add(id, domain, address string) {
	self := &wire.Member{Id: id, PeerAddress: address, FailureDomain: domain, Region: "north"}
	gs := New(Options{
		Self: self,
		Exchange: func(ctx context.Context, to string, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
			return fl.exchange(ctx, domain, address, to, rq)
		},
		Registrations: func(_ context.Context, service string) ([]storer.Registration, error) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			return fl.list[service], nil
		},
		Revision:     func() uint64 { return 7 },
		Hints:        func() []*wire.HolderHint { return []*wire.HolderHint{{Resource: "target/1", Holder: id}} },
		ObserveHints: func(hints []*wire.HolderHint) { fl.told(id, len(hints)) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.members[address], fl.stops[address] = gs, cancel
	go gs.Run(ctx)
}

func (fl *fleet) told(id string, count int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.hints[id] += count
}

// stop ends an instance without a word.
func (fl *fleet) stop(address string) {
	fl.mu.Lock()
	cancel, gs := fl.stops[address], fl.members[address]
	delete(fl.members, address)
	fl.mu.Unlock()
	cancel()
	<-gs.Done()
}

func (fl *fleet) stopAll() {
	fl.mu.Lock()
	addresses := maps.Clone(fl.members)
	fl.mu.Unlock()
	for address := range addresses {
		fl.stop(address)
	}
}

func (fl *fleet) exchange(ctx context.Context, domain, from, to string, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	time.Sleep(time.Millisecond)
	fl.mu.Lock()
	gs := fl.members[to]
	lost := fl.silent[to] || fl.silent[from] || gs != nil && gs.options.Self.FailureDomain != domain &&
		(fl.cut[domain] || fl.cut[gs.options.Self.FailureDomain])
	fl.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if gs == nil {
		return nil, fmt.Errorf("connection to %s refused", to)
	}
	return gs.ServeExchange(ctx, rq)
}

func (fl *fleet) set(state map[string]bool, key string, value bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	state[key] = value
}

func (fl *fleet) setList(service string, list ...storer.Registration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.list[service] = list
}

// start makes two failure domains of the given size, joined by the platform's list.
func (fl *fleet) start(size int) {
	var list []storer.Registration
	for _, domain := range []string{"a", "b"} {
		for at := range size {
			host := fmt.Sprintf("%s%d", domain, at)
			list = append(list, storer.NewRegistration(host, host, 1, map[string]string{"failure-domain": domain}))
		}
	}
	fl.setList(InstanceService, list...)
	for _, rg := range list {
		fl.add(rg.ID()+"-1", rg.Meta("failure-domain"), rg.ID()+":1")
	}
}

// stateOf returns a member's state as another one sees it; 0 for a member that it does not count on.
func (fl *fleet) stateOf(seenBy, id string) wire.MemberState {
	fl.mu.Lock()
	gs := fl.members[seenBy]
	fl.mu.Unlock()
	for _, me := range gs.Members() {
		if me.Id == id {
			return me.State
		}
	}
	return 0
}

// expect checks what every running instance but the member itself sees.
func (fl *fleet) expect(t *testing.T, id string, want wire.MemberState) {
	t.Helper()
	fl.mu.Lock()
	addresses := maps.Clone(fl.members)
	fl.mu.Unlock()
	for address, gs := range addresses {
		if gs.options.Self.Id == id {
			continue
		}
		if got := fl.stateOf(address, id); got != want {
			t.Errorf("%s sees %s as %v, want %v", address, id, got, want)
		}
	}
}
