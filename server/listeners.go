package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"golang.org/x/net/netutil"

	"lovagebank/configurer"
	"lovagebank/connector"
)

// listeners are the three sockets of an instance: for callers, for peers and for operators.
type listeners struct {
	caller   *http.Server
	peer     *http.Server
	operator *http.Server
	sockets  []net.Listener
	failed   chan error
}

// listen opens all three sockets, so that an invalid address is reported before anything starts.
func listen(st *configurer.Settings, caller, peer, operator http.Handler, secure *tls.Config) (*listeners, error) {
	li := &listeners{
		caller:   newHTTPServer(st, caller),
		peer:     newHTTPServer(st, peer),
		operator: newHTTPServer(st, operator),
		failed:   make(chan error, 3),
	}
	li.peer.Protocols = connector.Protocols()
	li.peer.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams}
	for _, address := range []string{st.CallerAddress(), st.PeerAddress(), st.OperatorAddress()} {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			li.close()
			return nil, err
		}
		li.sockets = append(li.sockets, socket)
	}
	if secure != nil {
		li.sockets[1] = tls.NewListener(li.sockets[1], secure)
	}
	li.sockets[0] = netutil.LimitListener(li.sockets[0], int(st.Limits().Connections()))
	return li, nil
}

// maxPeerStreams is the maximum number of concurrent calls of one peer on one connection.
const maxPeerStreams = 4096

func newHTTPServer(st *configurer.Settings, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: st.Limits().HeaderTime(),
		IdleTimeout:       st.Limits().IdleTime(),
		MaxHeaderBytes:    int(st.Limits().HeaderBytes()),
	}
}

// serve serves requests on all sockets until they are closed. Errors are sent to failed.
func (li *listeners) serve() {
	for at, hs := range li.servers() {
		go func() {
			if err := hs.Serve(li.sockets[at]); !errors.Is(err, http.ErrServerClosed) {
				li.failed <- err
			}
		}()
	}
}

func (li *listeners) servers() []*http.Server { return []*http.Server{li.caller, li.peer, li.operator} }

// drainCallers stops accepting callers' connections and waits for their requests in progress.
func (li *listeners) drainCallers(ctx context.Context) error { return li.caller.Shutdown(ctx) }

func (li *listeners) close() {
	for _, hs := range li.servers() {
		_ = hs.Close()
	}
	for _, socket := range li.sockets {
		_ = socket.Close()
	}
}
