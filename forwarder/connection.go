package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lovagebank/inspector"
)

const (
	// maxInlineBody is the size in bytes up to which a request body is written before the response is read. A longer body
	// is written while the response is read, because a target may respond before it has read the whole body.
	maxInlineBody = 16 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the target does not state its own timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleMargin is how long before the target's own idle timeout a connection is no longer used.
	idleMargin = 600 * time.Millisecond
	// maxSkippedBody limits the body of a skipped response to an earlier request, in bytes.
	maxSkippedBody = 1 << 20
)

// connection is one connection to a target. It serves one request at a time.
type connection struct {
	pool    *pool
	conn    net.Conn
	writer  *inspector.Writer
	limited *limitedReader
	reader  *bufio.Reader
	reused  bool
	// lastID is the ID of the last request; an extra response to it may still come.
	lastID  string
	aborted atomic.Bool
	// idleTimeout is how long the connection may stay idle; 0 means that it must not be reused.
	idleTimeout time.Duration
	idleSince   time.Time
	// written is closed when the whole request has been written; nil for a request that was written at once.
	written chan struct{}
}

// abort makes all current and further reads and writes fail.
func (co *connection) abort() {
	co.aborted.Store(true)
	_ = co.conn.SetDeadline(time.Unix(1, 0))
}

// close closes the connection. If bytes of a request have not reached the target's machine, they are discarded, as the
// request has ended; an orderly close would still deliver them, however much later.
func (co *connection) close() {
	if lc, ok := co.conn.(interface{ SetLinger(seconds int) error }); ok && unacknowledged(co.conn) > 0 {
		_ = lc.SetLinger(0)
	}
	_ = co.conn.Close()
	co.limited.head.Release()
	co.pool.connectionClosed(co)
}

// unacknowledged returns the number of bytes that were written to a connection and not acknowledged by the other side;
// 0 if it is not known.
func unacknowledged(conn net.Conn) int {
	if counter, ok := conn.(interface{ Unacknowledged() (int, error) }); ok {
		count, _ := counter.Unacknowledged()
		return count
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	if err := raw.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return count
}

// usable reports whether an idle connection is still open and holds no unread bytes.
func (co *connection) usable() bool {
	if bc, ok := co.conn.(interface{ Broken() bool }); ok {
		return !bc.Broken()
	}
	sc, ok := co.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		count, readErr := syscall.Read(int(fd), one[:])
		open = count < 0 && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && open
}

// roundTrip writes the request and reads the head of its response. It skips interim responses and extra responses to
// earlier requests.
func (co *connection) roundTrip(rq *Request) (*http.Response, error) {
	if err := co.writeRequest(rq); err != nil {
		return nil, err
	}
	if err := co.beginHead(); err != nil {
		return nil, err
	}
	for skipped := 0; skipped <= maxSkippedResponses; {
		rs, err := http.ReadResponse(co.reader, &http.Request{Method: rq.Method})
		if err != nil {
			return nil, &SendError{cause: err, mayHaveRun: true}
		}
		// An answer that ends with an error closes its connection.
		inspector.CheckTrailer(rs, func() {})
		if rs.StatusCode < http.StatusOK {
			continue
		}
		if co.matches(rs, rq) {
			return rs, nil
		}
		if rs.Close || rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
			return nil, &SendError{cause: errUnmatchedResponse, mayHaveRun: true}
		}
		skipped++
		co.limited.limitBody(2 * maxSkippedBody)
		if _, err := io.CopyN(io.Discard, rs.Body, maxSkippedBody); !errors.Is(err, io.EOF) {
			return nil, &SendError{cause: errUnmatchedResponse, mayHaveRun: true}
		}
		if err := co.beginHead(); err != nil {
			return nil, err
		}
	}
	return nil, &SendError{cause: errUnmatchedResponse, mayHaveRun: true}
}

// beginHead bounds the head of the next response, the part that is in the reader's buffer included.
func (co *connection) beginHead() error {
	// The buffered bytes can always be peeked at.
	buffered, _ := co.reader.Peek(co.reader.Buffered())
	if err := co.limited.beginHead(buffered); err != nil {
		return &SendError{cause: err, mayHaveRun: true}
	}
	return nil
}

// matches reports whether a response belongs to the request. An extra response to an earlier request names that request's
// ID, or none. So on a reused connection a response has to name the request.
func (co *connection) matches(rs *http.Response, rq *Request) bool {
	id := rq.ResponseID(rs.Header)
	if id == "" {
		return !co.reused
	}
	return id == rq.ID
}

func (co *connection) writeRequest(rq *Request) error {
	buffer := rq.head()
	if len(rq.Body) <= maxInlineBody {
		buffer.Write(rq.Body)
		count, err := co.writer.Write(buffer.Bytes())
		if err != nil {
			return &SendError{cause: err, mayHaveRun: count > 0}
		}
		return nil
	}
	if count, err := co.writer.Write(buffer.Bytes()); err != nil {
		return &SendError{cause: err, mayHaveRun: count > 0}
	}
	written := make(chan struct{})
	co.written = written
	go func() {
		if _, err := co.writer.Write(rq.Body); err == nil {
			close(written)
		}
	}()
	return nil
}

// release returns the connection to its pool, or closes it if it cannot be reused: the request is not fully written, unread
// bytes are left, or it was aborted or must not stay idle.
func (co *connection) release() {
	whole := true
	if co.written != nil {
		select {
		case <-co.written:
			co.written = nil
		default:
			whole = false
		}
	}
	if !whole || co.idleTimeout <= 0 || co.reader.Buffered() > 0 || co.aborted.Load() {
		co.close()
		return
	}
	co.limited.head.Release()
	co.reused, co.idleSince = true, time.Now()
	co.pool.put(co)
}

// keep returns a connection on which nothing was sent to its pool.
func (co *connection) keep() {
	if !co.reused {
		co.idleTimeout, co.idleSince = defaultIdleTimeout, time.Now()
	}
	co.pool.put(co)
}

// idleTimeout returns how long a connection may stay idle after a response; 0 means that it must not be reused.
func idleTimeout(rs *http.Response) time.Duration {
	if rs.Close || rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
		return 0
	}
	for _, field := range strings.Split(rs.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return defaultIdleTimeout
}
