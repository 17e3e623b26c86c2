package faker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// RawEnd selects how a RawServer ends a connection after its answer.
type RawEnd int

// The ends of connections. RawOpen leaves the connection open until the client closes it.
const (
	RawOpen RawEnd = iota
	// RawHalfClosed closes the sending side and reads on; RawClosed closes both sides in that order and resets the
	// connection on what still arrives.
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
	// Text is then written unchanged, and End is how the connection ends after it, once Until is closed; nil for at once.
	Text  string
	Until <-chan struct{}
	End   RawEnd
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
	if an.Until != nil {
		<-an.Until
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
		awaitAcknowledged(tc)
		_ = tc.SetLinger(0)
	case RawReset:
		_ = tc.SetLinger(0)
	case RawUnread:
		awaitUnread(tc)
	default:
		_, _ = io.Copy(io.Discard, tc)
	}
}

// ackInterval is the time between two looks at what the other side has acknowledged.
const ackInterval = 100 * time.Microsecond

// awaitAcknowledged waits until the other side has received all that was written, the end of the stream included. A
// reset discards what has not arrived, so that nothing would tell the end from a part.
func awaitAcknowledged(tc *net.TCPConn) {
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	for waiting := 1; waiting > 0; time.Sleep(ackInterval) {
		waiting = 0
		// An error is that of a connection that has ended.
		_ = raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
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

// RawHead is the head of an answer, with interim heads before it if there are any, without the empty line at its end.
type RawHead struct {
	// Text names the answer's fields but for those that the test adds.
	Text string
	// Malformed is true if it is no head of HTTP/1.1.
	Malformed bool
}

// With returns the head with a further field and the empty line at its end.
func (rh RawHead) With(field string) string {
	end := "\r\n"
	if !strings.Contains(rh.Text, end) {
		end = "\n"
	}
	return rh.Text + field + end + end
}

// RawHeads returns heads by name: malformed ones, and unusual ones that RFC 9110 and RFC 9112 allow. Each states a body
// of length bytes in the way that its name says; a malformed one may state another.
func RawHeads(length int) map[string]RawHead {
	size := strconv.Itoa(length)
	ok := "HTTP/1.1 200 OK\r\n"
	stated := "Content-Length: " + size + "\r\n"
	return map[string]RawHead{
		"status 000":                           {"HTTP/1.1 000 None\r\n" + stated, true},
		"status 000 without a reason":          {"HTTP/1.1 000\r\n" + stated, true},
		"status 000 before an answer":          {"HTTP/1.1 000 None\r\n\r\n" + ok + stated, true},
		"status 001":                           {"HTTP/1.1 001 One\r\n" + stated, true},
		"status 099":                           {"HTTP/1.1 099 Almost\r\n" + stated, true},
		"status 099 before an answer":          {"HTTP/1.1 099 Almost\r\n\r\n" + ok + stated, true},
		"status with a sign":                   {"HTTP/1.1 +20 OK\r\n" + stated, true},
		"status of minus zero":                 {"HTTP/1.1 -00 OK\r\n" + stated, true},
		"status of two digits":                 {"HTTP/1.1 20 OK\r\n" + stated, true},
		"status of four digits":                {"HTTP/1.1 2000 OK\r\n" + stated, true},
		"status in hexadecimal":                {"HTTP/1.1 0xC OK\r\n" + stated, true},
		"another protocol that was not asked":  {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ok + stated, true},
		"a control byte in the reason":         {"HTTP/1.1 200 O\x01K\r\n" + stated, true},
		"a blank before a name":                {ok + " Odd: x\r\n" + stated, true},
		"a tab before a name":                  {ok + "\tOdd: x\r\n" + stated, true},
		"a blank in a name":                    {ok + "Odd Name: x\r\n" + stated, true},
		"a blank after a name":                 {ok + "Odd : x\r\n" + stated, true},
		"a tab in a name":                      {ok + "Odd\tName: x\r\n" + stated, true},
		"a tab after a name":                   {ok + "Odd\t: x\r\n" + stated, true},
		"a zero byte before a name":            {ok + "\x00Odd: x\r\n" + stated, true},
		"a zero byte in a name":                {ok + "O\x00dd: x\r\n" + stated, true},
		"a zero byte after a name":             {ok + "Odd\x00: x\r\n" + stated, true},
		"a delete byte in a name":              {ok + "O\x7fdd: x\r\n" + stated, true},
		"a carriage return in a name":          {ok + "O\rdd: x\r\n" + stated, true},
		"a byte above ASCII in a name":         {ok + "\xc3\x96dd: x\r\n" + stated, true},
		"an empty name":                        {ok + ": x\r\n" + stated, true},
		"a line without a colon":               {ok + "Odd\r\n" + stated, true},
		"a blank before Content-Length":        {ok + "Odd: x\r\n Content-Length: " + size + "\r\n", true},
		"a tab before Transfer-Encoding":       {ok + "Odd: x\r\n\ttransfer-encoding: chunked\r\n", true},
		"blanks around Transfer-Encoding":      {ok + "Odd: x\r\n \t Transfer-Encoding : chunked\r\n", true},
		"a blank after Content-Length":         {ok + "Content-Length : " + size + "\r\n", true},
		"a blank in Content-Length":            {ok + "Content -Length: " + size + "\r\n", true},
		"a control byte after Content-Length":  {ok + "Content-Length\x0b: " + size + "\r\n", true},
		"a blank after a shorter length":       {ok + "Content-Length : 1\r\n" + stated, true},
		"a blank after Transfer-Encoding":      {ok + "Transfer-Encoding : chunked\r\n", true},
		"a blank in Transfer-Encoding":         {ok + "Transfer -Encoding: chunked\r\n", true},
		"a control byte in Transfer-Encoding":  {ok + "Transfer-\x01Encoding: chunked\r\n", true},
		"a control byte in an encoding":        {ok + "Transfer-Encoding: \x0bchunked\r\n", true},
		"chunks in HTTP/1.0":                   {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", true},
		"a zero byte in a value":               {ok + "Odd: a\x00b\r\n" + stated, true},
		"a control byte in a value":            {ok + "Odd: a\x01b\r\n" + stated, true},
		"a carriage return in a value":         {ok + "Odd: a\rb\r\n" + stated, true},
		"a blank in a name of an interim head": {"HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + ok + stated, true},
		"a zero byte in an interim head":       {"HTTP/1.1 103 Early Hints\r\nOdd: \x00\r\n\r\n" + ok + stated, true},
		"text in place of a head":              {"answer\r\n" + stated, true},

		"a length":                     {ok + stated, false},
		"an empty reason":              {"HTTP/1.1 200 \r\n" + stated, false},
		"no reason":                    {"HTTP/1.1 200\r\n" + stated, false},
		"several blanks":               {"HTTP/1.1   200  OK\r\n" + stated, false},
		"bytes above ASCII in reasons": {"HTTP/1.1 200 \xc3\xb6\t(ok)\r\n" + stated, false},
		"odd tokens":                   {ok + "!#$%&'*+-.^_`|~09aZ: x\r\n" + stated, false},
		"an odd value":                 {ok + "Odd: \t \x80\xff \"(,)\" : x\t\r\n" + stated, false},
		"an empty value":               {ok + "Odd:\r\n" + stated, false},
		"a value on several lines":     {ok + "Odd: a\r\n b: c\r\n\tTransfer Encoding: x\r\n" + stated, false},
		"a value that names a framing": {ok + "Odd: a\r\n the Content-Length: 1\r\nOdd: Content-Length: 1\r\n" + stated, false},
		"a length on the next line":    {ok + "Content-Length:\r\n " + size + "\r\n", false},
		"lines that end with LF":       {"HTTP/1.1 200 OK\nContent-Length: " + size + "\n", false},
		"interim heads":                {"HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + stated, false},
		"HTTP/1.0 with a length":       {"HTTP/1.0 200 OK\r\n" + stated, false},
	}
}

// RawTrailers returns the trailers of answers in chunks by name.
func RawTrailers() map[string]RawHead {
	return map[string]RawHead{
		"a blank before a trailer's name":       {" Odd: x\r\n", true},
		"a blank in a trailer's name":           {"Odd Name: x\r\n", true},
		"a blank after a trailer's name":        {"Odd : x\r\n", true},
		"a blank in the second name":            {"Odd: x\r\nOdd Name: x\r\n", true},
		"a control byte in a trailer's name":    {"O\x01dd: x\r\n", true},
		"a zero byte in a trailer's value":      {"Odd: \x00\r\n", true},
		"a line without a colon in the trailer": {"Odd\r\n", true},
		"no trailer":                            {"", false},
		"a trailer":                             {"Odd: x\r\n!#$%&'*+-.^_`|~09aZ: \xff\r\n", false},
	}
}
