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
)

const (
	// shortBody is the size up to which a body is written before the answer is read; a longer one is written
	// meanwhile, as a target may answer before it has read it.
	shortBody = 16 << 10
	// idleDefault is how long a connection is kept where the target does not say when it closes it.
	idleDefault = 2 * time.Second
	// idleMargin is how long before the target's own time-out a connection is no longer used.
	idleMargin = 600 * time.Millisecond
	// maxSkipped bounds the bytes of an answer to an earlier request that are skipped.
	maxSkipped = 1 << 20
)

// connection is one connection to a target; one request uses it at a time.
type connection struct {
	pool    *pool
	conn    net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	reused  bool
	aborted atomic.Bool
	// idleFor is how long it may stay idle; 0 means that it must not be used again.
	idleFor   time.Duration
	idleSince time.Time
	// written is closed when the whole request has been written; nil for one that was written at once.
	written chan struct{}
}

// abort makes all reads and writes fail.
func (co *connection) abort() {
	co.aborted.Store(true)
	_ = co.conn.SetDeadline(time.Unix(1, 0))
}

func (co *connection) close() {
	_ = co.conn.Close()
	co.pool.dropped()
}

// alive tells whether an idle connection is still open and holds no unread bytes.
func (co *connection) alive() bool {
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

// exchange writes the request and reads the head of its answer.
func (co *connection) exchange(rq *Request) (*Response, error) {
	if err := co.write(rq); err != nil {
		return nil, err
	}
	co.limited.limit(maxHead)
	for skipped := 0; skipped <= maxSkippedAnswers; {
		//nolint:bodyclose // Answer.Close ends the exchange; closing the body would read the rest of a long one.
		rs, err := http.ReadResponse(co.reader, &http.Request{Method: rq.Method})
		if err != nil {
			return nil, &SendError{cause: err, mayHaveRun: true, silent: isTimeout(err) && !co.aborted.Load()}
		}
		if rs.StatusCode < http.StatusOK {
			continue
		}
		if co.belongs(rs, rq) {
			co.limited.unlimit()
			return newAnswer(co, rs), nil
		}
		if rs.Close || rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
			return nil, &SendError{cause: errWrongAnswer, mayHaveRun: true}
		}
		skipped++
		co.limited.limit(maxSkipped + maxHead)
		if _, err := io.CopyN(io.Discard, rs.Body, maxSkipped); !errors.Is(err, io.EOF) {
			return nil, &SendError{cause: errWrongAnswer, mayHaveRun: true}
		}
		co.limited.limit(maxHead)
	}
	return nil, &SendError{cause: errWrongAnswer, mayHaveRun: true}
}

// belongs tells whether an answer is that of the request. An extra answer to an earlier request names that one; only
// failures may name none.
func (co *connection) belongs(rs *http.Response, rq *Request) bool {
	id := rq.ResponseID(rs.Header)
	if id == "" {
		return rq.ID == "" || !co.reused || rs.StatusCode >= http.StatusMultipleChoices
	}
	return id == rq.ID
}

func (co *connection) write(rq *Request) error {
	buffer := rq.head()
	if len(rq.Body) <= shortBody {
		buffer.Write(rq.Body)
		count, err := co.conn.Write(buffer.Bytes())
		if err != nil {
			return &SendError{cause: err, mayHaveRun: count > 0, silent: isTimeout(err) && !co.aborted.Load()}
		}
		return nil
	}
	if count, err := co.conn.Write(buffer.Bytes()); err != nil {
		return &SendError{cause: err, mayHaveRun: count > 0, silent: isTimeout(err) && !co.aborted.Load()}
	}
	written := make(chan struct{})
	co.written = written
	go func() {
		if _, err := co.conn.Write(rq.Body); err == nil {
			close(written)
		}
	}()
	return nil
}

// finish returns the connection to its pool, or closes it where anything is left over.
func (co *connection) finish() {
	whole := true
	if co.written != nil {
		select {
		case <-co.written:
			co.written = nil
		default:
			whole = false
		}
	}
	if !whole || co.idleFor <= 0 || co.reader.Buffered() > 0 || co.aborted.Load() {
		co.close()
		return
	}
	co.reused, co.idleSince = true, time.Now()
	co.pool.put(co)
}

// idleTime is how long the connection of an answer may stay idle; 0 means that it must not be used again.
func idleTime(rs *http.Response) time.Duration {
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
	return idleDefault
}
