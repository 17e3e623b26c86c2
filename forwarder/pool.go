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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 300 * time.Millisecond
	// unacknowledgedMs is how long sent bytes may go unacknowledged before the connection fails, in milliseconds.
	unacknowledgedMs = 1500
	// probeAfter and probeInterval are when a silent connection is probed, and probeCount how often.
	probeAfter    = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

var dialer = &net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedMs)
		})
		if err != nil {
			return err
		}
		return optionErr
	},
}

// pool keeps the connections to one target.
type pool struct {
	address string

	mu   sync.Mutex
	idle []*connection
	open int
	most int
	// closed pools keep no connection: their target is gone.
	closed bool
}

func newPool(address string) *pool { return &pool{address: address} }

func (po *pool) setMost(most int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.most = most
}

// take returns a kept connection that is still open, or opens one.
func (po *pool) take(ctx context.Context) (*connection, error) {
	for {
		co := po.newest()
		if co == nil {
			break
		}
		if time.Since(co.idleSince) < co.idleFor && co.alive() {
			return co, nil
		}
		co.close()
	}
	if !po.reserve() {
		return nil, ErrNoConnection
	}
	conn, err := dialer.DialContext(ctx, "tcp4", po.address)
	if err != nil {
		po.dropped()
		return nil, err
	}
	limited := &limitedReader{conn: conn}
	return &connection{pool: po, conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer)}, nil
}

func (po *pool) newest() *connection {
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
	if po.most > 0 && po.open >= po.most {
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

func (po *pool) dropped() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.open--
}

// flush closes all idle connections.
func (po *pool) flush() {
	po.mu.Lock()
	idle := po.idle
	po.idle = nil
	po.mu.Unlock()
	for _, co := range idle {
		co.close()
	}
}

// shut closes all idle connections, and each other one when its request ends.
func (po *pool) shut() {
	po.mu.Lock()
	po.closed = true
	po.mu.Unlock()
	po.flush()
}
