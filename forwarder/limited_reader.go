package forwarder

import (
	"errors"
	"math"
	"net"
	"sync/atomic"
	"time"

	"lovagebank/inspector"
)

// maxSkippedResponses is the number of responses to earlier requests that are skipped before the expected response.
const maxSkippedResponses = 4

// errBodyTooLong means that the body of a response to an earlier request exceeds its limit.
var errBodyTooLong = errors.New("response body exceeds the size limit")

// limitedReader reads from a connection: heads up to their limits, and bodies up to a number of bytes.
type limitedReader struct {
	conn net.Conn
	// writer writes to the connection. It knows whether the end of the connection's bytes is in order.
	writer *inspector.Writer
	head   *inspector.Head
	left   int64
	// received is called when bytes have arrived, and lastByteAt is when that was.
	received   func()
	lastByteAt atomic.Pointer[time.Time]
}

// Read reads from the connection. It returns an error once a limit is reached.
func (lr *limitedReader) Read(into []byte) (int, error) {
	if lr.left <= 0 {
		return 0, errBodyTooLong
	}
	if int64(len(into)) > lr.left {
		into = into[:lr.left]
	}
	count, err := lr.conn.Read(into)
	lr.left -= int64(count)
	if count > 0 {
		lr.markReceived()
		lr.received()
	}
	if tooLong := lr.head.Add(into[:count]); tooLong != nil {
		return 0, tooLong
	}
	return count, lr.writer.ReadError(err)
}

// markReceived starts the time for which nothing has been received anew.
func (lr *limitedReader) markReceived() {
	now := time.Now()
	lr.lastByteAt.Store(&now)
}

// silentFor returns for how long nothing has been received.
func (lr *limitedReader) silentFor() time.Duration {
	if at := lr.lastByteAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// beginHead bounds the head of the next response, of which some bytes have been read already.
func (lr *limitedReader) beginHead(read []byte) error {
	lr.left = math.MaxInt64
	lr.head.Begin()
	return lr.head.Add(read)
}

// limitBody sets the number of further bytes that may be read.
func (lr *limitedReader) limitBody(bytes int64) { lr.left = bytes }
