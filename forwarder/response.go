package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// ResponseOptions describes a target's response, which arrives over a connection of this instance or through another instance.
type ResponseOptions struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes as stated in the header, or -1 if it is not stated.
	Length int64
	// Unframed is set if the body has neither a length nor chunks, so that its end is the end of the connection.
	Unframed bool
	// Body is read until io.EOF, which it returns only at the end of a complete body.
	Body io.Reader
	// Via names the instance through which the response has come; empty for a connection of this instance.
	Via string
	// Abort makes further reads of the body fail. Close ends the exchange; complete states whether the whole body has been read.
	Abort func()
	Close func(complete bool)
}

// Response is a target's response. Its body is read with Read, and Close must be called at the end.
type Response struct {
	op   ResponseOptions
	once sync.Once
	// complete reports whether the body has been read to its end, and failed whether reading it has failed.
	complete bool
	failed   atomic.Bool
}

// NewResponse returns a response.
func NewResponse(op ResponseOptions) *Response { return &Response{op: op} }

// newResponse returns a response that arrives over a connection. stop ends the effect of the request's context on the connection.
func newResponse(co *connection, rs *http.Response, stop func() bool) *Response {
	co.idleTimeout = idleTimeout(rs)
	return NewResponse(ResponseOptions{
		Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength,
		Unframed: unframed(rs), Body: rs.Body, Abort: co.abort,
		Close: func(complete bool) {
			stop()
			if complete {
				co.release()
				return
			}
			co.close()
		},
	})
}

// unframed reports whether the end of a response's body is the end of its connection.
func unframed(rs *http.Response) bool {
	hasBody := rs.Request == nil || rs.Request.Method != http.MethodHead
	return hasBody && rs.ContentLength < 0 && len(rs.TransferEncoding) == 0
}

// Status returns the HTTP status code.
func (rs *Response) Status() int { return rs.op.Status }

// Header returns the response header.
func (rs *Response) Header() http.Header { return rs.op.Header }

// ContentLength returns the body's length in bytes as stated in the header, or -1 if it is not stated.
func (rs *Response) ContentLength() int64 { return rs.op.Length }

// Unframed reports whether the body has neither a length nor chunks, so that its end is the end of the connection.
func (rs *Response) Unframed() bool { return rs.op.Unframed }

// Via returns the name of the instance through which the response has come; empty for a connection of this instance.
func (rs *Response) Via() string { return rs.op.Via }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (rs *Response) Read(into []byte) (int, error) {
	count, err := rs.op.Body.Read(into)
	if errors.Is(err, io.EOF) {
		rs.complete = true
		return count, io.EOF
	}
	if err != nil {
		rs.failed.Store(true)
	}
	return count, err
}

// Failed reports whether reading the body has failed. It may be called while another goroutine reads.
func (rs *Response) Failed() bool { return rs.failed.Load() }

// Abort makes further reads of the body fail.
func (rs *Response) Abort() { rs.op.Abort() }

// Close ends the exchange. A connection is kept for reuse if the whole body has been read, and closed otherwise.
func (rs *Response) Close() { rs.once.Do(func() { rs.op.Close(rs.complete) }) }
