package inspector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Dial opens a connection to an address of the form host:port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// conn is a connection whose answers' heads are counted. An http.Transport reads and writes it in two goroutines.
type conn struct {
	net.Conn
	writer *Writer
	mu     sync.Mutex
	head   *Head
}

// WrapDial returns a function that opens connections whose answers' heads are bounded, for the DialContext of an
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
	co.head.Begin()
}

// Read reads from the connection. It fails once a head exceeds its limits, and at the end of a connection that broke.
func (co *conn) Read(into []byte) (int, error) {
	count, err := co.Conn.Read(into)
	if tooLong := co.add(into[:count]); tooLong != nil {
		return 0, tooLong
	}
	return count, co.writer.ReadError(err)
}

func (co *conn) add(received []byte) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.head.Add(received)
}

// Write writes to the connection.
func (co *conn) Write(data []byte) (int, error) { return co.writer.Write(data) }

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

// RoundTrip sends a request and returns its answer.
func (he heads) RoundTrip(rq *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if co, ok := info.Conn.(*conn); ok {
			co.begin()
		}
	}}
	return he.next.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
}

// CloseIdleConnections closes the idle connections of the transport.
func (he heads) CloseIdleConnections() {
	if closer, ok := he.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
