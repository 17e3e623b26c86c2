// Package forwarder sends requests to targets over connections that it keeps. It never sends a request twice by
// itself: each failure says whether the target can have run the request, and the caller decides.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
)

// Errors of Send.
var (
	// ErrNoConnection means that the target's connections are all in use.
	ErrNoConnection = errors.New("no connection to the target is free")
	// errWrongAnswer means that an answer cannot be told to belong to the request.
	errWrongAnswer = errors.New("the answer does not name the request")
)

// SendError is a failed exchange.
type SendError struct {
	cause      error
	mayHaveRun bool
	silent     bool
}

// Error tells what failed.
func (se *SendError) Error() string {
	if se.mayHaveRun {
		return "request sent, no whole answer: " + se.cause.Error()
	}
	return "request not sent: " + se.cause.Error()
}

// Unwrap returns the cause.
func (se *SendError) Unwrap() error { return se.cause }

// MayHaveRun tells whether the target can have run the request.
func (se *SendError) MayHaveRun() bool { return se.mayHaveRun }

// Request is what is sent to a target.
type Request struct {
	// Method, URI and Host stand in the request's head as the caller sent them.
	Method string
	URI    string
	Host   string
	// Header is sent as it is; Content-Length is added.
	Header http.Header
	// Body is the whole body; HasBody tells an empty one from none.
	Body    []byte
	HasBody bool
	// ID is what the answer must name; empty where the caller sent none.
	ID string
	// ResponseID returns the ID that an answer's header names.
	ResponseID func(http.Header) string
}

// Target is where a request goes.
type Target struct {
	// ID names the start of the target: connections are kept by it.
	ID string
	// Address is its IP and port.
	Address string
	// MaxConnections bounds this instance's connections to it; 0 for no bound.
	MaxConnections int
}

// Forwarder keeps connections to targets. It is safe for concurrent use.
type Forwarder struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// New makes a forwarder without connections.
func New() *Forwarder { return &Forwarder{pools: make(map[string]*pool)} }

func (fo *Forwarder) pool(ta Target) *pool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	po, ok := fo.pools[ta.ID]
	if !ok {
		po = newPool(ta.Address)
		fo.pools[ta.ID] = po
	}
	po.setMost(ta.MaxConnections)
	return po
}

// Remove closes the idle connections to a target that is gone.
func (fo *Forwarder) Remove(id string) {
	fo.mu.Lock()
	po, ok := fo.pools[id]
	delete(fo.pools, id)
	fo.mu.Unlock()
	if ok {
		po.shut()
	}
}

// Send sends a request and returns the head of its answer. The end of the context closes the connection, also while
// the answer's body is read.
func (fo *Forwarder) Send(ctx context.Context, ta Target, rq *Request) (*Response, error) {
	po := fo.pool(ta)
	co, err := po.take(ctx)
	if err != nil {
		return nil, &SendError{cause: err, silent: isTimeout(err)}
	}
	stop := context.AfterFunc(ctx, co.abort)
	an, err := co.exchange(rq)
	if err != nil {
		stop()
		co.close()
		return nil, err
	}
	an.stop = stop
	return an, nil
}

func isTimeout(err error) bool {
	var te interface{ Timeout() bool }
	return errors.As(err, &te) && te.Timeout()
}

// head writes the request's head and, where it is short, its body.
func (rq *Request) head() *bytes.Buffer {
	buffer := bytes.NewBuffer(make([]byte, 0, 1024))
	fmt.Fprintf(buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", rq.Method, rq.URI, rq.Host)
	names := make([]string, 0, len(rq.Header))
	for name := range rq.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range rq.Header[name] {
			buffer.WriteString(name)
			buffer.WriteString(": ")
			buffer.WriteString(value)
			buffer.WriteString("\r\n")
		}
	}
	if rq.HasBody {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(rq.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer
}

// CloseIdle closes the idle connections to a target: one of them has gone silent, and the others may have too.
func (fo *Forwarder) CloseIdle(id string) {
	fo.mu.Lock()
	po, ok := fo.pools[id]
	fo.mu.Unlock()
	if ok {
		po.flush()
	}
}
