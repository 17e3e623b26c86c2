package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"lovagebank/connector"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

// fakePeer implements the limit and execution services of a peer.
type fakePeer struct {
	wireconnect.UnimplementedLimitServiceHandler
	wireconnect.UnimplementedExecutionServiceHandler
}

func (fp *fakePeer) Borrow(context.Context, *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	return connect.NewResponse(&wire.BorrowResponse{Tokens: 7}), nil
}

func (fp *fakePeer) Execute(_ context.Context, _ *connect.Request[wire.ExecuteRequest], stream *connect.ServerStream[wire.ExecuteResponse]) error {
	return stream.Send(&wire.ExecuteResponse{Step: &wire.ExecuteResponse_Data{Data: []byte("x")}})
}

func listen(t *testing.T, secret string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewLimitServiceHandler(&fakePeer{}, connector.NewGuard(secret, false)))
	mux.Handle(wireconnect.NewExecutionServiceHandler(&fakePeer{}, connector.NewGuard(secret, false)))
	hs := httptest.NewUnstartedServer(mux)
	hs.Config.Protocols = connector.Protocols()
	hs.Start()
	t.Cleanup(hs.Close)
	return strings.TrimPrefix(hs.URL, "http://")
}

func TestGuardChecksSecret(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		server, client string
		admitted       bool
	}{
		"same secret":        {server: "s3cret", client: "s3cret", admitted: true},
		"other secret":       {server: "s3cret", client: "other"},
		"no secret":          {server: "s3cret", client: ""},
		"both secrets empty": {server: "", client: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			co := connector.New(connector.Options{Secret: test.client})
			defer co.Close()
			peer := co.Peer(listen(t, test.server))
			response, err := peer.Limits().Borrow(t.Context(), connect.NewRequest(&wire.BorrowRequest{}))
			if got := err == nil && response.Msg.GetTokens() == 7; got != test.admitted {
				t.Errorf("unary call admitted = %v (%v), want %v", got, err, test.admitted)
			}
			if got := streamSucceeds(t, peer); got != test.admitted {
				t.Errorf("stream admitted = %v, want %v", got, test.admitted)
			}
			if co.ControlBytes() == 0 {
				t.Error("no control bytes counted")
			}
		})
	}
}

func streamSucceeds(t *testing.T, peer *connector.Peer) bool {
	t.Helper()
	stream, err := peer.Execution().Execute(t.Context(), connect.NewRequest(&wire.ExecuteRequest{}))
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	return stream.Receive() && string(stream.Msg().GetData()) == "x"
}
