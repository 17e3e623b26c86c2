// Package connector opens authenticated connections to other instances, and guards the listener that they call.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lovagebank/wire/wireconnect"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 60 * time.Second
	pingAfter       = 2 * time.Second
	pingTimeout     = 2 * time.Second
)

// Options set a Connector up.
type Options struct {
	// Secret is shared by all instances of a deployment; empty where mutual TLS takes its place.
	Secret string
	// TLS makes connections with mutual TLS; nil for none.
	TLS *tls.Config
	// Dial opens a connection; nil means the network's own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Connector keeps the clients of all peers. Requests and control messages use connections of their own, so that a
// long answer does not hold up a heartbeat.
type Connector struct {
	options      Options
	control      *http.Client
	data         *http.Client
	controlBytes atomic.Int64

	mu    sync.Mutex
	peers map[string]*Peer
}

// Peer calls one other instance.
type Peer struct {
	execution     wireconnect.ExecutionServiceClient
	limits        wireconnect.LimitServiceClient
	leases        wireconnect.LeaseServiceClient
	claims        wireconnect.ClaimServiceClient
	configuration wireconnect.ConfigurationServiceClient
	membership    wireconnect.MembershipServiceClient
}

// New makes a connector.
func New(options Options) *Connector {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	co := &Connector{options: options, peers: make(map[string]*Peer)}
	co.control = &http.Client{Transport: newTransport(co.dialControl, options.TLS)}
	co.data = &http.Client{Transport: newTransport(options.Dial, options.TLS)}
	return co
}

func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), secure *tls.Config) *http.Transport {
	var protocols http.Protocols
	if secure == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Transport{
		DialContext:     dial,
		TLSClientConfig: secure,
		Protocols:       &protocols,
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

// Peer returns the clients for the instance at an address (IP:port).
func (co *Connector) Peer(address string) *Peer {
	co.mu.Lock()
	defer co.mu.Unlock()
	if pe, ok := co.peers[address]; ok {
		return pe
	}
	scheme := "http://"
	if co.options.TLS != nil {
		scheme = "https://"
	}
	pe := co.newPeer(scheme + address)
	co.peers[address] = pe
	return pe
}

func (co *Connector) newPeer(url string) *Peer {
	secret := connect.WithInterceptors(newSecretInterceptor(co.options.Secret))
	return &Peer{
		execution:     wireconnect.NewExecutionServiceClient(co.data, url, secret),
		limits:        wireconnect.NewLimitServiceClient(co.control, url, secret),
		leases:        wireconnect.NewLeaseServiceClient(co.control, url, secret),
		claims:        wireconnect.NewClaimServiceClient(co.control, url, secret),
		configuration: wireconnect.NewConfigurationServiceClient(co.control, url, secret),
		membership:    wireconnect.NewMembershipServiceClient(co.control, url, secret),
	}
}

// Retain drops the clients of addresses that no live instance has.
func (co *Connector) Retain(live map[string]bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for address := range co.peers {
		if !live[address] {
			delete(co.peers, address)
		}
	}
}

// ControlBytes returns the bytes sent and received on control connections that this instance opened.
func (co *Connector) ControlBytes() int64 { return co.controlBytes.Load() }

// Close drops idle connections.
func (co *Connector) Close() {
	co.control.CloseIdleConnections()
	co.data.CloseIdleConnections()
}

func (co *Connector) dialControl(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := co.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &co.controlBytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (cc *countedConn) Read(into []byte) (int, error) {
	read, err := cc.Conn.Read(into)
	cc.bytes.Add(int64(read))
	return read, err
}

// Write counts what it writes.
func (cc *countedConn) Write(from []byte) (int, error) {
	written, err := cc.Conn.Write(from)
	cc.bytes.Add(int64(written))
	return written, err
}

// Execution returns the client that runs requests.
func (pe *Peer) Execution() wireconnect.ExecutionServiceClient { return pe.execution }

// Limits returns the client that lends tokens.
func (pe *Peer) Limits() wireconnect.LimitServiceClient { return pe.limits }

// Leases returns the client that asks for promises.
func (pe *Peer) Leases() wireconnect.LeaseServiceClient { return pe.leases }

// Claims returns the client that commits claims.
func (pe *Peer) Claims() wireconnect.ClaimServiceClient { return pe.claims }

// Configuration returns the client that fetches configuration.
func (pe *Peer) Configuration() wireconnect.ConfigurationServiceClient { return pe.configuration }

// Membership returns the client that exchanges membership.
func (pe *Peer) Membership() wireconnect.MembershipServiceClient { return pe.membership }

// Protocols returns what the listener for peers speaks: HTTP/2 with or without TLS, and HTTP/1.1.
func Protocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}
