package server

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"lovagebank/leaser"
	"lovagebank/wire"
)

const (
	holdersPollInterval = 25 * time.Millisecond
	holdersTimeout      = 5 * time.Second
)

// resourceInterval is the interval at which the leaser's resources are updated from members, targets and organisations.
const resourceInterval = 500 * time.Millisecond

func (sv *Server) newLeaser() *leaser.Leaser {
	return leaser.New(leaser.Options{
		Self:           sv.identity,
		CreateSession:  sv.store.CreateSession,
		RenewSession:   sv.store.RenewSession,
		DestroySession: sv.store.DestroySession,
		List:           sv.store.List,
		Transact:       sv.store.Transact,
		RequestPromise: sv.requestPromise,
		Notify:         sv.notifyPeer,
		StopOwner:      sv.stopOwner,
		Logger:         sv.loggerFor("leaser"),
	})
}

func (sv *Server) requestPromise(ctx context.Context, request *wire.PromiseRequest) (*wire.PromiseResponse, error) {
	peer, err := sv.peerOf(request.GetSuccessor())
	if err != nil {
		return nil, err
	}
	response, err := peer.Leases().Promise(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (sv *Server) notifyPeer(ctx context.Context, instance string, resources []string) {
	me := sv.findMember(instance)
	if me == nil {
		return
	}
	request := connect.NewRequest(&wire.NotifyRequest{Resources: resources})
	if _, err := sv.connector.Peer(me.GetPeerAddress()).Leases().Notify(ctx, request); err != nil {
		sv.loggerFor("leaser").Debug("peer not notified", "instance", instance, "error", err.Error())
	}
}

// stopOwner stops the owner of a resource that is handed over and returns the owner's state.
func (sv *Server) stopOwner(resource string) []byte {
	if target, ok := strings.CutPrefix(resource, leaser.TargetName("")); ok {
		sv.schedulers.waitForOrders(target)
		return nil
	}
	return sv.limiter.HandOver(resource)
}

func isTarget(resource string) bool { return strings.HasPrefix(resource, leaser.TargetName("")) }

// Promise answers a holder's request for a successor's promise.
func (ph *peerHandler) Promise(ctx context.Context, call *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseResponse], error) {
	return connect.NewResponse(ph.server.leases.Promise(ctx, call.Msg)), nil
}

// Notify refreshes records that a peer reports as changed.
func (ph *peerHandler) Notify(ctx context.Context, call *connect.Request[wire.NotifyRequest]) (*connect.Response[wire.NotifyResponse], error) {
	ph.server.leases.Refresh(ctx, call.Msg.GetResources())
	return connect.NewResponse(&wire.NotifyResponse{}), nil
}

// followLeaseEvents passes the state of buckets that are handed over to the limiter, until the context ends.
func (sv *Server) followLeaseEvents(ctx context.Context) {
	for {
		select {
		case ev := <-sv.leases.Events():
			sv.handleLeaseEvent(ev)
		case <-ctx.Done():
			return
		}
	}
}

func (sv *Server) handleLeaseEvent(ev leaser.Event) {
	sv.reporter.AddToCounter("lease_changes", 1)
	sv.loggerFor("leaser").Info("lease changed", "resource", ev.Resource(), "kind", string(ev.Kind()), "fencing", ev.Fencing())
	if isTarget(ev.Resource()) || ev.Kind() != leaser.HandedOver {
		return
	}
	if err := sv.limiter.ApplyHandOver(ev.Resource(), ev.Fencing(), ev.State()); err != nil {
		sv.loggerFor("leaser").Warn("handed-over state not applied", "resource", ev.Resource(), "error", err.Error())
	}
}

// updateResources updates the leaser's resources from members, targets and organisations until the context ends.
func (sv *Server) updateResources(ctx context.Context) {
	ticker := time.NewTicker(resourceInterval)
	defer ticker.Stop()
	var previous uint64
	for {
		if digest := sv.resourceDigest(); digest != previous && sv.targetsKnown.Load() && sv.organisations.Load() != nil {
			required := sv.requiredResources()
			sv.leases.SetResources(ctx, required)
			previous = digest
			go sv.awaitHolders(ctx, required)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitHolders marks the instance as able to serve once every resource has a holder, or after holdersTimeout, since the
// store may be unreachable.
func (sv *Server) awaitHolders(ctx context.Context, required []leaser.Resource) {
	ticker := time.NewTicker(holdersPollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(holdersTimeout); time.Now().Before(deadline) && !sv.allHeld(required); {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	sv.holdersKnown.Store(true)
}

// allHeld reports whether each resource has a holder that is a member, so that it can be called.
func (sv *Server) allHeld(required []leaser.Resource) bool {
	for _, rs := range required {
		if holder, ok := sv.leases.Holder(rs.Name()); !ok || sv.findMember(holder) == nil {
			return false
		}
	}
	return len(required) > 0
}

// resourceDigest returns a hash that changes whenever the required resources or their candidates may change.
func (sv *Server) resourceDigest() uint64 {
	hash := xxhash.New()
	for _, me := range sv.gossiper.Members() {
		if me.GetState() == wire.MemberState_MEMBER_STATE_LIVE {
			_, _ = hash.WriteString(me.GetId() + "\x00")
		}
	}
	for _, tg := range sv.gossiper.Targets() {
		if tg.GetFailureDomain() == sv.settings.FailureDomain() {
			_, _ = hash.WriteString(tg.GetId() + "\x01")
		}
	}
	if organisations := sv.organisations.Load(); organisations != nil {
		for _, name := range organisations.names {
			_, _ = hash.WriteString(name + "\x02")
		}
	}
	return hash.Sum64()
}

// requiredResources returns the engines of this failure domain, its share of each organisation's rate, and the
// deployment-wide shares.
func (sv *Server) requiredResources() []leaser.Resource {
	domain := sv.settings.FailureDomain()
	var required []leaser.Resource
	for _, tg := range engines(sv.gossiper.Targets()) {
		if tg.GetFailureDomain() == domain {
			name := leaser.TargetName(tg.GetId())
			required = append(required, leaser.NewResource(name, sv.domainCandidates(name, domain)))
		}
	}
	organisations := sv.organisations.Load()
	if organisations == nil {
		return required
	}
	for _, organisation := range organisations.names {
		floor, home := leaser.FloorName(domain, organisation), leaser.HomeName(organisation)
		required = append(required,
			leaser.NewResource(floor, sv.domainCandidates(floor, domain)),
			leaser.NewResource(home, sv.homeCandidates(home)))
	}
	return required
}
