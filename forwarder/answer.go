package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// Response is a target's answer, whose body is still to be read.
type Response struct {
	co   *connection
	rs   *http.Response
	stop func() bool
	once sync.Once
	// whole tells that the body has been read to its end.
	whole bool
}

func newAnswer(co *connection, rs *http.Response) *Response {
	co.idleFor = idleTime(rs)
	return &Response{co: co, rs: rs}
}

// Status is the answer's status code.
func (an *Response) Status() int { return an.rs.StatusCode }

// Header is the answer's header.
func (an *Response) Header() http.Header { return an.rs.Header }

// ContentLength is the body's length in bytes, or -1 where it is not stated.
func (an *Response) ContentLength() int64 { return an.rs.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (an *Response) Read(into []byte) (int, error) {
	count, err := an.rs.Body.Read(into)
	if errors.Is(err, io.EOF) {
		an.whole = true
		return count, io.EOF
	}
	return count, err
}

// Abort makes reading the rest of the body fail.
func (an *Response) Abort() { an.co.abort() }

// Close ends the exchange: the connection is kept if the whole body has been read, and closed if not.
func (an *Response) Close() {
	an.once.Do(func() {
		an.stop()
		if !an.whole {
			an.co.close()
			return
		}
		an.co.finish()
	})
}
