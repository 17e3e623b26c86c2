package acceptor

import (
	"errors"
	"io"
	"time"

	"lovagebank/listener"
	"lovagebank/reserver"
)

const (
	// firstResponse is the size of the first buffer of a response, and smallResponse that up to which a response is buffered
	// without a reservation, in bytes.
	firstResponse = 512
	smallResponse = 8 << 10
	// maxResponseWait limits the wait for memory for a response. While it lasts, the target's connection is held up.
	maxResponseWait = 100 * time.Millisecond
	// shortStall is how long a caller may take no part of a response that could not be buffered because memory is short: the
	// target's connection is in use until it has.
	shortStall = 300 * time.Millisecond
)

// responseBuffer holds a response until its caller has read it.
type responseBuffer struct {
	ex *exchange
	// conn is the caller's connection; nil if it is not one of a Listener.
	conn *listener.Conn
	// held is the memory reserved for the response; nil for a small one.
	held *reserver.Holder
	data []byte
}

// read reads a response up to maxBufferedBody. It returns false if the response is longer or if there is no memory for the
// rest.
func (rb *responseBuffer) read(rs io.Reader) (whole bool, err error) {
	rb.data = make([]byte, 0, firstResponse)
	for {
		if len(rb.data) == cap(rb.data) && !rb.grow() {
			return false, nil
		}
		count, err := rs.Read(rb.data[len(rb.data):cap(rb.data)])
		rb.data = rb.data[:len(rb.data)+count]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow enlarges the buffer and, above smallResponse, its reservation. It returns false at maxBufferedBody or if memory is short.
func (rb *responseBuffer) grow() bool {
	const factor = 4
	if len(rb.data) >= maxBufferedBody {
		return false
	}
	size := min(factor*cap(rb.data), maxBufferedBody)
	if size > smallResponse {
		if rb.held == nil {
			rb.held = rb.ex.ac.op.Reserver.Open(reserver.Responses, nil)
		}
		if !rb.held.Reserve(int64(size), maxResponseWait) {
			return false
		}
	}
	grown := make([]byte, len(rb.data), size)
	copy(grown, rb.data)
	rb.data = grown
	return true
}

// beginWrite starts to track how fast the caller reads the response: if memory is short, the callers that read least are
// disconnected.
func (rb *responseBuffer) beginWrite(whole bool) {
	rb.conn = listener.FromContext(rb.ex.r.Context())
	if rb.held == nil || rb.conn == nil {
		return
	}
	stall := time.Duration(0)
	if !whole && len(rb.data) < maxBufferedBody {
		stall = shortStall
	}
	rb.conn.Track(rb.held, stall)
	rb.held.SetShed(rb.conn.Abort)
}

// release releases the memory of the response.
func (rb *responseBuffer) release() {
	if rb.held == nil {
		return
	}
	rb.held.Close()
	if rb.conn != nil {
		rb.conn.Track(nil, 0)
	}
}
