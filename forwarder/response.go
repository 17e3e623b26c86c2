package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// Answer is a target's response. Its body is read with Read, and Close must be called at the end.
type Answer struct {
	co       *connection
	response *http.Response
	stop     func() bool
	once     sync.Once
	// complete reports whether the body has been read to its end.
	complete bool
}

func newResponse(co *connection, rs *http.Response) *Answer {
	co.idleTimeout = idleTimeout(rs)
	return &Answer{co: co, response: rs}
}

// Status returns the HTTP status code.
func (rs *Answer) Status() int { return rs.response.StatusCode }

// Header returns the response header.
func (rs *Answer) Header() http.Header { return rs.response.Header }

// Length returns the body's length in bytes as stated in the header, or -1 if it is not stated.
func (rs *Answer) Length() int64 { return rs.response.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (rs *Answer) Read(into []byte) (int, error) {
	count, err := rs.response.Body.Read(into)
	if errors.Is(err, io.EOF) {
		rs.complete = true
		return count, io.EOF
	}
	return count, err
}

// Abort makes further reads of the body fail.
func (rs *Answer) Abort() { rs.co.abort() }

// Close ends the exchange. The connection is kept for reuse if the whole body has been read, and closed otherwise.
func (rs *Answer) Close() {
	rs.once.Do(func() {
		rs.stop()
		if !rs.complete {
			rs.co.close()
			return
		}
		rs.co.release()
	})
}
