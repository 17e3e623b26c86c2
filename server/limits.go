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

var errUnknownMember = errors.New("no such instance is known")

func (sv *Server) newLimiter() *limiter.Limiter {
	return limiter.New(limiter.Options{
		Instance: sv.identity,
		Domain:   sv.settings.FailureDomain(),
		Holds:    sv.leases.Holds,
		Holder:   sv.leases.Holder,
		Borrow:   sv.borrow,
		Return:   sv.giveBack,
	})
}

// borrow asks the holder of a bucket for tokens.
func (sv *Server) borrow(ctx context.Context, instance string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	peer, err := sv.peerOf(instance)
	if err != nil {
		return nil, err
	}
	response, err := peer.Limits().Borrow(ctx, connect.NewRequest(rq))
	if err != nil {
		sv.peerFailed(instance)
		return nil, err
	}
	return response.Msg, nil
}

// giveBack returns unused tokens to the holder of a bucket.
func (sv *Server) giveBack(ctx context.Context, instance string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error) {
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
func (pe *peering) Borrow(_ context.Context, call *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	return connect.NewResponse(pe.server.limiter.Borrow(call.Msg)), nil
}

// Return takes tokens back.
func (pe *peering) Return(_ context.Context, call *connect.Request[wire.ReturnRequest]) (*connect.Response[wire.ReturnResponse], error) {
	return connect.NewResponse(pe.server.limiter.Return(call.Msg)), nil
}

// charge takes a request's cost from its organisation's tokens.
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

// organisationSet is the organisations of one configuration, sorted.
type organisationSet struct {
	names []string
}

// adopt puts the plans of a configuration in force. An organisation that is gone loses its rate.
func (sv *Server) adopt(sn *configurer.Snapshot) {
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
		if _, known := slices.BinarySearch(next.names, name); !known {
			sv.limiter.SetPlan(name, 0, 0)
		}
	}
}
