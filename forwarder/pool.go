package forwarder

import (
	"bufio"
	"context"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lovagebank/inspector"
)

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// unacknowledgedTimeoutMs is the TCP user timeout: how long sent bytes may stay unacknowledged before the connection
	// fails, in milliseconds. A sound target may be silent for a second or so. It is longer than probeAfter and probeInterval
	// together, as it also decides when probes give up, whatever their number.
	unacknowledgedTimeoutMs = 2500
	// probeAfter is the idle time before TCP keep-alive probes start, probeInterval the time between two probes, and
	// probeCount the number of unanswered probes after which the connection fails.
	probeAfter    = time.Second
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
	target Target
	op     Options

	mu   sync.Mutex
	idle []*connection
	// used are the connections that carry a request; true if it may be abandoned.
	used    map[*connection]bool
	open    int
	maxOpen int
	// closed means that the target has departed, so that returned connections are closed.
	closed bool
}

func newPool(ta Target, op Options) *pool {
	return &pool{target: ta, op: op, used: make(map[*connection]bool)}
}

func (po *pool) setMaxOpen(most int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.maxOpen = most
}

// get returns an idle connection that is still usable for the request with the given ID, or opens a new one. An extra
// response could not be distinguished from that to the request if the connection has carried the same one before, or if
// the request has no ID.
func (po *pool) get(ctx context.Context, id string) (*connection, error) {
	for {
		co := po.popIdle()
		if co == nil {
			break
		}
		tellsApart := !co.reused || id != "" && co.lastID != id
		if tellsApart && time.Since(co.idleSince) < co.idleTimeout && co.usable() {
			return co, nil
		}
		co.close()
	}
	return po.openNew(ctx)
}

// openNew opens a connection.
func (po *pool) openNew(ctx context.Context) (*connection, error) {
	if !po.reserve() {
		return nil, ErrNoConnection
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := po.op.Dial(dialCtx, "tcp4", po.target.Address)
	if ctx.Err() == nil {
		po.op.Opened(po.target.ID, err)
	}
	if err != nil {
		po.connectionClosed(nil)
		return nil, err
	}
	writer := inspector.NewWriter(conn)
	limited := &limitedReader{conn: conn, writer: writer, head: inspector.NewHead(po.op.Budget), received: po.op.Received}
	return &connection{
		pool: po, conn: conn, writer: writer, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize),
	}, nil
}

// use records that a connection carries a request, which may be repeated or not.
func (po *pool) use(co *connection, repeatable bool) {
	co.limited.markReceived()
	po.mu.Lock()
	defer po.mu.Unlock()
	po.used[co] = repeatable
}

// abortUsed aborts the connections in use that the function selects, and returns their number.
func (po *pool) abortUsed(selects func(co *connection, repeatable bool) bool) int {
	po.mu.Lock()
	used := maps.Clone(po.used)
	po.mu.Unlock()
	count := 0
	for co, repeatable := range used {
		if selects(co, repeatable) {
			co.abort()
			count++
		}
	}
	return count
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
	delete(po.used, co)
	closed := po.closed
	if !closed {
		po.idle = append(po.idle, co)
	}
	po.mu.Unlock()
	if closed {
		co.close()
	}
}

// connectionClosed records that a connection has been closed; nil stands for one that could not be opened.
func (po *pool) connectionClosed(co *connection) {
	po.mu.Lock()
	defer po.mu.Unlock()
	delete(po.used, co)
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
