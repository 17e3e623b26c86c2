package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

// Run keeps membership until the context ends.
func (gs *Gossiper) Run(ctx context.Context) {
	defer close(gs.done)
	defer gs.calls.Wait()
	defer close(gs.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gs.calls.Go(func() { gs.readList(ctx) })

	st := newState(proto.CloneOf(gs.options.Self), time.Now())
	gs.refresh(st)
	// Instances that start together must not exchange in step.
	ticker := time.NewTimer(rand.N(nearPeriod))
	defer ticker.Stop()
	urgent := time.NewTimer(0)
	defer urgent.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case as := <-gs.asks:
			as.run(ctx, st)
			close(as.done)
		case <-ticker.C:
			ticker.Reset(nearPeriod)
			tick++
			gs.tick(ctx, st, tick)
		case <-urgent.C:
			urgent.Reset(urgentPause)
			gs.hurry(ctx, st)
		}
		gs.refresh(st)
	}
}

// refresh publishes what changed.
func (gs *Gossiper) refresh(st *state) {
	if st.membersChanged {
		st.membersChanged = false
		members := st.members()
		gs.members.Store(&members)
		gs.self.Store(st.self)
	}
	if st.targetsChanged {
		st.targetsChanged = false
		targets := st.targets()
		gs.targets.Store(&targets)
	}
}

func (gs *Gossiper) tick(ctx context.Context, st *state, tick int) {
	st.tick(time.Now())
	gs.startAll(ctx, st, pick(st.peers(true), 1, rand.Shuffle))
	if tick%farTicks == 0 {
		gs.startAll(ctx, st, pick(st.peers(false), 1, rand.Shuffle))
	}
	if tick%strangerTicks == 0 {
		gs.startAll(ctx, st, pick(st.strangers(gs.options.Seeds), 1, rand.Shuffle))
	}
}

// hurry spreads urgent news out of turn.
func (gs *Gossiper) hurry(ctx context.Context, st *state) {
	if !st.urgent {
		return
	}
	st.urgent = false
	gs.startAll(ctx, st, pick(st.peers(true), urgentNear, rand.Shuffle))
	gs.startAll(ctx, st, pickDomains(st.peers(false), urgentFar, rand.Shuffle))
}

func (gs *Gossiper) startAll(ctx context.Context, st *state, peers []peer) {
	for _, pe := range peers {
		gs.start(ctx, st, pe)
	}
}

// start begins an exchange, unless too many are under way.
func (gs *Gossiper) start(ctx context.Context, st *state, pe peer) {
	select {
	case gs.running <- struct{}{}:
	default:
		return
	}
	if gs.options.Revision != nil {
		st.haveRevision(gs.options.Revision())
	}
	rq := st.request(gs.extras())
	gs.calls.Go(func() {
		defer func() { <-gs.running }()
		gs.exchange(ctx, pe, rq)
	})
}

// exchange calls a peer, and goes on while the tables have to be compared further.
func (gs *Gossiper) exchange(ctx context.Context, pe peer, rq *wire.ExchangeRequest) {
	for range syncRounds {
		bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
		rs, err := gs.options.Exchange(bounded, pe.address, rq)
		cancel()
		if err != nil {
			_ = gs.do(ctx, func(_ context.Context, st *state) { st.suspect(pe.id, time.Now()) })
			return
		}
		var next *wire.ExchangeRequest
		take := func(_ context.Context, st *state) { next = st.answered(pe.address, rs, time.Now()) }
		if err := gs.do(ctx, take); err != nil {
			return
		}
		gs.tell(rs.Receiver, rs.Quarantines, rs.Holders)
		if next == nil {
			return
		}
		rq = next
	}
}

// readList reads the platform's list, less often the more instances share the work.
func (gs *Gossiper) readList(ctx context.Context) {
	for ctx.Err() == nil {
		for _, service := range []string{InstanceService, KindEngine, KindService} {
			gs.readService(ctx, service)
		}
		period := max(leastListPeriod, listPeriod*time.Duration(len(gs.Members())))
		timer := time.NewTimer(period/2 + rand.N(period))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (gs *Gossiper) readService(ctx context.Context, service string) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := gs.options.Registrations(bounded, service)
	if err != nil {
		if gs.options.Logger != nil {
			gs.options.Logger.Debug("Platform's list not read.", "service", service, "error", err.Error())
		}
		return
	}
	_ = gs.do(ctx, func(_ context.Context, st *state) {
		if service == InstanceService {
			st.listInstances(list)
			return
		}
		st.listTargets(service, list, time.Now())
	})
}
