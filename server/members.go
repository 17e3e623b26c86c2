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

// hintTimeout limits how long a peer's hints wait for the leaser.
const hintTimeout = 20 * time.Millisecond

// failureReportTimeout limits the report of a failed call to the gossiper.
const failureReportTimeout = time.Second

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
		ObserveHints:       sv.applyHints,
		Logger:             sv.loggerFor("gossiper"),
	})
}

// applyHints applies peers' hints about the holders of resources. Hints are dropped while the leaser is busy, because
// peers send them again.
func (sv *Server) applyHints(hints []*wire.HolderHint) {
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
func (ph *peerHandler) Exchange(ctx context.Context, call *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	response, err := ph.server.gossiper.ServeExchange(ctx, call.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// fetch requests configuration from a peer.
func (sv *Server) fetch(ctx context.Context, address string, rq *wire.FetchRequest) (*wire.FetchResponse, error) {
	response, err := sv.connector.Peer(address).Configuration().Fetch(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Fetch returns the configuration that a peer lacks.
func (ph *peerHandler) Fetch(_ context.Context, call *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	response, err := ph.server.publisher.ServeFetch(call.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// reportPeerFailure makes the gossiper check whether a member is alive after a call to it failed.
func (sv *Server) reportPeerFailure(instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), failureReportTimeout)
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

// peerOf returns the RPC clients of a member.
func (sv *Server) peerOf(instance string) (*connector.Peer, error) {
	me := sv.findMember(instance)
	if me == nil {
		return nil, errUnknownMember
	}
	return sv.connector.Peer(me.GetPeerAddress()), nil
}

// findTarget returns a currently registered target, or nil.
func (sv *Server) findTarget(id string) *wire.Target {
	targets := sv.gossiper.Targets()
	at, ok := slices.BinarySearchFunc(targets, id, func(tg *wire.Target, id string) int { return strings.Compare(tg.GetId(), id) })
	if !ok {
		return nil
	}
	return targets[at]
}

// currentTarget returns the current registration of a target, for instance with its address after a restart, or tg if
// the target is not registered.
func (sv *Server) currentTarget(tg *wire.Target) *wire.Target {
	if current := sv.findTarget(tg.GetId()); current != nil {
		return current
	}
	return tg
}

// loadShare returns this instance's share of the concurrent adapter loads that the weight store serves at full speed.
// It is proportional to the share of all engines that the instance holds.
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

// dispatch runs a request and, if it is refused, records the reason in its trace.
func (sv *Server) dispatch(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	us, err := sv.dispatcher.Dispatch(ctx, rq, sink)
	if rf := requester.AsRefusal(err); rf != nil {
		explainer.FromContext(ctx).AddStep("dispatcher", "Refused: "+rf.Error())
	}
	return us, err
}
