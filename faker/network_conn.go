package faker

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// networkStream carries the bytes of one direction of a connection.
type networkStream struct {
	mu sync.Mutex
	// arrived are the bytes that can be read, and held those that wait until the path is open again.
	arrived []byte
	held    []byte
	// ended is set once no more bytes are sent; it is true to the receiver once all held bytes have arrived. failure ends the stream at once.
	ended    bool
	failure  error
	deadline time.Time
	// changed is closed on the next change.
	changed chan struct{}
}

func newNetworkStream() *networkStream { return &networkStream{changed: make(chan struct{})} }

// update changes the stream and wakes its readers.
func (ns *networkStream) update(change func()) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	change()
	close(ns.changed)
	ns.changed = make(chan struct{})
}

// read waits for bytes, the end of the stream or its deadline.
func (ns *networkStream) read(into []byte) (int, error) {
	for {
		ns.mu.Lock()
		count, err, changed, deadline := ns.take(into), ns.endError(), ns.changed, ns.deadline
		ns.mu.Unlock()
		switch {
		case count > 0:
			return count, nil
		case err != nil:
			return 0, err
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return 0, os.ErrDeadlineExceeded
		}
		awaitChange(changed, deadline)
	}
}

// take returns bytes that have arrived; none after a failure.
func (ns *networkStream) take(into []byte) int {
	if ns.failure != nil {
		return 0
	}
	count := copy(into, ns.arrived)
	ns.arrived = ns.arrived[count:]
	return count
}

// endError returns how the stream has ended, without bytes that are left to read; nil if it has not.
func (ns *networkStream) endError() error {
	if ns.failure != nil {
		return ns.failure
	}
	if ns.ended && len(ns.held) == 0 {
		return io.EOF
	}
	return nil
}

func awaitChange(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// networkConn is one end of a connection of a Network.
type networkConn struct {
	network       *Network
	in, out       *networkStream
	other         *networkConn
	local, remote networkAddress

	mu            sync.Mutex
	closed        bool
	writeDeadline time.Time
	// discards is set if closing the connection resets it.
	discards bool

	// deliveries orders the arrival of what has been sent; nil stands for the end of the stream.
	deliveries sync.Mutex
	sent       [][]byte
}

// Read reads bytes that have arrived.
func (co *networkConn) Read(into []byte) (int, error) { return co.in.read(into) }

// Write sends bytes, which arrive after the network's delay. It never blocks.
func (co *networkConn) Write(bytes []byte) (int, error) {
	co.mu.Lock()
	closed, deadline := co.closed, co.writeDeadline
	co.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	co.out.mu.Lock()
	failure := co.out.failure
	co.out.mu.Unlock()
	if failure != nil {
		return 0, failure
	}
	co.send(append([]byte{}, bytes...))
	return len(bytes), nil
}

// send makes bytes, or the end of the stream, arrive after the network's delay.
func (co *networkConn) send(bytes []byte) {
	co.deliveries.Lock()
	defer co.deliveries.Unlock()
	co.sent = append(co.sent, bytes)
	time.AfterFunc(co.network.delay, co.deliver)
}

// deliver makes the next bytes arrive, or holds them while the path is silent.
func (co *networkConn) deliver() {
	co.deliveries.Lock()
	defer co.deliveries.Unlock()
	bytes := co.sent[0]
	co.sent = co.sent[1:]
	if bytes == nil {
		co.out.update(func() { co.out.ended = true })
		co.forgetIfDone()
		return
	}
	silent := co.network.state(co) == PathSilent
	co.out.update(func() {
		if silent || len(co.out.held) > 0 {
			co.out.held = append(co.out.held, bytes...)
			return
		}
		co.out.arrived = append(co.out.arrived, bytes...)
	})
	if silent {
		time.AfterFunc(co.network.userTimeout, co.failIfHeld)
	}
}

// failIfHeld fails the connection at the sender if bytes are still held.
func (co *networkConn) failIfHeld() {
	co.out.mu.Lock()
	held := len(co.out.held) > 0
	co.out.mu.Unlock()
	if held && co.network.state(co) == PathSilent {
		co.out.update(func() { co.out.held = nil })
		co.in.update(func() { co.in.failure = syscall.ETIMEDOUT })
	}
}

// pathChanged applies a new state of the path to an open connection.
func (co *networkConn) pathChanged(state PathState) {
	switch state {
	case PathReset, PathResetsOpened:
		co.abort(syscall.ECONNRESET)
	case PathOpen, PathKeepsOpen:
		co.out.update(func() { co.out.arrived, co.out.held = append(co.out.arrived, co.out.held...), nil })
		co.forgetIfDone()
	}
}

// forgetIfDone makes the network forget this end once all that it has sent has arrived.
func (co *networkConn) forgetIfDone() {
	co.out.mu.Lock()
	done := co.out.ended && len(co.out.held) == 0
	co.out.mu.Unlock()
	if done {
		co.network.forget(co)
	}
}

// abort ends the connection at both ends with an error. Bytes on their way are lost.
func (co *networkConn) abort(cause error) {
	for _, ns := range []*networkStream{co.in, co.out} {
		ns.update(func() { ns.held, ns.failure = nil, cause })
	}
	co.network.forget(co)
	co.network.forget(co.other)
}

// Broken reports whether the connection has ended, or bytes have arrived that were not asked for.
func (co *networkConn) Broken() bool {
	co.in.mu.Lock()
	defer co.in.mu.Unlock()
	return co.in.endError() != nil || len(co.in.arrived) > 0
}

// SetLinger sets whether Close resets the connection, as with SO_LINGER of 0.
func (co *networkConn) SetLinger(seconds int) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.discards = seconds == 0
	return nil
}

// Unacknowledged returns the number of bytes that were written and have not arrived.
func (co *networkConn) Unacknowledged() (int, error) {
	co.out.mu.Lock()
	defer co.out.mu.Unlock()
	return len(co.out.held), nil
}

// Close ends the connection. Bytes on their way still arrive unless it is reset.
func (co *networkConn) Close() error {
	co.mu.Lock()
	closed, discards := co.closed, co.discards
	co.closed = true
	co.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	if discards {
		co.abort(syscall.ECONNRESET)
		return nil
	}
	co.in.update(func() { co.in.failure = net.ErrClosed })
	co.send(nil)
	return nil
}

// LocalAddr returns the address of this end.
func (co *networkConn) LocalAddr() net.Addr { return co.local }

// RemoteAddr returns the address of the other end.
func (co *networkConn) RemoteAddr() net.Addr { return co.remote }

// SetDeadline sets the deadlines of reads and writes.
func (co *networkConn) SetDeadline(at time.Time) error {
	_ = co.SetWriteDeadline(at)
	return co.SetReadDeadline(at)
}

// SetReadDeadline sets the deadline of reads.
func (co *networkConn) SetReadDeadline(at time.Time) error {
	co.in.update(func() { co.in.deadline = at })
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (co *networkConn) SetWriteDeadline(at time.Time) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.writeDeadline = at
	return nil
}
