package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"lovagebank/configurer"
	"lovagebank/connector"
	"lovagebank/listener"
	"lovagebank/reserver"
)

// listeners are the three sockets of an instance: for callers, for peers and for operators.
type listeners struct {
	caller   *http.Server
	peer     *http.Server
	operator *http.Server
	requests *callerRequests
	sockets  []net.Listener
	bounded  []*listener.Listener
	failed   chan error
}

const (
	// maxHeaderFields limits the fields of a header, of which callers and proxies send a few dozen. Each costs net/http some 200
	// bytes, however short it is.
	maxHeaderFields = 256
	// perAddressShare is the share of the callers' connections that one address may have.
	perAddressShare = 0.75
	// maxPeerConnections and maxOperatorConnections limit the connections of peers and operators.
	maxPeerConnections     = 1024
	maxOperatorConnections = 256
	// connectionMemoryShare is the share of the memory for connections that the connections themselves may take; the
	// rest is for long headers.
	connectionMemoryShare = 0.75
)

// memoryBudget returns the budget for what callers hold; without a limit if none is set.
func memoryBudget(st *configurer.Settings) reserver.Options {
	if st.Limits().Memory() == 0 {
		return reserver.Options{}
	}
	return reserver.ForMemory(st.Limits().Memory(), 2*st.Limits().BodyBytes())
}

// limitsOf returns the limits on the connections of a socket by its position: callers, peers, operators. Answers to
// callers have write deadlines of their own; a peer or an operator may take no byte for as long as a caller.
func limitsOf(st *configurer.Settings, at int, re *reserver.Reserver) listener.Options {
	op := listener.Options{}
	switch at {
	case 0:
		op.MaxHeaderFields = maxHeaderFields
		op.MaxConnections, op.Reserver = int(st.Limits().Connections()), re
		if budget := memoryBudget(st); budget.Total > 0 {
			byMemory := connectionMemoryShare * float64(budget.Limits[reserver.Connections]) / listener.ConnectionBytes
			op.MaxConnections = min(op.MaxConnections, int(byMemory))
		}
		op.MaxPerAddress = max(int(perAddressShare*float64(op.MaxConnections)), 1)
	case 1:
		op.MaxConnections = maxPeerConnections
	default:
		op.MaxHeaderFields = maxHeaderFields
		op.MaxConnections, op.WriteStall = maxOperatorConnections, st.Limits().CallerSilenceTime()
	}
	return op
}

// listen opens all three sockets, so that an invalid address is reported before anything starts.
func listen(
	st *configurer.Settings, caller, peer, operator http.Handler, secure *tls.Config, re *reserver.Reserver,
) (*listeners, error) {
	requests := newCallerRequests()
	li := &listeners{
		requests: requests,
		caller:   newHTTPServer(st, requests.handler(caller)),
		peer:     newHTTPServer(st, peer),
		operator: newHTTPServer(st, operator),
		failed:   make(chan error, 3),
	}
	li.peer.Protocols = connector.Protocols()
	li.peer.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams}
	for at, address := range []string{st.CallerAddress(), st.PeerAddress(), st.OperatorAddress()} {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			li.close()
			return nil, err
		}
		bounded := listener.Wrap(socket, limitsOf(st, at, re))
		// Peers use HTTP/2, whose requests the connection does not see one by one.
		if at != 1 {
			bounded.Attach(li.servers()[at])
		}
		li.sockets, li.bounded = append(li.sockets, bounded), append(li.bounded, bounded)
	}
	if secure != nil {
		li.sockets[1] = tls.NewListener(li.sockets[1], secure)
	}
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
			if err := hs.Serve(li.sockets[at]); !li.closedInOrder(at, err) {
				li.failed <- err
			}
		}()
	}
}

// closedInOrder reports whether a socket whose server has ended with an error was closed by this instance.
func (li *listeners) closedInOrder(at int, err error) bool {
	return errors.Is(err, http.ErrServerClosed) || at == 0 && li.requests.refusing.Load()
}

// closed returns the number of connections that were closed or refused to protect the instance, by reason.
func (li *listeners) closed() map[listener.Reason]int64 {
	counts := make(map[listener.Reason]int64)
	for _, bounded := range li.bounded {
		for reason, count := range bounded.Closed() {
			counts[reason] += count
		}
	}
	return counts
}

func (li *listeners) servers() []*http.Server { return []*http.Server{li.caller, li.peer, li.operator} }

// drainCallers stops accepting callers' connections and waits for their requests in progress. The server stays until then: after
// its Shutdown, net/http would drop a request on a connection that was opened before, without an answer.
func (li *listeners) drainCallers(ctx context.Context) error {
	li.requests.refusing.Store(true)
	_ = li.sockets[0].Close()
	err := li.requests.drain(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	_ = li.caller.Shutdown(ctx)
	return err
}

func (li *listeners) close() {
	for _, hs := range li.servers() {
		_ = hs.Close()
	}
	for _, socket := range li.sockets {
		_ = socket.Close()
	}
}
