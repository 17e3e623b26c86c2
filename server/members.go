package server

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"lovagebank/connector"
	"lovagebank/explainer"
	"lovagebank/gossiper"
	"lovagebank/leaser"
	"lovagebank/requester"
	"lovagebank/wire"
)

const targetKindEngine = "engine"

// hintTimeout bounds how long a peer's hint waits for the leaser.
const hintTimeout = 20 * time.Millisecond

// failureNoteTimeout bounds telling the membership of a failed call.
const failureNoteTimeout = time.Second

func (sv *Server) newGossiper() *gossiper.Gossiper {
	st := sv.settings
	return gossiper.New(gossiper.Options{
		Self: &wire.Member{
			Id: sv.identity, PeerAddress: st.PeerAddress(), FailureDomain: st.FailureDomain(), Region: st.Region(),
		},
		Seeds:              st.Seeds(),
		Exchange:           sv.exchange,
		Registrations:      sv.list.Registrations,
		Revision:           sv.publisher.Revision,
		ObserveRevision:    sv.publisher.ObserveRevision,
		Quarantines:        sv.dispatcher.Quarantines,
		ObserveQuarantines: sv.dispatcher.MergeQuarantines,
		Hints:              func() []*wire.HolderHint { return sv.leases.Hints() },
		ObserveHints:       sv.learnHolders,
		Logger:             sv.prefixed("gossiper"),
	})
}

// learnHolders takes peers' hints on who holds what. A hint that finds the leaser busy is dropped; it comes again.
func (sv *Server) learnHolders(hints []*wire.HolderHint) {
	ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
	defer cancel()
	sv.leases.ApplyHints(ctx, hints)
}

func (sv *Server) exchange(ctx context.Context, address string, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	response, err := sv.connector.Peer(address).Membership().Exchange(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Exchange answers a peer's membership exchange.
func (pe *peering) Exchange(ctx context.Context, call *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	response, err := pe.server.gossiper.ServeExchange(ctx, call.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// fetch asks a peer for configuration.
func (sv *Server) fetch(ctx context.Context, address string, rq *wire.FetchRequest) (*wire.FetchResponse, error) {
	response, err := sv.connector.Peer(address).Configuration().Fetch(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Fetch gives a peer the configuration that it lacks.
func (pe *peering) Fetch(_ context.Context, call *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	response, err := pe.server.publisher.ServeFetch(call.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// peerFailed has the membership ask a member whose call failed whether it lives.
func (sv *Server) peerFailed(instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), failureNoteTimeout)
	defer cancel()
	_ = sv.gossiper.ObserveFailure(ctx, instance)
}

// findMember returns a live or leaving member, or nil.
func (sv *Server) findMember(id string) *wire.Member {
	members := sv.gossiper.Members()
	at, ok := slices.BinarySearchFunc(members, id, func(me *wire.Member, id string) int { return strings.Compare(me.GetId(), id) })
	if !ok {
		return nil
	}
	return members[at]
}

// peerOf returns the clients for a member.
func (sv *Server) peerOf(instance string) (*connector.Peer, error) {
	me := sv.findMember(instance)
	if me == nil {
		return nil, errUnknownMember
	}
	return sv.connector.Peer(me.GetPeerAddress()), nil
}

// findTarget returns a target that is known now, or nil.
func (sv *Server) findTarget(id string) *wire.Target {
	targets := sv.gossiper.Targets()
	at, ok := slices.BinarySearchFunc(targets, id, func(tg *wire.Target, id string) int { return strings.Compare(tg.GetId(), id) })
	if !ok {
		return nil
	}
	return targets[at]
}

// freshTarget returns what is known of a target now, such as its address after a restart.
func (sv *Server) freshTarget(tg *wire.Target) *wire.Target {
	if known := sv.findTarget(tg.GetId()); known != nil {
		return known
	}
	return tg
}

// loadShare returns this instance's part of the adapter loads that the weight store serves at full speed: by the share
// of all engines that it holds.
func (sv *Server) loadShare() float64 {
	engines, held := 0, 0
	for _, tg := range sv.gossiper.Targets() {
		if tg.GetKind() != targetKindEngine {
			continue
		}
		engines++
		if _, _, ok := sv.leases.Holds(leaser.TargetName(tg.GetId())); ok {
			held++
		}
	}
	if engines == 0 {
		return 0
	}
	return float64(sv.settings.LoadsInFlight()) * float64(held) / float64(engines)
}

// dispatch runs a request and notes why it was refused.
func (sv *Server) dispatch(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	us, err := sv.dispatcher.Dispatch(ctx, rq, sink)
	if rf := requester.AsRefusal(err); rf != nil {
		explainer.FromContext(ctx).AddStep("dispatcher", "Refused: "+rf.Error())
	}
	return us, err
}
