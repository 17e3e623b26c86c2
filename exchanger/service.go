package exchanger

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"lovagebank/balancer"
	"lovagebank/orderer"
	"lovagebank/provisioner"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

// service answers the calls of peers.
type service struct {
	op      Options
	receive func(*wire.FleetState)
}

// Handler returns the HTTP handler for the calls of peers.
func (ex *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewFleetServiceHandler(
		&service{op: ex.op, receive: ex.receive}, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes),
	))
	return withoutDate(mux)
}

// Exchange applies a peer's state update and answers with this instance's update.
func (se *service) Exchange(_ context.Context, rq *connect.Request[wire.FleetState]) (*connect.Response[wire.FleetState], error) {
	se.receive(rq.Msg)
	return connect.NewResponse(se.op.Compose(rq.Msg.GetInstance())), nil
}

// Load makes a target load an adapter and answers once the target holds it.
func (se *service) Load(ctx context.Context, rq *connect.Request[wire.LoadRequest]) (*connect.Response[wire.LoadResponse], error) {
	loadRequest := orderer.Request{
		Requirement: provisioner.Requirement{
			Adapter:      balancer.Adapter{Model: rq.Msg.GetModel(), Name: rq.Msg.GetAdapter()},
			Version:      rq.Msg.GetVersion(),
			ExtraReplica: rq.Msg.GetSpare(),
		},
		MaxWait: time.Duration(rq.Msg.GetPatienceMs()) * time.Millisecond,
	}
	if err := se.op.Load(ctx, rq.Msg.GetTarget(), loadRequest); err != nil {
		return connect.NewResponse(&wire.LoadResponse{Refusal: err.Error()}), nil
	}
	return connect.NewResponse(&wire.LoadResponse{}), nil
}
