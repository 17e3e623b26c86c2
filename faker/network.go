package faker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// maxDialTime is how long the opening of a connection is tried if its context does not end before.
const maxDialTime = 700 * time.Millisecond

// firstNetworkPort is the first port that a Network assigns.
const firstNetworkPort = 20000

// PathState is the state of the path from a host to an address.
type PathState int

const (
	// PathOpen means that connections work.
	PathOpen PathState = iota
	// PathSilent means that nothing arrives. Bytes that are on their way arrive when the path is open again, unless their sender has reset
	// the connection; new connections are never opened.
	PathSilent
	// PathReset means that connections are reset, open and new ones.
	PathReset
	// PathKeepsOpen means that open connections work, while new ones are never opened.
	PathKeepsOpen
	// PathResetsOpened means that connections are opened and then reset, open ones too.
	PathResetsOpened
)

// Network is a network in memory for tests with virtual time. Its connections have buffers, deadlines and a delay. It is safe for
// concurrent use.
type Network struct {
	delay time.Duration
	// userTimeout is how long bytes may stay unacknowledged before their connection fails at the sender.
	userTimeout time.Duration

	mu        sync.Mutex
	listeners map[string]*networkListener
	paths     map[pathKey]PathState
	open      map[*networkConn]pathKey
	nextPort  int
	// opened counts the connections that have been opened, by path.
	opened map[pathKey]int
}

type pathKey struct{ from, to string }

// NewNetwork returns a network with the given one-way delay. Bytes that stay unacknowledged for the user timeout fail their connection.
func NewNetwork(delay, userTimeout time.Duration) *Network {
	return &Network{
		delay: delay, userTimeout: userTimeout, listeners: make(map[string]*networkListener), paths: make(map[pathKey]PathState),
		open: make(map[*networkConn]pathKey), nextPort: firstNetworkPort, opened: make(map[pathKey]int),
	}
}

// Listen opens a listener at an address; port 0 selects a free port. It returns an error if the address is in use.
func (nw *Network) Listen(_, address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if port == "0" {
		nw.nextPort++
		port = strconv.Itoa(nw.nextPort)
	}
	address = net.JoinHostPort(host, port)
	if _, ok := nw.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "tcp4", Err: syscall.EADDRINUSE}
	}
	li := &networkListener{network: nw, address: networkAddress(address), accepted: make(chan *networkConn, 1024), done: make(chan struct{})}
	nw.listeners[address] = li
	return li, nil
}

// DialFrom returns a function that opens connections from a host.
func (nw *Network) DialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return nw.dial(ctx, from, address) }
}

// SetPath changes the state of the path from a host to an address.
func (nw *Network) SetPath(from, to string, state PathState) {
	key := pathKey{from, to}
	nw.mu.Lock()
	nw.paths[key] = state
	var affected []*networkConn
	for co, other := range nw.open {
		if other == key {
			affected = append(affected, co)
		}
	}
	nw.mu.Unlock()
	for _, co := range affected {
		co.pathChanged(state)
	}
}

// Opened returns the number of connections that a host has opened to an address.
func (nw *Network) Opened(from, to string) int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.opened[pathKey{from, to}]
}

func (nw *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	key := pathKey{from, address}
	ctx, cancel := context.WithTimeout(ctx, maxDialTime)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil, dialError(ctx.Err())
	case <-time.After(2 * nw.delay):
	}
	nw.mu.Lock()
	state, li := nw.paths[key], nw.listeners[address]
	nw.mu.Unlock()
	switch {
	case state == PathSilent || state == PathKeepsOpen:
		<-ctx.Done()
		return nil, dialError(ctx.Err())
	case state == PathReset || li == nil:
		return nil, dialError(syscall.ECONNREFUSED)
	}
	up, down := newNetworkStream(), newNetworkStream()
	near := &networkConn{network: nw, in: down, out: up, local: networkAddress(from), remote: networkAddress(address)}
	far := &networkConn{network: nw, in: up, out: down, local: networkAddress(address), remote: networkAddress(from)}
	near.other, far.other = far, near
	nw.mu.Lock()
	nw.open[near], nw.open[far] = key, key
	nw.opened[key]++
	nw.mu.Unlock()
	if state == PathResetsOpened {
		time.AfterFunc(nw.delay, func() { near.abort(syscall.ECONNRESET) })
		return near, nil
	}
	select {
	case li.accepted <- far:
		return near, nil
	case <-li.done:
		near.abort(syscall.ECONNREFUSED)
		return nil, dialError(syscall.ECONNREFUSED)
	}
}

// dialError is the error of a connection that was not opened.
func dialError(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		cause = fmt.Errorf("%w: i/o timeout", cause)
	}
	return &net.OpError{Op: "dial", Net: "tcp4", Err: cause}
}

// state returns the state of a connection's path.
func (nw *Network) state(co *networkConn) PathState {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.paths[nw.open[co]]
}

func (nw *Network) forget(co *networkConn) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.open, co)
}

// networkAddress is an address of the form host:port, or a host.
type networkAddress string

// Network returns the name of the network.
func (networkAddress) Network() string { return "tcp" }

// String returns the address.
func (na networkAddress) String() string { return string(na) }

// networkListener is a listener of a Network.
type networkListener struct {
	network  *Network
	address  networkAddress
	accepted chan *networkConn
	done     chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (li *networkListener) Accept() (net.Conn, error) {
	select {
	case co := <-li.accepted:
		return co, nil
	case <-li.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address. Connections that were not accepted are reset.
func (li *networkListener) Close() error {
	li.once.Do(func() {
		close(li.done)
		li.network.mu.Lock()
		delete(li.network.listeners, string(li.address))
		li.network.mu.Unlock()
		for {
			select {
			case co := <-li.accepted:
				co.abort(syscall.ECONNRESET)
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (li *networkListener) Addr() net.Addr { return li.address }

// Close resets all connections that are still open.
func (nw *Network) Close() {
	nw.mu.Lock()
	open := make([]*networkConn, 0, len(nw.open))
	for co := range nw.open {
		open = append(open, co)
	}
	nw.mu.Unlock()
	for _, co := range open {
		co.abort(syscall.ECONNRESET)
	}
}
