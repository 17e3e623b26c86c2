// Package forwarder sends HTTP/1.1 requests to targets over pooled connections. It never retries a request itself: each
// error says whether the target may have run the request, and the code that called Send decides on a retry.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"lovagebank/inspector"
	"lovagebank/sleeper"
)

// Errors that Send returns, wrapped in a SendError.
var (
	// ErrNoConnection means that Target.MaxConnections connections to the target are open and in use.
	ErrNoConnection = errors.New("all connections to the target are in use")
	// ErrUnusable means that Request.Usable did not allow the request to be sent.
	ErrUnusable = errors.New("the target takes no requests any more")
	// errUnmatchedResponse means that a response cannot be attributed to the request.
	errUnmatchedResponse = errors.New("response does not name the request ID")
)

// SendError is the error of a send that got no response.
type SendError struct {
	cause      error
	mayHaveRun bool
	hop        bool
}

// NewHopError returns the error of a send through another instance that failed on the way to that instance, or there.
// It says nothing about the target.
func NewHopError(cause error, mayHaveRun bool) *SendError {
	return &SendError{cause: cause, mayHaveRun: mayHaveRun, hop: true}
}

// NewSendError returns the error of a send through another instance that the target's connection there has failed with.
func NewSendError(cause error, mayHaveRun bool) *SendError {
	return &SendError{cause: cause, mayHaveRun: mayHaveRun}
}

// Error says whether the request was sent, and gives the cause.
func (se *SendError) Error() string {
	if se.mayHaveRun {
		return "request sent, no complete response: " + se.cause.Error()
	}
	return "request not sent: " + se.cause.Error()
}

// Unwrap returns the cause.
func (se *SendError) Unwrap() error { return se.cause }

// MayHaveRun reports whether the target may have run the request.
func (se *SendError) MayHaveRun() bool { return se.mayHaveRun }

// OnHop reports whether the send failed on the way to another instance, or there, so that the error says nothing about
// the target.
func (se *SendError) OnHop() bool { return se.hop }

// Request is a request to a target.
type Request struct {
	// Method, URI and Host are written to the request's head unchanged, as the caller sent them.
	Method string
	URI    string
	Host   string
	// Header is sent unchanged; Content-Length is added.
	Header http.Header
	// Body is the whole body; HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
	// ID is the request ID that the response must name; empty if the caller sent none.
	ID string
	// ResponseID returns the request ID that a response header names.
	ResponseID func(http.Header) string
	// Repeatable is set if the request may be sent again to another target, so that AbandonSilent may end it.
	Repeatable bool
	// Usable reports whether the request may still be sent. It is called directly before the first byte, as the opening
	// of a connection takes time; nil means that it may.
	Usable func() bool
	// SendBefore is when a grant to send the request ends, for an instance that relays it; zero for no grant. Regions
	// are the regions to whose instances it may be relayed; nil for all.
	SendBefore time.Time
	Regions    []string
}

// Target is the destination of a request.
type Target struct {
	// ID identifies the target. Connections are pooled by it and the address, as a target may start again under its ID.
	ID string
	// Address is the target's IP address and port.
	Address string
	// MaxConnections limits this instance's open connections to the target; 0 for no limit.
	MaxConnections int
}

// Options configures a Forwarder.
type Options struct {
	// Dial opens connections to targets; nil opens TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called with the result of each attempt to open a connection to a target, by the target's ID; nil for no call.
	Opened func(target string, err error)
	// Budget is the memory that the heads of all responses may hold together beyond their usual size.
	Budget inspector.Budget
	// Received is called when bytes of any target have arrived, and Broken when a connection to a target has failed
	// before any of an answer; nil for no call.
	Received func()
	Broken   func(target string)
}

// Forwarder holds a pool of connections for each target. It is safe for concurrent use.
type Forwarder struct {
	op    Options
	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey identifies the connections to one address of a target.
type poolKey struct{ id, address string }

// New returns a Forwarder without connections.
func New(op Options) *Forwarder {
	if op.Dial == nil {
		op.Dial = dialer.DialContext
	}
	if op.Opened == nil {
		op.Opened = func(string, error) {}
	}
	if op.Received == nil {
		op.Received = func() {}
	}
	if op.Broken == nil {
		op.Broken = func(string) {}
	}
	return &Forwarder{op: op, pools: make(map[poolKey]*pool)}
}

func (fo *Forwarder) pool(ta Target) *pool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	key := poolKey{ta.ID, ta.Address}
	po, ok := fo.pools[key]
	if !ok {
		po = newPool(ta, fo.op)
		fo.pools[key] = po
	}
	po.setMaxOpen(ta.MaxConnections)
	return po
}

// Remove removes the pools of a departed target. Idle connections are closed at once, others when their request ends.
func (fo *Forwarder) Remove(id string) {
	for _, po := range fo.poolsOf(id, true) {
		po.closeAll()
	}
}

// probeTime is how long a connection that was opened to try a path has to stay open.
const probeTime = 20 * time.Millisecond

// errClosedAtOnce means that a connection was closed as soon as it was opened.
var errClosedAtOnce = errors.New("the connection was opened and closed at once")

// Probe opens a connection to a target and keeps it for the next request. It returns the error of the attempt, or
// ErrNoConnection if no further connection may be opened.
func (fo *Forwarder) Probe(ctx context.Context, ta Target) error {
	co, err := fo.pool(ta).openNew(ctx)
	if err != nil {
		return err
	}
	sleeper.For(ctx, probeTime)
	if !co.usable() {
		co.close()
		return errClosedAtOnce
	}
	co.keep()
	return nil
}

// AbandonSilent ends the requests that may be repeated and whose connections have been silent for the given time, and
// closes all idle connections. It returns the number of requests that it has ended.
func (fo *Forwarder) AbandonSilent(silent time.Duration) int {
	fo.mu.Lock()
	pools := slices.Collect(maps.Values(fo.pools))
	fo.mu.Unlock()
	count := 0
	for _, po := range pools {
		count += po.abortUsed(func(co *connection, repeatable bool) bool { return repeatable && co.limited.silentFor() >= silent })
		po.closeIdle()
	}
	return count
}

// DiscardUnread ends the requests to a target whose bytes have not reached its machine for the given time: they would
// arrive after the target has left.
func (fo *Forwarder) DiscardUnread(id string, silent time.Duration) {
	for _, po := range fo.poolsOf(id, false) {
		po.abortUsed(func(co *connection, _ bool) bool {
			return co.limited.silentFor() >= silent && unacknowledged(co.conn) > 0
		})
	}
}

// poolsOf returns the pools of a target, and drops them if remove is set.
func (fo *Forwarder) poolsOf(id string, remove bool) []*pool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	var pools []*pool
	for key, po := range fo.pools {
		if key.id != id {
			continue
		}
		pools = append(pools, po)
		if remove {
			delete(fo.pools, key)
		}
	}
	return pools
}

// Send sends a request and returns its response, whose body is still to be read. Errors are of type *SendError. The end of
// the context aborts the connection, also while the body is read.
func (fo *Forwarder) Send(ctx context.Context, ta Target, rq *Request) (*Response, error) {
	po := fo.pool(ta)
	co, err := po.get(ctx, rq.ID)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	if rq.Usable != nil && !rq.Usable() {
		co.keep()
		return nil, &SendError{cause: ErrUnusable}
	}
	co.lastID = rq.ID
	po.use(co, rq.Repeatable)
	stop := context.AfterFunc(ctx, co.abort)
	//nolint:bodyclose // Response.Close ends the exchange; closing the body would read a long body to its end.
	rs, err := co.roundTrip(rq)
	if err != nil {
		stop()
		co.close()
		if ctx.Err() == nil && !co.aborted.Load() {
			fo.op.Broken(ta.ID)
		}
		return nil, err
	}
	return newResponse(co, rs, stop), nil
}

// head returns the request's head as written in HTTP/1.1.
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

// CloseIdle closes the idle connections to a target. It is called after one of them failed or went silent, because the
// others may have too.
func (fo *Forwarder) CloseIdle(id string) {
	for _, po := range fo.poolsOf(id, false) {
		po.closeIdle()
	}
}
