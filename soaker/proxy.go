package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkDelay is how much a delayed link holds back each piece of data.
const linkDelay = 80 * time.Millisecond

// copySize is the size of the pieces that a link moves.
const copySize = 16 << 10

// link is a proxy before one address. Faults that overlap count: a link is healthy once all have ended.
type link struct {
	listener net.Listener
	done     chan struct{}

	mu     sync.Mutex
	to     string
	faults map[Kind]int
	open   map[net.Conn]bool
}

func newLink(to string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	li := &link{
		listener: listener, done: make(chan struct{}), to: to, faults: make(map[Kind]int), open: make(map[net.Conn]bool),
	}
	go li.run()
	return li, nil
}

func (li *link) address() string { return li.listener.Addr().String() }

// lead has new connections go to another address.
func (li *link) lead(to string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.to = to
}

// strike begins a fault; the returned function ends it.
func (li *link) strike(kind Kind) func() {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.faults[kind]++
	if kind == KindReset {
		for conn := range li.open {
			reset(conn)
		}
	}
	return func() {
		li.mu.Lock()
		defer li.mu.Unlock()
		li.faults[kind]--
	}
}

func (li *link) struck(kinds ...Kind) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, kind := range kinds {
		if li.faults[kind] > 0 {
			return true
		}
	}
	return false
}

func (li *link) close() {
	_ = li.listener.Close()
	<-li.done
	li.mu.Lock()
	defer li.mu.Unlock()
	for conn := range li.open {
		_ = conn.Close()
	}
}

func (li *link) run() {
	defer close(li.done)
	for {
		near, err := li.listener.Accept()
		if err != nil {
			return
		}
		if li.struck(KindReset) {
			reset(near)
			continue
		}
		go li.join(near)
	}
}

// join connects a caller with the address that the link leads to.
func (li *link) join(near net.Conn) {
	li.mu.Lock()
	to := li.to
	li.mu.Unlock()
	far, err := net.Dial("tcp4", to)
	if err != nil {
		reset(near)
		return
	}
	li.mu.Lock()
	li.open[near], li.open[far] = true, true
	li.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { li.move(far, near, KindCutRequests) })
	both.Go(func() { li.move(near, far, KindCutAnswers) })
	both.Wait()
	li.mu.Lock()
	defer li.mu.Unlock()
	delete(li.open, near)
	delete(li.open, far)
}

// move carries data one way. While the link is cut that way or silent, data is read and lost, and the connection's end
// isn't passed on either.
func (li *link) move(to, from net.Conn, cut Kind) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	piece := make([]byte, copySize)
	lossy := false
	for {
		count, err := from.Read(piece)
		if li.struck(KindDelay) {
			time.Sleep(linkDelay)
		}
		lossy = lossy || li.struck(KindSilent, cut)
		for errors.Is(err, io.EOF) && lossy && li.struck(KindSilent, cut) {
			time.Sleep(linkDelay)
		}
		if lossy && err == nil {
			// What follows a gap would be taken for something else.
			continue
		}
		if count > 0 && !lossy {
			if _, err := to.Write(piece[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset ends a connection without a last word.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
