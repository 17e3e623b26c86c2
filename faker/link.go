package faker

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"lovagebank/inspector"
)

// linkChunkBytes is the maximum number of bytes that a link forwards at once. linkQueueChunks is the maximum number of
// chunks that wait for their delay in each direction; the link stops reading while the queue is full.
const (
	linkChunkBytes  = 16 << 10
	linkQueueChunks = 64
	// listenTries and listenPause bound the attempts to listen at an address again.
	listenTries = 100
	listenPause = 50 * time.Millisecond
)

// lossPollInterval is the interval at which the link checks whether it still drops data before it closes a connection
// that has lost some.
const lossPollInterval = 10 * time.Millisecond

// direction is the direction of traffic through a link.
type direction int

const (
	requests direction = iota
	answers
	directions
)

// Link is a TCP proxy with fault injection. It can close or reset its connections, delay traffic, drop the data of one
// or both directions, and silence its open connections permanently while new ones work.
type Link struct {
	socket net.Listener
	done   chan struct{}
	tasks  sync.WaitGroup

	mu       sync.Mutex
	target   string
	cut      bool
	reset    bool
	refusing bool
	dropping [directions]bool
	delay    time.Duration
	open     map[*linkConnection]bool
}

// linkConnection is a forwarded connection with its two sides, and the writers to them.
type linkConnection struct {
	client, target             net.Conn
	clientWriter, targetWriter *inspector.Writer
	// frozen is closed when the connection is silenced, and done when it ends.
	frozen, done          chan struct{}
	freezeOnce, closeOnce sync.Once
}

// NewLink listens on an address and forwards connections to a target address until Close. Both have the form host:port.
func NewLink(listen, target string) (*Link, error) {
	socket, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	lk := &Link{socket: socket, target: target, done: make(chan struct{}), open: map[*linkConnection]bool{}}
	lk.tasks.Go(func() { lk.accept(socket) })
	return lk, nil
}

// Address returns the listen address of the link, host:port.
func (lk *Link) Address() string {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.socket.Addr().String()
}

// SetCut sets whether the link closes all connections, open and new.
func (lk *Link) SetCut(cut bool) { lk.set(&lk.cut, cut, (*linkConnection).close) }

// SetReset sets whether the link resets all connections, open and new.
func (lk *Link) SetReset(reset bool) { lk.set(&lk.reset, reset, (*linkConnection).reset) }

// SetRefusing sets whether the link refuses new connections; open ones go on. It returns an error if the address cannot be listened at again.
func (lk *Link) SetRefusing(refusing bool) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.refusing == refusing {
		return nil
	}
	if refusing {
		lk.refusing = true
		return lk.socket.Close()
	}
	socket, err := listenAgain(lk.socket.Addr().String())
	if err != nil {
		return err
	}
	lk.socket, lk.refusing = socket, false
	lk.tasks.Go(func() { lk.accept(socket) })
	return nil
}

// listenAgain listens at an address that has just been closed, which may be in use by an outgoing connection for a while.
func listenAgain(address string) (net.Listener, error) {
	var failure error
	for range listenTries {
		socket, err := net.Listen("tcp", address)
		if err == nil {
			return socket, nil
		}
		failure = err
		time.Sleep(listenPause)
	}
	return nil, failure
}

// set changes a flag and, if the flag is now set, ends the open connections.
func (lk *Link) set(flag *bool, on bool, end func(*linkConnection)) {
	lk.mu.Lock()
	*flag = on
	open := lk.connections()
	lk.mu.Unlock()
	if !on {
		return
	}
	for _, lc := range open {
		end(lc)
	}
}

// SetDropping sets whether the link drops the data of requests and of answers. A connection that has lost data stays silent
// in that direction permanently, because the receiver would misinterpret the bytes after a gap. The close of such a
// connection is forwarded once the link no longer drops data in that direction.
func (lk *Link) SetDropping(lostRequests, lostAnswers bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.dropping = [directions]bool{requests: lostRequests, answers: lostAnswers}
}

// SetTarget changes the address that new connections are forwarded to.
func (lk *Link) SetTarget(target string) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.target = target
}

// Freeze silences the open connections: no data is forwarded and neither side is notified. New connections work.
func (lk *Link) Freeze() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	for _, lc := range lk.connections() {
		lc.freezeOnce.Do(func() { close(lc.frozen) })
	}
}

// SetDelay sets the one-way delay.
func (lk *Link) SetDelay(delay time.Duration) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.delay = delay
}

// Close stops listening, closes all connections and waits for their goroutines to end.
func (lk *Link) Close() error {
	close(lk.done)
	lk.mu.Lock()
	socket, closed := lk.socket, lk.refusing
	lk.mu.Unlock()
	err := socket.Close()
	if closed {
		err = nil
	}
	lk.SetCut(true)
	lk.tasks.Wait()
	return err
}

// connections returns the open connections. The caller holds the lock.
func (lk *Link) connections() []*linkConnection {
	open := make([]*linkConnection, 0, len(lk.open))
	for lc := range lk.open {
		open = append(open, lc)
	}
	return open
}

func (lk *Link) accept(socket net.Listener) {
	for {
		client, err := socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-lk.done:
				return
			case <-time.After(time.Millisecond):
				continue
			}
		}
		lk.tasks.Go(func() { lk.forward(client) })
	}
}

// forward connects an accepted connection to the target until either side closes.
func (lk *Link) forward(client net.Conn) {
	lk.mu.Lock()
	cut, reset, address := lk.cut, lk.reset, lk.target
	lk.mu.Unlock()
	if reset {
		resetConnection(client)
	}
	if cut || reset {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	lc := &linkConnection{
		client: client, target: target, clientWriter: inspector.NewWriter(client), targetWriter: inspector.NewWriter(target),
		frozen: make(chan struct{}), done: make(chan struct{}),
	}
	lk.mu.Lock()
	lk.open[lc] = true
	cut, reset = lk.cut, lk.reset
	lk.mu.Unlock()
	switch {
	case reset:
		lc.reset()
	case cut:
		lc.close()
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { lk.pump(lc, requests) })
	pumps.Go(func() { lk.pump(lc, answers) })
	pumps.Wait()
	lk.mu.Lock()
	delete(lk.open, lc)
	lk.mu.Unlock()
}

// close closes both sides of a connection.
func (lc *linkConnection) close() { lc.end(func(net.Conn) {}) }

// closeInOrder closes both sides of a connection so that each receives the end of the stream, even if some of its bytes
// have not been read.
func (lc *linkConnection) closeInOrder() {
	lc.end(func(connection net.Conn) {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	})
}

// reset closes both sides of a connection with a TCP reset.
func (lc *linkConnection) reset() { lc.end(resetConnection) }

// end closes both sides of a connection after a preparation.
func (lc *linkConnection) end(prepare func(net.Conn)) {
	lc.closeOnce.Do(func() {
		close(lc.done)
		for _, connection := range []net.Conn{lc.client, lc.target} {
			prepare(connection)
			_ = connection.Close()
		}
	})
}

// resetConnection makes the next Close of a connection send a TCP reset.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// delayedChunk is a chunk of data with the time at which it is due for delivery.
type delayedChunk struct {
	bytes []byte
	due   time.Time
}

// pump forwards one direction of a connection. It forwards the end of the stream too, and a reset, unless the connection is frozen.
func (lk *Link) pump(lc *linkConnection, dir direction) {
	from, back, to := lc.client, lc.clientWriter, lc.targetWriter
	if dir == answers {
		from, back, to = lc.target, lc.targetWriter, lc.clientWriter
	}
	queue := make(chan delayedChunk, linkQueueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { lc.write(queue, to) })
	silent := false
	var end error
	for {
		buffer := make([]byte, linkChunkBytes)
		count, err := from.Read(buffer)
		lk.mu.Lock()
		due := time.Now().Add(lk.delay)
		silent = silent || lk.dropping[dir]
		lk.mu.Unlock()
		if count > 0 && !silent {
			select {
			case queue <- delayedChunk{buffer[:count], due}:
			case <-lc.done:
			}
		}
		if err != nil {
			end = back.ReadError(err)
			break
		}
	}
	close(queue)
	writer.Wait()
	if errors.Is(end, syscall.ECONNRESET) && !silent {
		lc.reset()
		return
	}
	for silent && lk.isDropping(dir) {
		select {
		case <-time.After(lossPollInterval):
		case <-lc.done:
			return
		}
	}
	select {
	case <-lc.frozen:
		// The close of a frozen connection is not forwarded to the other side.
		<-lc.done
	default:
	}
	if silent {
		// A connection that has lost bytes cannot end in order.
		lc.reset()
		return
	}
	lc.closeInOrder()
}

func (lk *Link) isDropping(dir direction) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.dropping[dir]
}

// write sends the chunks of one direction when they are due. Once the connection is frozen, it discards them. Once a
// side has failed, it takes no more: how that side has ended is found by the reads from it, after what it has sent
// before.
func (lc *linkConnection) write(queue <-chan delayedChunk, to *inspector.Writer) {
	for chunk := range queue {
		select {
		case <-time.After(time.Until(chunk.due)):
		case <-lc.done:
		}
		select {
		case <-lc.frozen:
			continue
		default:
		}
		if _, err := to.Write(chunk.bytes); err != nil {
			<-lc.done
		}
	}
}
