package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

// Run exchanges state with peers and reads the platform's list until the context ends.
func (gs *Gossiper) Run(ctx context.Context) {
	defer close(gs.done)
	defer gs.calls.Wait()
	defer close(gs.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gs.calls.Go(func() { gs.readList(ctx) })

	st := newState(proto.CloneOf(gs.options.Self), time.Now())
	gs.publish(st)
	// The random first period keeps instances that start together from exchanging at the same moments.
	ticker := time.NewTimer(rand.N(sameDomainPeriod))
	defer ticker.Stop()
	urgent := time.NewTimer(0)
	defer urgent.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case tk := <-gs.tasks:
			tk.run(ctx, st)
			close(tk.done)
		case <-ticker.C:
			ticker.Reset(sameDomainPeriod)
			tick++
			gs.tick(ctx, st, tick)
		case <-urgent.C:
			urgent.Reset(urgentInterval)
			gs.exchangeUrgent(ctx, st)
		}
		gs.publish(st)
	}
}

// publish makes changed members and targets visible to readers.
func (gs *Gossiper) publish(st *state) {
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
	st.expire(time.Now())
	gs.startExchanges(ctx, st, pick(st.peers(true), 1, rand.Shuffle))
	if tick%otherDomainTicks == 0 {
		gs.startExchanges(ctx, st, pick(st.peers(false), 1, rand.Shuffle))
	}
	if tick%unknownPeerTicks == 0 {
		gs.startExchanges(ctx, st, pick(st.unknownPeers(gs.options.Seeds), 1, rand.Shuffle))
	}
}

// exchangeUrgent starts a round of exchanges at once if there is an urgent change.
func (gs *Gossiper) exchangeUrgent(ctx context.Context, st *state) {
	if !st.urgent {
		return
	}
	st.urgent = false
	gs.startExchanges(ctx, st, pick(st.peers(true), urgentSameDomainPeers, rand.Shuffle))
	gs.startExchanges(ctx, st, pickDomains(st.peers(false), urgentOtherDomains, rand.Shuffle))
}

func (gs *Gossiper) startExchanges(ctx context.Context, st *state, peers []peer) {
	for _, pe := range peers {
		gs.startExchange(ctx, st, pe)
	}
}

// startExchange starts an exchange, unless maxExchanges are in progress.
func (gs *Gossiper) startExchange(ctx context.Context, st *state, pe peer) {
	select {
	case gs.exchangeSlots <- struct{}{}:
	default:
		return
	}
	if gs.options.Revision != nil {
		st.setRevision(gs.options.Revision())
	}
	rq := st.request(gs.piggyback())
	gs.calls.Go(func() {
		defer func() { <-gs.exchangeSlots }()
		gs.exchange(ctx, pe, rq)
	})
}

// exchange sends a request to a peer, and further requests while the tables have to be compared. A peer that does not
// answer becomes suspect.
func (gs *Gossiper) exchange(ctx context.Context, pe peer, rq *wire.ExchangeRequest) {
	for range maxSyncRounds {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		rs, err := gs.options.Exchange(callCtx, pe.address, rq)
		cancel()
		if err != nil {
			_ = gs.withState(ctx, func(_ context.Context, st *state) { st.suspect(pe.id, time.Now()) })
			return
		}
		var next *wire.ExchangeRequest
		handle := func(_ context.Context, st *state) { next = st.handleResponse(pe.address, rs, time.Now()) }
		if err := gs.withState(ctx, handle); err != nil {
			return
		}
		gs.notifyObservers(rs.Receiver, rs.Quarantines, rs.Holders)
		if next == nil {
			return
		}
		rq = next
	}
}

// readList reads the platform's list periodically. The period grows with the number of instances, so that the deployment
// as a whole reads at a steady rate.
func (gs *Gossiper) readList(ctx context.Context) {
	for ctx.Err() == nil {
		for _, service := range []string{InstanceService, KindEngine, KindService} {
			gs.readService(ctx, service)
		}
		period := max(minListPeriod, listPeriod*time.Duration(len(gs.Members())))
		timer := time.NewTimer(period/2 + rand.N(period))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (gs *Gossiper) readService(ctx context.Context, service string) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := gs.options.Registrations(callCtx, service)
	if err != nil {
		if gs.options.Logger != nil {
			gs.options.Logger.Debug("reading the platform's list failed", "service", service, "error", err.Error())
		}
		return
	}
	_ = gs.withState(ctx, func(_ context.Context, st *state) {
		if service == InstanceService {
			st.setListedInstances(list)
			return
		}
		st.mergeTargetList(service, list, time.Now())
	})
}
