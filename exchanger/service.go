package exchanger

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"lovagebank/balancer"
	"lovagebank/orderer"
	"lovagebank/stocker"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

// service answers peers.
type service struct {
	op   Options
	take func(*wire.FleetState)
}

// Handler answers peers' calls.
func (ex *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewFleetServiceHandler(
		&service{op: ex.op, take: ex.take}, connect.WithCompressMinBytes(compressFrom), connect.WithReadMaxBytes(maxMessage),
	))
	return lean(mux)
}

// Exchange takes in what a peer tells and tells what this instance knows.
func (se *service) Exchange(_ context.Context, rq *connect.Request[wire.FleetState]) (*connect.Response[wire.FleetState], error) {
	se.take(rq.Msg)
	return connect.NewResponse(se.op.Compose(rq.Msg.GetInstance())), nil
}

// Load has a target load an adapter and answers when it is there.
func (se *service) Load(ctx context.Context, rq *connect.Request[wire.LoadRequest]) (*connect.Response[wire.LoadResponse], error) {
	wanted := orderer.Request{
		Requirement: stocker.Requirement{
			Adapter:      balancer.Adapter{Model: rq.Msg.GetModel(), Name: rq.Msg.GetAdapter()},
			Version:      rq.Msg.GetVersion(),
			ExtraReplica: rq.Msg.GetSpare(),
		},
		MaxWait: time.Duration(rq.Msg.GetPatienceMs()) * time.Millisecond,
	}
	if err := se.op.Load(ctx, rq.Msg.GetTarget(), wanted); err != nil {
		return connect.NewResponse(&wire.LoadResponse{Refusal: err.Error()}), nil
	}
	return connect.NewResponse(&wire.LoadResponse{}), nil
}
