package exchanger

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"

	"lovagebank/wire"
)

// Relay asks the instance at an address to send a request to a target, and returns the parts of the answer as they arrive. The end of the
// context ends the request there.
func (ex *Exchanger) Relay(ctx context.Context, address string, rq *wire.RelayRequest) (*connect.ServerStreamForClient[wire.RelayResponse], error) {
	return ex.clientOf(address).Relay(ctx, connect.NewRequest(rq))
}

// NotCalled reports whether a call failed before any of it was sent, as no connection could be opened.
func NotCalled(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Relay sends a request to a target for a peer.
func (se *service) Relay(ctx context.Context, rq *connect.Request[wire.RelayRequest], stream *connect.ServerStream[wire.RelayResponse]) error {
	return se.op.Relay(ctx, rq.Msg, stream.Send)
}
