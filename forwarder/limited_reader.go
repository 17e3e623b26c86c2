package forwarder

import (
	"errors"
	"math"
	"net"
)

const (
	// maxHead bounds the head of an answer, with those of answers that are skipped before it, in bytes. A target in trouble
	// may send without end.
	maxHead = 64 << 10
	// maxSkippedAnswers is the number of answers to earlier requests that are skipped before the one that is waited for.
	maxSkippedAnswers = 4
)

// errLongHead means that what a target sends is no head of an answer, or that of none that is waited for.
var errLongHead = errors.New("the head of the answer does not end")

// limitedReader reads from a connection up to a number of bytes.
type limitedReader struct {
	conn net.Conn
	left int64
}

// Read reads from the connection, until the limit.
func (lr *limitedReader) Read(into []byte) (int, error) {
	if lr.left <= 0 {
		return 0, errLongHead
	}
	if int64(len(into)) > lr.left {
		into = into[:lr.left]
	}
	count, err := lr.conn.Read(into)
	lr.left -= int64(count)
	return count, err
}

// limit lets so many bytes more be read.
func (lr *limitedReader) limit(bytes int64) { lr.left = bytes }

// unlimit lets any number of bytes be read.
func (lr *limitedReader) unlimit() { lr.left = math.MaxInt64 }
