package connector

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"connectrpc.com/connect"
)

// secretHeader is the header that carries the shared secret between instances.
const secretHeader = "Lovagebank-Peer-Secret"

var errMissingSecret = errors.New("the call does not carry the deployment's secret")

// secretInterceptor adds the shared secret to outgoing calls, and rejects incoming calls without it.
type secretInterceptor struct {
	secret string
	hash   [sha256.Size]byte
}

func newSecretInterceptor(secret string) *secretInterceptor {
	return &secretInterceptor{secret: secret, hash: sha256.Sum256([]byte(secret))}
}

// NewGuard returns the handler option that rejects calls without the secret with CodeUnauthenticated. An empty secret
// rejects all calls. With mutual TLS, which has authenticated the caller already, calls need no secret.
func NewGuard(secret string, mutualTLS bool) connect.HandlerOption {
	if mutualTLS {
		return connect.WithHandlerOptions()
	}
	return connect.WithInterceptors(newSecretInterceptor(secret))
}

// WrapUnary adds the secret to a unary call at the client, and checks it at the server.
func (si *secretInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, call connect.AnyRequest) (connect.AnyResponse, error) {
		if call.Spec().IsClient {
			call.Header().Set(secretHeader, si.secret)
			return next(ctx, call)
		}
		if err := si.check(call.Header().Get(secretHeader)); err != nil {
			return nil, err
		}
		return next(ctx, call)
	}
}

// WrapStreamingClient adds the secret to an outgoing stream.
func (si *secretInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(secretHeader, si.secret)
		return conn
	}
}

// WrapStreamingHandler checks the secret of an incoming stream.
func (si *secretInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := si.check(conn.RequestHeader().Get(secretHeader)); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (si *secretInterceptor) check(offered string) error {
	hash := sha256.Sum256([]byte(offered))
	if si.secret == "" || subtle.ConstantTimeCompare(hash[:], si.hash[:]) != 1 {
		return connect.NewError(connect.CodeUnauthenticated, errMissingSecret)
	}
	return nil
}
