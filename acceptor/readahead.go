package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
)

const (
	// slowWriteTime is the time after which a write to the caller counts as blocked, so that the rest of the target's response
	// is buffered. Targets cut off responses that stay unread for some seconds.
	slowWriteTime = 50 * time.Millisecond
	// maxReadAhead limits what is read of one response before its caller has taken it, in bytes.
	maxReadAhead = 256 << 10
)

// errSlowCaller means that a caller reads so slowly that more than maxReadAhead of its response, or more than the budget of all
// requests allows, would have to be kept.
var errSlowCaller = errors.New("the caller reads too slowly")

// readAhead reads a target's response. While the caller keeps up, Read reads directly from the target, without a goroutine or a
// buffer. Once a write to the caller has blocked for slowWriteTime, a goroutine reads the rest of the response into a buffer,
// from which Read then reads.
type readAhead struct {
	ex    *exchange
	rs    *forwarder.Response
	sent  *balancer.PendingRequest
	timer *time.Timer

	mu      sync.Mutex
	arrived sync.Cond
	// writing is set while a write to the caller is under way, and started once the goroutine has taken over.
	writing  bool
	started  bool
	closed   bool
	buffered bytes.Buffer
	// err is why the goroutine has ended; nil while it runs.
	err   error
	ended chan struct{}
}

// newReadAhead returns a reader of a response; nil if read-ahead is off.
func (ex *exchange) newReadAhead(rs *forwarder.Response, sent *balancer.PendingRequest) *readAhead {
	if !ex.ac.op.ReadAhead {
		return nil
	}
	ra := &readAhead{ex: ex, rs: rs, sent: sent, ended: make(chan struct{})}
	ra.arrived.L = &ra.mu
	return ra
}

// reader returns the reader of the response's body.
func (ra *readAhead) reader(rs *forwarder.Response) io.Reader {
	if ra == nil {
		return rs
	}
	return ra
}

// writeBegins is called before a write to the caller, and writeEnds after it.
func (ra *readAhead) writeBegins() {
	if ra == nil {
		return
	}
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.writing = true
	switch {
	case ra.started:
	case ra.timer == nil:
		ra.timer = time.AfterFunc(slowWriteTime, ra.run)
	default:
		ra.timer.Reset(slowWriteTime)
	}
}

func (ra *readAhead) writeEnds() {
	if ra == nil {
		return
	}
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.writing = false
	ra.timer.Stop()
}

// buffering reports whether the response is read ahead of the caller, so that the times of Read do not reflect the speed of the
// target.
func (ra *readAhead) buffering() bool {
	if ra == nil {
		return false
	}
	ra.mu.Lock()
	defer ra.mu.Unlock()
	return ra.started
}

// run reads the rest of the response if the write for which the timer was set is still under way.
func (ra *readAhead) run() {
	ra.mu.Lock()
	if !ra.writing || ra.started || ra.closed {
		ra.mu.Unlock()
		return
	}
	ra.started = true
	ra.mu.Unlock()
	defer close(ra.ended)
	// After its deadline, the caller no longer waits for the response.
	ra.limitWrites(ra.ex.deadline)
	chunk := make([]byte, copyBufferSize)
	for {
		count, err := ra.rs.Read(chunk)
		if tooMuch := ra.keep(chunk[:count]); tooMuch != nil {
			err = tooMuch
		}
		if err == nil {
			continue
		}
		ra.sent.Done()
		if errors.Is(err, errSlowCaller) {
			ra.rs.Abort()
			ra.limitWrites(time.Now())
		}
		ra.mu.Lock()
		ra.err = err
		ra.arrived.Broadcast()
		ra.mu.Unlock()
		return
	}
}

// keep adds a chunk to the buffer. It returns errSlowCaller if that would exceed maxReadAhead or the budget of all requests.
func (ra *readAhead) keep(chunk []byte) error {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if ra.buffered.Len()+len(chunk) > maxReadAhead || !ra.ex.ac.op.Reserve(int64(len(chunk))) {
		return errSlowCaller
	}
	ra.buffered.Write(chunk)
	ra.arrived.Broadcast()
	return nil
}

// limitWrites sets the deadline of writes to the caller.
func (ra *readAhead) limitWrites(at time.Time) {
	// Without write deadlines, as in tests, a blocked write ends with its connection.
	_ = http.NewResponseController(ra.ex.w).SetWriteDeadline(at)
}

// Read reads the next bytes of the response.
func (ra *readAhead) Read(into []byte) (int, error) {
	ra.mu.Lock()
	if !ra.started {
		ra.mu.Unlock()
		return ra.rs.Read(into)
	}
	defer ra.mu.Unlock()
	for ra.buffered.Len() == 0 && ra.err == nil {
		ra.arrived.Wait()
	}
	if ra.buffered.Len() == 0 || errors.Is(ra.err, errSlowCaller) {
		return 0, ra.err
	}
	count, err := ra.buffered.Read(into)
	ra.ex.ac.op.Release(int64(count))
	return count, err
}

// close ends the reading. It returns when the goroutine has ended.
func (ra *readAhead) close() {
	if ra == nil {
		return
	}
	ra.mu.Lock()
	ra.closed = true
	started, ended := ra.started, ra.err != nil
	ra.mu.Unlock()
	if !started {
		return
	}
	if !ended {
		ra.rs.Abort()
	}
	<-ra.ended
	ra.ex.ac.op.Release(int64(ra.buffered.Len()))
	ra.buffered = bytes.Buffer{}
	if errors.Is(ra.err, errSlowCaller) {
		ra.ex.outcome.reason = errSlowCaller.Error()
		return
	}
	ra.limitWrites(time.Time{})
}

// writer wraps a writer to the caller so that writeBegins and writeEnds are called around each write.
func (ra *readAhead) writer(w io.Writer) io.Writer {
	if ra == nil {
		return w
	}
	return writerFunc(func(text []byte) (int, error) {
		ra.writeBegins()
		defer ra.writeEnds()
		return w.Write(text)
	})
}

// writerFunc adapts a function to io.Writer.
type writerFunc func([]byte) (int, error)

// Write calls the function.
func (wf writerFunc) Write(text []byte) (int, error) { return wf(text) }

// abortSlowCaller ends a stream whose caller reads too slowly by closing the caller's connection. It does not return.
func (ex *exchange) abortSlowCaller() sendResult {
	ex.outcome.recordError(errSlowCaller)
	ex.abort()
	return finished
}
