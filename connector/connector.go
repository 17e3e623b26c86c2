// Package connector opens authenticated connections to other instances, and authenticates the calls of other instances.
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
	// maxHeaderBytes limits the head of a peer's answer.
	maxHeaderBytes = 64 << 10
	// pingIdleTime is the time without received data after which a connection is checked with an HTTP/2 ping.
	pingIdleTime = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// Options configures a Connector.
type Options struct {
	// Secret is shared by all instances of a deployment; empty if mutual TLS replaces it.
	Secret string
	// TLS is the configuration for mutual TLS; nil for connections without TLS.
	TLS *tls.Config
	// Dial opens a connection; nil means that of a net.Dialer with a timeout of 2 seconds.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Connector caches the clients of all peers. Requests and control messages use separate connections, so that a long
// response does not delay a heartbeat.
type Connector struct {
	options      Options
	control      *http.Client
	data         *http.Client
	controlBytes atomic.Int64

	mu    sync.Mutex
	peers map[string]*Peer
}

// Peer holds the clients of the RPC services of one other instance.
type Peer struct {
	execution     wireconnect.ExecutionServiceClient
	limits        wireconnect.LimitServiceClient
	leases        wireconnect.LeaseServiceClient
	claims        wireconnect.ClaimServiceClient
	configuration wireconnect.ConfigurationServiceClient
	membership    wireconnect.MembershipServiceClient
}

// New returns a connector. It opens connections when clients make calls.
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
		// The fields of a head count with 32 bytes each beside their own.
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
}

// Peer returns the clients for the instance at an address (IP:port), and creates them on first use.
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

// Retain drops the clients of all addresses but the live ones.
func (co *Connector) Retain(live map[string]bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for address := range co.peers {
		if !live[address] {
			delete(co.peers, address)
		}
	}
}

// ControlBytes returns the total bytes sent and received on the control connections that this instance opened.
func (co *Connector) ControlBytes() int64 { return co.controlBytes.Load() }

// Close closes idle connections.
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

// countedConn adds the bytes read and written on a connection to a shared counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (cc *countedConn) Read(buffer []byte) (int, error) {
	read, err := cc.Conn.Read(buffer)
	cc.bytes.Add(int64(read))
	return read, err
}

// Write writes to the connection and counts the bytes.
func (cc *countedConn) Write(data []byte) (int, error) {
	written, err := cc.Conn.Write(data)
	cc.bytes.Add(int64(written))
	return written, err
}

// Execution returns the client of the execution service, which runs requests.
func (pe *Peer) Execution() wireconnect.ExecutionServiceClient { return pe.execution }

// Limits returns the client of the limit service, which lends tokens of rate limit buckets.
func (pe *Peer) Limits() wireconnect.LimitServiceClient { return pe.limits }

// Leases returns the client of the lease service, which asks successors for promises not to take records over.
func (pe *Peer) Leases() wireconnect.LeaseServiceClient { return pe.leases }

// Claims returns the client of the claim service, which commits claims of requests that must not be repeated.
func (pe *Peer) Claims() wireconnect.ClaimServiceClient { return pe.claims }

// Configuration returns the client of the configuration service, which fetches configuration.
func (pe *Peer) Configuration() wireconnect.ConfigurationServiceClient { return pe.configuration }

// Membership returns the client of the membership service, which exchanges membership and targets.
func (pe *Peer) Membership() wireconnect.MembershipServiceClient { return pe.membership }

// Protocols returns the protocols of the listener for peers: HTTP/2 with or without TLS, and HTTP/1.1.
func Protocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}
