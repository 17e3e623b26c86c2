package faker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// RawEnd selects how a RawServer ends a connection after its answer.
type RawEnd int

// The ends of connections. RawOpen leaves the connection open until the client closes it.
const (
	RawOpen RawEnd = iota
	// RawHalfClosed closes the sending side and reads on; RawClosed closes both sides in that order and resets the connection on what still
	// arrives.
	RawHalfClosed
	RawClosed
	// RawReset resets the connection, and RawUnread closes it with bytes of the request unread, which resets it too.
	RawReset
	RawUnread
)

// RawAnswer is what a RawServer does with a connection.
type RawAnswer struct {
	// Upload is the number of bytes of the request's body that are read first.
	Upload int64
	// Text is then written unchanged, and End is how the connection ends after it.
	Text string
	End  RawEnd
}

// RawServer is an HTTP server that writes given bytes in place of an answer to the first request on each connection.
type RawServer struct {
	socket   net.Listener
	answer   func(rq *http.Request) RawAnswer
	requests atomic.Int64
}

// NewRawServer listens on a loopback address and answers requests until Close.
func NewRawServer(answer func(rq *http.Request) RawAnswer) (*RawServer, error) {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rs := &RawServer{socket: socket, answer: answer}
	go rs.accept()
	return rs, nil
}

// Address returns the server's address, host:port.
func (rs *RawServer) Address() string { return rs.socket.Addr().String() }

// Requests returns the number of requests whose heads have arrived.
func (rs *RawServer) Requests() int64 { return rs.requests.Load() }

// Close ends the server. Connections end with their clients.
func (rs *RawServer) Close() { _ = rs.socket.Close() }

func (rs *RawServer) accept() {
	for {
		co, err := rs.socket.Accept()
		if err != nil {
			return
		}
		if tc, ok := co.(*net.TCPConn); ok {
			go rs.serve(tc)
		}
	}
}

func (rs *RawServer) serve(tc *net.TCPConn) {
	defer func() { _ = tc.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(tc))
	if err != nil {
		return
	}
	rs.requests.Add(1)
	an := rs.answer(rq)
	if _, err := io.CopyN(io.Discard, rq.Body, an.Upload); err != nil {
		return
	}
	if _, err := io.WriteString(tc, an.Text); err != nil {
		return
	}
	an.End.apply(tc)
}

// apply ends a connection, but for closing it.
func (re RawEnd) apply(tc *net.TCPConn) {
	switch re {
	case RawHalfClosed:
		_ = tc.CloseWrite()
		_, _ = io.Copy(io.Discard, tc)
	case RawClosed:
		_ = tc.CloseWrite()
		_ = tc.SetLinger(0)
	case RawReset:
		_ = tc.SetLinger(0)
	case RawUnread:
		awaitUnread(tc)
	default:
		_, _ = io.Copy(io.Discard, tc)
	}
}

// awaitUnread waits until bytes have arrived that are not read.
func awaitUnread(tc *net.TCPConn) {
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	// An error is that of the connection, which has ended then.
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK)
		return !errors.Is(err, unix.EAGAIN)
	})
}
