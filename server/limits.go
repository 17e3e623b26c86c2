package server

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"connectrpc.com/connect"

	"lovagebank/configurer"
	"lovagebank/explainer"
	"lovagebank/limiter"
	"lovagebank/requester"
	"lovagebank/wire"
)

var errUnknownMember = errors.New("instance is not a known member")

func (sv *Server) newLimiter() *limiter.Limiter {
	return limiter.New(limiter.Options{
		Instance: sv.identity,
		Domain:   sv.settings.FailureDomain(),
		Holds:    sv.leases.Holds,
		Holder:   sv.leases.Holder,
		Borrow:   sv.borrow,
		Return:   sv.returnTokens,
	})
}

// borrow borrows tokens from the holder of a bucket.
func (sv *Server) borrow(ctx context.Context, instance string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	peer, err := sv.peerOf(instance)
	if err != nil {
		return nil, err
	}
	response, err := peer.Limits().Borrow(ctx, connect.NewRequest(rq))
	if err != nil {
		sv.reportPeerFailure(instance)
		return nil, err
	}
	return response.Msg, nil
}

// returnTokens returns unused tokens to the holder of a bucket.
func (sv *Server) returnTokens(ctx context.Context, instance string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error) {
	peer, err := sv.peerOf(instance)
	if err != nil {
		return nil, err
	}
	response, err := peer.Limits().Return(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Borrow lends tokens of a bucket that this instance holds.
func (ph *peerHandler) Borrow(_ context.Context, call *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	return connect.NewResponse(ph.server.limiter.Borrow(call.Msg)), nil
}

// Return accepts tokens that a peer returns.
func (ph *peerHandler) Return(_ context.Context, call *connect.Request[wire.ReturnRequest]) (*connect.Response[wire.ReturnResponse], error) {
	return connect.NewResponse(ph.server.limiter.Return(call.Msg)), nil
}

// charge deducts a request's cost from its organisation's tokens. The returned function settles the tokens used.
func (sv *Server) charge(ctx context.Context, rq *requester.Request) (func(int64), error) {
	if rq.Organisation() == "" || rq.Cost() == 0 {
		return func(int64) {}, nil
	}
	gr, err := sv.limiter.Charge(ctx, rq.Organisation(), rq.Cost(), rq.Deadline())
	if err != nil {
		explainer.FromContext(ctx).AddStep("limiter", "Refused: "+requester.AsRefusal(err).Message())
		return nil, err
	}
	explainer.FromContext(ctx).AddStep("limiter", fmt.Sprintf("Charged %d tokens.", rq.Cost()))
	return gr.Settle, nil
}

// organisationSet holds the names of the organisations of one configuration, sorted.
type organisationSet struct {
	names []string
}

// applyConfiguration applies the plans of a configuration. The rate of a removed organisation becomes zero.
func (sv *Server) applyConfiguration(sn *configurer.Snapshot) {
	next := &organisationSet{}
	for _, name := range sn.Organisations() {
		if pl, ok := sn.PlanOf(name); ok {
			next.names = append(next.names, name)
			sv.limiter.SetPlan(name, pl.Rate(), pl.Burst())
		}
	}
	sv.gossiper.Announce()
	previous := sv.organisations.Swap(next)
	if previous == nil {
		return
	}
	for _, name := range previous.names {
		if _, found := slices.BinarySearch(next.names, name); !found {
			sv.limiter.SetPlan(name, 0, 0)
		}
	}
}
