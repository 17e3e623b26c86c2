// Package collector reads the bodies of requests into memory that is reserved as they arrive.
package collector

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"lovagebank/listener"
	"lovagebank/reserver"
)

// Errors that Read returns. Other errors are those of the connection.
var (
	// ErrTooLarge means that the body is longer than the limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrStalled means that the body stopped arriving, or arrives too slowly.
	ErrStalled = errors.New("the body stopped arriving")
	// ErrNoMemory means that memory is short and other bodies make more progress.
	ErrNoMemory = errors.New("no memory for the body")
)

const (
	// smallBody is the size up to which a body is part of what is reserved for its connection, in bytes.
	smallBody = 8 << 10
	// unknownBody is the size of the first buffer of a body whose length is not declared, in bytes.
	unknownBody = 1 << 10
	// bodyStall is how long a body may stop before the request is refused. Two losses of a packet in a row end within 2 s.
	bodyStall = 5 * time.Second
	// minBodyRate is the rate in bytes per second at which a body has to arrive on average, after bodyHeadStart, so
	// that a client cannot hold memory by sending single bytes.
	minBodyRate   = 1 << 10
	bodyHeadStart = 10 * time.Second
	// maxMemoryWait limits the wait for memory for a body. Nothing is read from the caller meanwhile.
	maxMemoryWait = time.Second
)

// Options configures the reading of a body.
type Options struct {
	// Reserver holds the budget.
	Reserver *reserver.Reserver
	// Limit is the largest size of the body in bytes, and Deadline the time by which it has to be complete.
	Limit    int64
	Deadline time.Time
}

// Body is a body that has been read, and the memory that it holds.
type Body struct {
	data []byte
	// held is the memory reserved for the body; nil for a small one.
	held *reserver.Holder
}

// Data returns the bytes of the body.
func (bo *Body) Data() []byte { return bo.data }

// Release releases the memory of the body. Further calls do nothing.
func (bo *Body) Release() {
	if bo.held != nil {
		bo.held.Close()
	}
}

// reader reads the body of a request into a buffer that grows as the body arrives.
type reader struct {
	op      Options
	r       *http.Request
	control *http.ResponseController
	body    Body
	began   time.Time
	// deadline is the deadline of reads that is set.
	deadline time.Time
}

// Read reads the body of a request. After an error nothing more may be read of it. An error of the connection that is a
// deadline means that Options.Deadline has passed.
func Read(w http.ResponseWriter, r *http.Request, op Options) (*Body, error) {
	declared := r.ContentLength
	if declared == 0 {
		return &Body{}, nil
	}
	if declared > op.Limit {
		return nil, ErrTooLarge
	}
	first := int64(unknownBody)
	if declared > 0 {
		first = min(declared, smallBody)
	}
	re := &reader{
		op: op, r: r, control: http.NewResponseController(w), began: time.Now(), body: Body{data: make([]byte, 0, first)},
	}
	if err := re.read(declared); err != nil {
		re.body.Release()
		return nil, err
	}
	// If the read deadline expired while the request runs, net/http would report the caller as disconnected.
	_ = re.control.SetReadDeadline(time.Time{})
	return &re.body, nil
}

// read reads the body to its end.
func (re *reader) read(declared int64) error {
	re.renewDeadline(re.began)
	for {
		data := re.body.data
		if len(data) == cap(data) && int64(len(data)) != declared {
			if err := re.grow(declared); err != nil {
				return err
			}
			data = re.body.data
		}
		count, err := re.r.Body.Read(data[len(data):cap(data)])
		re.body.data = data[:len(data)+count]
		if re.body.held != nil && count > 0 {
			re.body.held.Moved(int64(count))
		}
		if int64(len(re.body.data)) > re.op.Limit {
			return ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return re.complete()
		}
		if err != nil {
			return re.failed(err)
		}
		re.renewDeadline(time.Now())
	}
}

// complete moves the memory of the body, which has arrived whole, to the requests in progress.
func (re *reader) complete() error {
	if re.body.held == nil {
		return nil
	}
	re.setWindow(0)
	if !re.body.held.Complete(int64(len(re.body.data)), maxMemoryWait) {
		return ErrNoMemory
	}
	return nil
}

// failed returns the error of a body of which no more arrives.
func (re *reader) failed(err error) error {
	switch {
	case re.body.held != nil && re.body.held.IsShed():
		return ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded) && re.deadline.Before(re.op.Deadline):
		return ErrStalled
	default:
		return err
	}
}

// renewDeadline sets the time by which the next bytes have to arrive. To save calls, each of which costs about as much
// as a read, it sets it again only once a part of the time has passed.
func (re *reader) renewDeadline(now time.Time) {
	byRate := re.began.Add(bodyHeadStart + time.Duration(len(re.body.data))*time.Second/minBodyRate)
	next := earliest(re.op.Deadline, now.Add(bodyStall), byRate)
	if next.Sub(re.deadline) < bodyStall/5 {
		return
	}
	re.deadline = next
	// A writer without a connection, as in tests, has no deadlines.
	_ = re.control.SetReadDeadline(next)
	// A body that is shed meanwhile has its deadline in the past, which must stay.
	if re.body.held != nil && re.body.held.IsShed() {
		re.stop()
	}
}

func earliest(times ...time.Time) time.Time {
	first := times[0]
	for _, at := range times[1:] {
		if at.Before(first) {
			first = at
		}
	}
	return first
}

// stop ends a read of the body that is waiting for bytes.
func (re *reader) stop() { _ = re.control.SetReadDeadline(time.Unix(1, 0)) }

// grow enlarges the buffer. Memory is reserved before it is allocated, and the smaller buffers stay reserved until the
// body is complete, as the runtime may not have collected them by then.
func (re *reader) grow(declared int64) error {
	const factor = 4
	data := re.body.data
	size := min(factor*int64(cap(data)), re.op.Limit+1)
	if declared > 0 {
		size = min(size, declared)
	}
	if size > smallBody {
		if re.body.held == nil {
			re.body.held = re.op.Reserver.Open(reserver.Bodies, re.stop)
			re.body.held.Moved(int64(len(data)))
		}
		if !re.body.held.Reserve(size, maxMemoryWait) {
			return ErrNoMemory
		}
		re.setWindow(int(size / 2))
	}
	re.body.data = make([]byte, len(data), size)
	copy(re.body.data, data)
	return nil
}

// setWindow lets the kernel hold so many bytes of the body that have not been read yet; 0 for as few as between requests.
func (re *reader) setWindow(bytes int) {
	if co := listener.FromContext(re.r.Context()); co != nil {
		co.SetWindow(bytes)
	}
}
