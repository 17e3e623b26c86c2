package inspector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Dial opens a connection to an address of the form host:port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// conn is a connection whose answers are inspected. An http.Transport reads and writes it in two goroutines.
type conn struct {
	net.Conn
	writer *Writer
	mu     sync.Mutex
	head   *Head
	// begun is true once bytes of the current request have been written.
	begun bool
}

// WrapDial returns a function that opens connections whose answers are inspected, for the DialContext of an
// http.Transport that BoundHeads wraps.
func WrapDial(dial Dial, bu Budget) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		co, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: co, writer: NewWriter(co), head: NewHead(bu)}, nil
	}
}

func (co *conn) begin() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.begun = false
	co.head.Begin()
}

// Read reads from the connection. It fails once a head exceeds its limits, and at the end of a connection that broke.
func (co *conn) Read(into []byte) (int, error) {
	count, err := co.Conn.Read(into)
	if err := co.add(into[:count]); err != nil {
		return 0, err
	}
	return count, co.writer.ReadError(err)
}

func (co *conn) add(received []byte) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.head.Add(received)
}

// Write writes to the connection. A request that has begun to arrive may have been answered before the connection
// failed. An http.Transport would close the connection on the error of a write, and with it that answer, or return that
// error in place of the one that the reads found; so it is left to the reads how the request ends.
func (co *conn) Write(data []byte) (int, error) {
	count, err := co.writer.Write(data)
	if co.begins(count) && err != nil {
		return len(data), nil
	}
	return count, err
}

// begins reports whether bytes of the current request have been written, as count more now are.
func (co *conn) begins(count int) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.begun = co.begun || count > 0
	return co.begun
}

// Close closes the connection and releases what was reserved for its last answer.
func (co *conn) Close() error {
	err := co.Conn.Close()
	co.mu.Lock()
	defer co.mu.Unlock()
	co.head.Release()
	return err
}

// heads is a transport that says to a connection when an answer is to come.
type heads struct{ next http.RoundTripper }

// BoundHeads returns a transport that sends requests through one whose connections WrapDial opens.
func BoundHeads(next http.RoundTripper) http.RoundTripper { return heads{next: next} }

// RoundTrip sends a request and returns its answer. The head is checked once more: bytes that arrive on a kept connection
// as the request takes it have passed before the connection knew that an answer is to come.
func (he heads) RoundTrip(rq *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if co, ok := info.Conn.(*conn); ok {
			co.begin()
			used.Store(co)
		}
	}}
	// discard closes the connection, which the transport may have kept for the next request.
	discard := func() {
		if co := used.Load(); co != nil {
			_ = co.Close()
		}
	}
	answer, err := he.next.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(answer.StatusCode, answer.Header); err != nil {
		discard()
		_ = answer.Body.Close()
		return nil, err
	}
	CheckTrailer(answer, discard)
	return answer, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (he heads) CloseIdleConnections() {
	if closer, ok := he.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
