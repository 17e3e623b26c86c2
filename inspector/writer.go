package inspector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// ErrConnectionBroke means that a connection broke while a request was written, so that the end of what can be read is
// not the end of an answer.
var ErrConnectionBroke = errors.New("the connection broke within the request")

// Writer writes to a connection and keeps how that failed for whoever reads from it. The kernel reports the error of a
// broken connection once: to the write or the read that comes first. If that is a write, the reads after it return what
// has arrived and then io.EOF, as if the other side had ended the connection in order (tcp(7), SO_ERROR). One goroutine
// may write while another one reads.
type Writer struct {
	conn net.Conn

	mu sync.Mutex
	// writing is true during a write, whose end closes ended if it is not nil.
	writing bool
	ended   chan struct{}
	// failure is the first error of a write that the connection's end in order does not explain.
	failure error
}

// NewWriter returns the writer of a connection.
func NewWriter(conn net.Conn) *Writer { return &Writer{conn: conn} }

// Write writes to the connection.
func (wr *Writer) Write(data []byte) (int, error) {
	wr.begin()
	count, err := wr.conn.Write(data)
	wr.end(err)
	return count, err
}

func (wr *Writer) begin() {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.writing = true
}

func (wr *Writer) end(err error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.writing = false
	if wr.failure == nil && breaks(err) {
		wr.failure = err
	}
	if wr.ended != nil {
		close(wr.ended)
		wr.ended = nil
	}
}

// harmless are the errors of writes that do not mean that the connection broke before its end was received. The kernel
// reports EPIPE after that end, also for a reset. The others come from this side.
var harmless = []error{syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed, io.ErrClosedPipe}

// breaks reports whether a failed write means that the connection broke before its end was received.
func breaks(err error) bool {
	return err != nil && !slices.ContainsFunc(harmless, func(cause error) bool { return errors.Is(err, cause) })
}

// ReadError returns the error of a read that has returned err: ErrConnectionBroke in place of io.EOF if the connection
// did not end in order. A write that goes on is ended first, as it may have taken the connection's error and not
// returned yet; what is left of the request is of no use to the other side, which cannot answer any more.
func (wr *Writer) ReadError(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if ended := wr.ending(); ended != nil {
		_ = wr.conn.SetWriteDeadline(time.Unix(1, 0))
		<-ended
	}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.failure != nil {
		return fmt.Errorf("%w: %w", ErrConnectionBroke, wr.failure)
	}
	return err
}

// ending returns a channel that is closed at the end of the write that goes on; nil if none does.
func (wr *Writer) ending() <-chan struct{} {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.writing && wr.ended == nil {
		wr.ended = make(chan struct{})
	}
	return wr.ended
}
