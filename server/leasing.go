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
	holdersInterval = 25 * time.Millisecond
	holdersPatience = 5 * time.Second
)

// wantInterval is how often the resources to hold are brought in line with members, targets and organisations.
const wantInterval = 500 * time.Millisecond

func (sv *Server) newLeaser() *leaser.Leaser {
	return leaser.New(leaser.Options{
		Self:           sv.identity,
		CreateSession:  sv.store.CreateSession,
		RenewSession:   sv.store.RenewSession,
		DestroySession: sv.store.DestroySession,
		List:           sv.store.List,
		Transact:       sv.store.Transact,
		RequestPromise: sv.askPromise,
		Notify:         sv.notifyPeer,
		StopOwner:      sv.surrender,
		Logger:         sv.prefixed("leaser"),
	})
}

func (sv *Server) askPromise(ctx context.Context, request *wire.PromiseRequest) (*wire.PromiseResponse, error) {
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
		sv.prefixed("leaser").Debug("Peer not notified.", "instance", instance, "error", err.Error())
	}
}

// surrender stops the owner of a resource that is handed over, and returns its state.
func (sv *Server) surrender(resource string) []byte {
	if target, ok := strings.CutPrefix(resource, leaser.TargetName("")); ok {
		sv.holdings.quiesce(target)
		return nil
	}
	return sv.limiter.HandOver(resource)
}

func isTarget(resource string) bool { return strings.HasPrefix(resource, leaser.TargetName("")) }

// Promise answers a holder that asks for a successor's promise.
func (pe *peering) Promise(ctx context.Context, call *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseResponse], error) {
	return connect.NewResponse(pe.server.leases.Promise(ctx, call.Msg)), nil
}

// Notify takes the hint that records changed.
func (pe *peering) Notify(ctx context.Context, call *connect.Request[wire.NotifyRequest]) (*connect.Response[wire.NotifyResponse], error) {
	pe.server.leases.Refresh(ctx, call.Msg.GetResources())
	return connect.NewResponse(&wire.NotifyResponse{}), nil
}

// followLeases gives the limiter the state that comes with its buckets, until the context ends.
func (sv *Server) followLeases(ctx context.Context) {
	for {
		select {
		case ev := <-sv.leases.Events():
			sv.takeEvent(ev)
		case <-ctx.Done():
			return
		}
	}
}

func (sv *Server) takeEvent(ev leaser.Event) {
	sv.reporter.AddToCounter("lease_changes", 1)
	sv.prefixed("leaser").Info("Lease changed.", "resource", ev.Resource(), "kind", string(ev.Kind()), "fencing", ev.Fencing())
	if isTarget(ev.Resource()) || ev.Kind() != leaser.HandedOver {
		return
	}
	if err := sv.limiter.ApplyHandOver(ev.Resource(), ev.Fencing(), ev.State()); err != nil {
		sv.prefixed("leaser").Warn("Handed-over state not read.", "resource", ev.Resource(), "error", err.Error())
	}
}

// wantLeases keeps the leaser in step with members, targets and organisations until the context ends.
func (sv *Server) wantLeases(ctx context.Context) {
	ticker := time.NewTicker(wantInterval)
	defer ticker.Stop()
	var seen uint64
	for {
		if now := sv.resourceDigest(); now != seen && sv.placing.Load() && sv.organisations.Load() != nil {
			wanted := sv.wantedResources()
			sv.leases.SetResources(ctx, wanted)
			seen = now
			go sv.awaitHolders(ctx, wanted)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitHolders notes that the instance can serve once every resource has a holder, or after a while without: the store
// may be away.
func (sv *Server) awaitHolders(ctx context.Context, wanted []leaser.Resource) {
	ticker := time.NewTicker(holdersInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(holdersPatience); time.Now().Before(deadline) && !sv.held(wanted); {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	sv.settled.Store(true)
}

// held tells whether each resource has a holder that is a known member, so that it can be asked.
func (sv *Server) held(wanted []leaser.Resource) bool {
	for _, rs := range wanted {
		if holder, ok := sv.leases.Holder(rs.Name()); !ok || sv.findMember(holder) == nil {
			return false
		}
	}
	return len(wanted) > 0
}

// resourceDigest changes whenever the wanted resources or their candidates may.
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

// wantedResources are the engines of this failure domain, its part of each organisation's rate, and the shared parts.
func (sv *Server) wantedResources() []leaser.Resource {
	domain := sv.settings.FailureDomain()
	var wanted []leaser.Resource
	for _, tg := range engines(sv.gossiper.Targets()) {
		if tg.GetFailureDomain() == domain {
			name := leaser.TargetName(tg.GetId())
			wanted = append(wanted, leaser.NewResource(name, sv.domainCandidates(name, domain)))
		}
	}
	organisations := sv.organisations.Load()
	if organisations == nil {
		return wanted
	}
	for _, organisation := range organisations.names {
		floor, home := leaser.FloorName(domain, organisation), leaser.HomeName(organisation)
		wanted = append(wanted,
			leaser.NewResource(floor, sv.domainCandidates(floor, domain)),
			leaser.NewResource(home, sv.homeCandidates(home)))
	}
	return wanted
}
