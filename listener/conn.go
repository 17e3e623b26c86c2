package listener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lovagebank/reserver"
)

// phase is what a connection waits for.
type phase int32

const (
	// phaseHeader is the time in which the header of a request arrives, phaseHandling that in which the request is
	// handled, and phaseIdle that between two requests.
	phaseHeader phase = iota
	phaseHandling
	phaseIdle
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	address  string

	phase atomic.Int32
	// since is when the phase began, in nanoseconds since clockStart.
	since atomic.Int64
	// scan follows the header that arrives, and headerBytes is its length so far. Only the connection's goroutine and
	// the reads that net/http makes for it use them, one at a time.
	scan        headerScan
	headerBytes int64
	// longHeader is the memory reserved for a long header, in bytes.
	longHeader atomic.Int64
	// cutShort is true once a header with too many fields has been cut short.
	cutShort bool
	// deadlineSet is when the write deadline was set last.
	deadlineSet time.Time
	// response is the holder of the memory of the response that is being written; nil for none. stall replaces
	// Options.WriteStall for it; 0 for no change. Only the handler uses them. aborted is true once the response has
	// been given up.
	response *reserver.Holder
	stall    time.Duration
	aborted  atomic.Bool
}

// clockStart is the origin of the times kept in atomic integers.
var clockStart = time.Now()

func (co *Conn) setPhase(ph phase) {
	co.since.Store(int64(time.Since(clockStart)))
	co.phase.Store(int32(ph))
}

func (co *Conn) state() (ph phase, since time.Time) {
	return phase(co.phase.Load()), clockStart.Add(time.Duration(co.since.Load()))
}

// handled records the end of a request's handler.
func (co *Conn) handled() {
	if held := co.longHeader.Swap(0); held > 0 {
		co.listener.op.Reserver.Release(reserver.Connections, held)
	}
}

// idle records that the next request may begin. net/http has read the rest of the last request by then.
func (co *Conn) idle() {
	co.scan.next()
	co.headerBytes = 0
	co.setPhase(phaseIdle)
}

// Read reads from the connection. While a header arrives, it counts its lines, and ends it where it has too many: the request is
// refused then, and nothing more is read.
func (co *Conn) Read(buffer []byte) (int, error) {
	if co.cutShort {
		return 0, io.EOF
	}
	count, err := co.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if phase(co.phase.Load()) == phaseHandling {
		co.scan.skip(buffer[:count])
		return count, err
	}
	if phase(co.phase.Load()) == phaseIdle {
		co.setPhase(phaseHeader)
	}
	most := co.listener.op.MaxHeaderFields
	if end, ok := co.scan.add(buffer[:count], most); !ok {
		co.cutShort = true
		co.listener.count(ReasonFields)
		return endHeader(buffer, end), nil
	}
	if !co.reserveHeader(int64(count)) {
		co.listener.count(ReasonMemory)
		return 0, io.EOF
	}
	return count, err
}

// endHeader ends a header after the given number of bytes in the buffer, which end a line, and returns the number of bytes
// with the end.
func endHeader(buffer []byte, end int) int {
	const headerEnd = "\r\n"
	end = min(end, len(buffer)-len(headerEnd))
	return end + copy(buffer[end:], headerEnd)
}

// reserveHeader reserves memory for the bytes of a header beyond what every connection has.
func (co *Conn) reserveHeader(count int64) bool {
	re := co.listener.op.Reserver
	co.headerBytes += count
	if re == nil || co.headerBytes <= longHeaderStep || co.scan.ended {
		return true
	}
	co.listener.mu.Lock()
	defer co.listener.mu.Unlock()
	for 2*co.headerBytes > co.longHeader.Load() {
		if !co.listener.open[co] || !re.Reserve(reserver.Connections, 2*longHeaderStep) {
			return false
		}
		co.longHeader.Add(2 * longHeaderStep)
	}
	return true
}

// maxWrite is the largest part of a response that is written under one deadline, in bytes, and maxTrackedWrite that of
// a response whose progress counts.
const (
	maxWrite        = 64 << 10
	maxTrackedWrite = 16 << 10
)

// Write writes to the connection. The deadline is renewed for each part, so a client that reads slowly but steadily is served.
func (co *Conn) Write(data []byte) (int, error) {
	most := maxWrite
	if co.response != nil {
		most = maxTrackedWrite
	}
	written := 0
	for {
		part := data[written:min(len(data), written+most)]
		co.renewDeadline()
		count, err := co.Conn.Write(part)
		written += count
		if co.response != nil && count > 0 {
			co.response.Moved(int64(count))
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			co.listener.count(ReasonUnread)
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (co *Conn) renewDeadline() {
	stall := co.listener.op.WriteStall
	if co.stall > 0 {
		stall = co.stall
	}
	if stall <= 0 {
		return
	}
	// The deadline is not set for each write, as that costs as much as a small write itself.
	if now := time.Now(); co.stall > 0 || now.Sub(co.deadlineSet) >= stall/4 {
		co.deadlineSet = now
		_ = co.SetWriteDeadline(now.Add(stall))
	}
	// A response that has been given up meanwhile has its deadline in the past, which must stay.
	if co.aborted.Load() {
		co.Abort()
	}
}

// Abort ends writes to the connection at once, so that it is closed. It does not block.
func (co *Conn) Abort() {
	co.aborted.Store(true)
	_ = co.SetWriteDeadline(time.Unix(1, 0))
}

// BeginUnframed begins an answer whose end only the end of the connection marks: however the connection ends before EndUnframed
// is called, with the process too, it is reset, so that the answer does not look whole.
func (co *Conn) BeginUnframed() { co.setLinger(0) }

// EndUnframed makes the connection end in the ordinary way again.
func (co *Conn) EndUnframed() { co.setLinger(-1) }

// setLinger sets what Close does with bytes that were not sent: 0 discards them and resets the connection, a negative number
// sends them.
func (co *Conn) setLinger(seconds int) {
	if lc, ok := co.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lc.SetLinger(seconds)
	}
}

// Track names the holder of the memory of the response that is written from now on, whose progress is recorded there;
// nil for none. A stall other than 0 is how long its client may take no bytes.
func (co *Conn) Track(ho *reserver.Holder, stall time.Duration) {
	co.response, co.stall = ho, stall
	co.deadlineSet = time.Time{}
}

// Close closes the connection and releases what is reserved for it.
func (co *Conn) Close() error {
	co.listener.mu.Lock()
	co.listener.forget(co)
	co.listener.mu.Unlock()
	return co.Conn.Close()
}

// CloseWrite shuts down the writing side, after which net/http waits half a second for the client to read the response.
// What the client has sent is discarded, so that the kernel does not hold it for that time.
func (co *Conn) CloseWrite() error {
	co.discardReceived()
	if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return tc.CloseWrite()
	}
	return nil
}

// discarded receives nothing: with MSG_TRUNC the kernel drops bytes of a stream without copying them. Its length bounds one call.
var discarded [64 << 10]byte

// discardReceived drops the bytes that the kernel holds for the connection, and narrows the window.
func (co *Conn) discardReceived() {
	tc, ok := co.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil || tc.SetReadDeadline(time.Time{}) != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		setWindow(int(fd), minWindow)
		const maxCalls = 16
		for range maxCalls {
			if count, _, err := unix.Recvfrom(int(fd), discarded[:], unix.MSG_TRUNC|unix.MSG_DONTWAIT); count <= 0 || err != nil {
				break
			}
		}
		return true
	})
}

const (
	// minWindow is the receive window while no large body is being read, in bytes. What a client sends while nobody
	// reads stays in the kernel's memory.
	minWindow = 16 << 10
	// minReceiveBuffer is the kernel's usual receive buffer before it adapts it, in bytes of data. Setting it keeps the
	// kernel from enlarging buffer and window by itself. A smaller one would drop bytes that the first window has
	// allowed.
	minReceiveBuffer = 64 << 10
	// maxWindow bounds the window of a large body: a round trip of 1 ms leaves 128 MB/s.
	maxWindow = 128 << 10
	// maxUnsent limits the bytes of a response that the kernel keeps without having sent them. It does not limit what is in
	// flight.
	maxUnsent = 16 << 10
)

// limitBuffers bounds the kernel's buffers of a connection.
func (co *Conn) limitBuffers() {
	co.setOptions(func(fd int) {
		setWindow(fd, minWindow)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}

// SetWindow sets the receive window: how many bytes of a body the kernel may hold that have not been read yet.
func (co *Conn) SetWindow(bytes int) {
	co.setOptions(func(fd int) { setWindow(fd, min(max(bytes, minWindow), maxWindow)) })
}

func setWindow(fd, bytes int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, max(bytes, minReceiveBuffer))
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
}

func (co *Conn) setOptions(set func(fd int)) {
	tc, ok := co.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { set(int(fd)) })
}

// discard closes a connection that was not admitted, without keeping its state for a later end.
func discard(conn net.Conn) {
	if tc, ok := conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = conn.Close()
}

// headerScan counts the lines of the header of a request as it arrives.
type headerScan struct {
	lines int
	// text is true if the current line has a byte other than a carriage return.
	text  bool
	ended bool
}

// add scans further bytes. It returns false, and where the last allowed line ends, if the header has more than the
// given number of lines beside the request line; 0 for no limit.
func (hs *headerScan) add(data []byte, most int) (end int, ok bool) {
	if hs.ended || most <= 0 {
		hs.skip(data)
		return 0, true
	}
	for at := 0; at < len(data); {
		length := bytes.IndexByte(data[at:], '\n')
		if length < 0 {
			hs.noteText(data[at:])
			return 0, true
		}
		hs.noteText(data[at : at+length])
		at += length + 1
		if !hs.text {
			hs.ended = true
			hs.skip(data[at:])
			return 0, true
		}
		hs.text = false
		if hs.lines++; hs.lines > most+1 {
			return at, false
		}
	}
	return 0, true
}

func (hs *headerScan) noteText(part []byte) {
	hs.text = hs.text || len(part) > 1 || len(part) == 1 && part[0] != '\r'
}

// skip notes bytes that arrive while a request is handled: its body, or the beginning of the next header, which net/http buffers.
func (hs *headerScan) skip(data []byte) {
	if at := bytes.LastIndexByte(data, '\n'); at >= 0 {
		hs.text, data = false, data[at+1:]
	}
	hs.noteText(data)
}

// next prepares for the next header, of which net/http may have a part already.
func (hs *headerScan) next() {
	hs.lines, hs.ended = 0, false
}
