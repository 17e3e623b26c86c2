package faker

import (
	"net"
	"sync"
	"time"
)

// linkChunk is the most bytes that a link forwards at once, and linkRing the chunks that wait for a delay in each
// direction; when the ring is full the link reads no more.
const (
	linkChunk = 16 << 10
	linkRing  = 64
)

// healStep is the time between two looks at whether a link that loses what it carries does so still.
const healStep = 10 * time.Millisecond

// direction is one of the two ways through a link.
type direction int

const (
	requests direction = iota
	answers
	directions
)

// Link forwards TCP connections to an address. It can be cut, delayed, reset and made to lose what it carries one way or
// both, and its open connections can go silent for good while new ones work.
type Link struct {
	socket net.Listener
	done   chan struct{}
	wait   sync.WaitGroup

	mu     sync.Mutex
	target string
	cut    bool
	reset  bool
	lost   [directions]bool
	delay  time.Duration
	open   map[*linkConnection]bool
}

// linkConnection is one forwarded connection.
type linkConnection struct {
	near, far net.Conn
	// frozen is closed when the connection goes silent, and ended when it is over.
	frozen, ended chan struct{}
	freeze, end   sync.Once
}

// NewLink listens on an address and forwards what comes to a target address until Close.
func NewLink(listen, target string) (*Link, error) {
	socket, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	lk := &Link{socket: socket, target: target, done: make(chan struct{}), open: map[*linkConnection]bool{}}
	lk.wait.Go(lk.accept)
	return lk, nil
}

// Address returns the address that the link listens on.
func (lk *Link) Address() string { return lk.socket.Addr().String() }

// SetCut closes all connections and every new one, or lets them through again.
func (lk *Link) SetCut(cut bool) { lk.set(&lk.cut, cut, (*linkConnection).close) }

// SetReset resets all connections and every new one, or lets them through again.
func (lk *Link) SetReset(reset bool) { lk.set(&lk.reset, reset, (*linkConnection).reset) }

// set changes a flag and, where it is set now, ends the open connections.
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

// SetDropping makes the link lose requests, answers or both, or ends that. A connection that has lost something stays silent
// that way for good, as what follows a gap would be taken for something else; its end is told once nothing is lost.
func (lk *Link) SetDropping(lostRequests, lostAnswers bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.lost = [directions]bool{requests: lostRequests, answers: lostAnswers}
}

// SetTarget has new connections go to another address.
func (lk *Link) SetTarget(target string) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.target = target
}

// Freeze makes the open connections silent: nothing passes and neither end is told. New connections work.
func (lk *Link) Freeze() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	for _, lc := range lk.connections() {
		lc.freeze.Do(func() { close(lc.frozen) })
	}
}

// SetDelay sets the time that bytes take in one direction.
func (lk *Link) SetDelay(delay time.Duration) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.delay = delay
}

// Close stops listening, closes all connections and waits for their ends.
func (lk *Link) Close() error {
	close(lk.done)
	err := lk.socket.Close()
	lk.SetCut(true)
	lk.wait.Wait()
	return err
}

// connections returns the open connections; the caller locks.
func (lk *Link) connections() []*linkConnection {
	open := make([]*linkConnection, 0, len(lk.open))
	for lc := range lk.open {
		open = append(open, lc)
	}
	return open
}

func (lk *Link) accept() {
	for {
		near, err := lk.socket.Accept()
		if err != nil {
			select {
			case <-lk.done:
				return
			case <-time.After(time.Millisecond):
				continue
			}
		}
		lk.wait.Go(func() { lk.forward(near) })
	}
}

// forward joins an accepted connection with the target until either end closes.
func (lk *Link) forward(near net.Conn) {
	lk.mu.Lock()
	cut, reset, target := lk.cut, lk.reset, lk.target
	lk.mu.Unlock()
	if reset {
		resetConnection(near)
	}
	if cut || reset {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	lc := &linkConnection{near: near, far: far, frozen: make(chan struct{}), ended: make(chan struct{})}
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
	var both sync.WaitGroup
	both.Go(func() { lk.pump(lc, near, far, requests) })
	both.Go(func() { lk.pump(lc, far, near, answers) })
	both.Wait()
	lk.mu.Lock()
	delete(lk.open, lc)
	lk.mu.Unlock()
}

func (lc *linkConnection) close() {
	lc.end.Do(func() {
		close(lc.ended)
		_ = lc.near.Close()
		_ = lc.far.Close()
	})
}

// reset ends a connection without a last word.
func (lc *linkConnection) reset() {
	resetConnection(lc.near)
	resetConnection(lc.far)
	lc.close()
}

// resetConnection makes the close of a connection a reset.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// delayed is a chunk with the time at which it arrives.
type delayed struct {
	bytes []byte
	due   time.Time
}

// pump forwards one direction. The end of the stream is forwarded too, unless the connection is frozen.
func (lk *Link) pump(lc *linkConnection, from, to net.Conn, way direction) {
	ring := make(chan delayed, linkRing)
	var writer sync.WaitGroup
	writer.Go(func() { lc.write(ring, to) })
	silent := false
	for {
		buffer := make([]byte, linkChunk)
		count, err := from.Read(buffer)
		lk.mu.Lock()
		due := time.Now().Add(lk.delay)
		silent = silent || lk.lost[way]
		lk.mu.Unlock()
		if count > 0 && !silent {
			select {
			case ring <- delayed{buffer[:count], due}:
			case <-lc.ended:
			}
		}
		if err != nil {
			break
		}
	}
	close(ring)
	writer.Wait()
	for silent && lk.loses(way) {
		select {
		case <-time.After(healStep):
		case <-lc.ended:
			return
		}
	}
	select {
	case <-lc.frozen:
		// The other end of a silent connection is never told.
		<-lc.ended
	default:
	}
	lc.close()
}

func (lk *Link) loses(way direction) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.lost[way]
}

// write sends the chunks of one direction when they are due, and none once the connection is frozen.
func (lc *linkConnection) write(ring <-chan delayed, to net.Conn) {
	for chunk := range ring {
		select {
		case <-time.After(time.Until(chunk.due)):
		case <-lc.ended:
		}
		select {
		case <-lc.frozen:
			continue
		default:
		}
		if _, err := to.Write(chunk.bytes); err != nil {
			lc.close()
		}
	}
}
