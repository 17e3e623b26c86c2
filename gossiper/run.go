package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

// Run keeps membership until the context ends.
func (ga *Gossiper) Run(ctx context.Context) {
	defer close(ga.done)
	defer ga.calls.Wait()
	defer close(ga.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ga.calls.Go(func() { ga.readList(ctx) })

	st := newState(proto.CloneOf(ga.options.Self), time.Now())
	ga.refresh(st)
	// Instances that start together must not exchange in step.
	ticker := time.NewTimer(rand.N(nearPeriod))
	defer ticker.Stop()
	urgent := time.NewTimer(0)
	defer urgent.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case as := <-ga.asks:
			as.run(ctx, st)
			close(as.done)
		case <-ticker.C:
			ticker.Reset(nearPeriod)
			tick++
			ga.tick(ctx, st, tick)
		case <-urgent.C:
			urgent.Reset(urgentPause)
			ga.hurry(ctx, st)
		}
		ga.refresh(st)
	}
}

// refresh publishes what changed.
func (ga *Gossiper) refresh(st *state) {
	if st.membersChanged {
		st.membersChanged = false
		members := st.members()
		ga.members.Store(&members)
		ga.self.Store(st.self)
	}
	if st.targetsChanged {
		st.targetsChanged = false
		targets := st.targets()
		ga.targets.Store(&targets)
	}
}

func (ga *Gossiper) tick(ctx context.Context, st *state, tick int) {
	st.tick(time.Now())
	ga.startAll(ctx, st, pick(st.peers(true), 1))
	if tick%farTicks == 0 {
		ga.startAll(ctx, st, pick(st.peers(false), 1))
	}
	if tick%strangerTicks == 0 {
		ga.startAll(ctx, st, pick(st.strangers(ga.options.Seeds), 1))
	}
}

// hurry spreads urgent news out of turn.
func (ga *Gossiper) hurry(ctx context.Context, st *state) {
	if !st.urgent {
		return
	}
	st.urgent = false
	ga.startAll(ctx, st, pick(st.peers(true), urgentNear))
	ga.startAll(ctx, st, pick(st.peers(false), urgentFar))
}

func (ga *Gossiper) startAll(ctx context.Context, st *state, peers []peer) {
	for _, pe := range peers {
		ga.start(ctx, st, pe)
	}
}

// start begins an exchange, unless too many are under way.
func (ga *Gossiper) start(ctx context.Context, st *state, pe peer) {
	select {
	case ga.running <- struct{}{}:
	default:
		return
	}
	if ga.options.Revision != nil {
		st.haveRevision(ga.options.Revision())
	}
	rq := st.request(ga.extras())
	ga.calls.Go(func() {
		defer func() { <-ga.running }()
		ga.exchange(ctx, pe, rq)
	})
}

// exchange calls a peer, and goes on while the tables have to be compared further.
func (ga *Gossiper) exchange(ctx context.Context, pe peer, rq *wire.ExchangeRequest) {
	for range syncRounds {
		bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
		rs, err := ga.options.Exchange(bounded, pe.address, rq)
		cancel()
		if err != nil {
			_ = ga.do(ctx, func(_ context.Context, st *state) { st.suspect(pe.id, time.Now()) })
			return
		}
		var next *wire.ExchangeRequest
		take := func(_ context.Context, st *state) { next = st.answered(pe.address, rs, time.Now()) }
		if err := ga.do(ctx, take); err != nil {
			return
		}
		ga.tell(rs.Receiver, rs.Quarantines, rs.Holders)
		if next == nil {
			return
		}
		rq = next
	}
}

// readList reads the platform's list, less often the more instances share the work.
func (ga *Gossiper) readList(ctx context.Context) {
	for ctx.Err() == nil {
		for _, service := range []string{ListInstances, KindEngine, KindService} {
			ga.readService(ctx, service)
		}
		period := max(leastListPeriod, listPeriod*time.Duration(len(ga.Members())))
		timer := time.NewTimer(period/2 + rand.N(period))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (ga *Gossiper) readService(ctx context.Context, service string) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := ga.options.Registrations(bounded, service)
	if err != nil {
		if ga.options.Logger != nil {
			ga.options.Logger.Debug("Platform's list not read.", "service", service, "error", err.Error())
		}
		return
	}
	_ = ga.do(ctx, func(_ context.Context, st *state) {
		if service == ListInstances {
			st.listInstances(list)
			return
		}
		st.listTargets(service, list, time.Now())
	})
}
