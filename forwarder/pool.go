package forwarder

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// unacknowledgedTimeoutMs is the TCP user timeout: how long sent bytes may stay unacknowledged before the connection
	// fails, in milliseconds.
	unacknowledgedTimeoutMs = 1500
	// probeAfter is the idle time before TCP keep-alive probes start, probeInterval the time between two probes, and
	// probeCount the number of unanswered probes after which the connection fails.
	probeAfter    = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// dialer opens TCP connections to targets.
var dialer = &net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedTimeoutMs)
		})
		if err != nil {
			return err
		}
		return optionErr
	},
}

// pool holds the connections to one target.
type pool struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	idle    []*connection
	open    int
	maxOpen int
	// closed means that the target has departed, so that returned connections are closed.
	closed bool
}

func newPool(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *pool {
	return &pool{address: address, dial: dial}
}

func (po *pool) setMaxOpen(most int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.maxOpen = most
}

// get returns an idle connection that is still usable, or opens a new one.
func (po *pool) get(ctx context.Context) (*connection, error) {
	for {
		co := po.popIdle()
		if co == nil {
			break
		}
		if time.Since(co.idleSince) < co.idleTimeout && co.usable() {
			return co, nil
		}
		co.close()
	}
	if !po.reserve() {
		return nil, ErrNoConnection
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := po.dial(dialCtx, "tcp4", po.address)
	if err != nil {
		po.connectionClosed()
		return nil, err
	}
	limited := &limitedReader{conn: conn}
	return &connection{pool: po, conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize)}, nil
}

func (po *pool) popIdle() *connection {
	po.mu.Lock()
	defer po.mu.Unlock()
	last := len(po.idle) - 1
	if last < 0 {
		return nil
	}
	co := po.idle[last]
	po.idle = po.idle[:last]
	return co
}

func (po *pool) reserve() bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.maxOpen > 0 && po.open >= po.maxOpen {
		return false
	}
	po.open++
	return true
}

func (po *pool) put(co *connection) {
	po.mu.Lock()
	closed := po.closed
	if !closed {
		po.idle = append(po.idle, co)
	}
	po.mu.Unlock()
	if closed {
		co.close()
	}
}

func (po *pool) connectionClosed() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.open--
}

// closeIdle closes all idle connections.
func (po *pool) closeIdle() {
	po.mu.Lock()
	idle := po.idle
	po.idle = nil
	po.mu.Unlock()
	for _, co := range idle {
		co.close()
	}
}

// closeAll closes all idle connections at once, and the others when their requests end.
func (po *pool) closeAll() {
	po.mu.Lock()
	po.closed = true
	po.mu.Unlock()
	po.closeIdle()
}
