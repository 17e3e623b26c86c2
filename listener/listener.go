// Package listener bounds what the clients of an HTTP server can hold: the number of connections in all and by address, the
// fields of a request's header, and the time that a client may leave a response unread.
package listener

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"lovagebank/reserver"
)

// Options configures a Listener.
type Options struct {
	// MaxConnections limits the open connections, and MaxPerAddress those of one remote address; 0 for no limit.
	MaxConnections int
	MaxPerAddress  int
	// MaxHeaderFields limits the lines of a request's header; 0 for no limit.
	MaxHeaderFields int
	// TooManyFields answers a request with more header fields; nil answers 431.
	TooManyFields http.HandlerFunc
	// WriteStall is how long a client may take no byte of a response before its connection is closed; 0 for no limit.
	WriteStall time.Duration
	// Reserver holds the budget of connections; nil for none.
	Reserver *reserver.Reserver
}

// Reason says why a connection was closed or refused.
type Reason string

// The reasons.
const (
	// ReasonTotal and ReasonAddress mean that too many connections are open, in all or from one address; ReasonMemory
	// that the memory for connections is used up.
	ReasonTotal   Reason = "connections"
	ReasonAddress Reason = "connections-of-address"
	ReasonMemory  Reason = "connection-memory"
	// ReasonFields means that a header had too many fields, and ReasonUnread that a client did not read.
	ReasonFields Reason = "header-fields"
	ReasonUnread Reason = "response-unread"
)

const (
	// ConnectionBytes is the memory reserved for a connection: a goroutine, the two buffers of 4 KiB that net/http
	// keeps, the header of ordinary size and the first part of a body.
	ConnectionBytes = 20 << 10
	// longHeaderStep is the step in which memory for a longer header is reserved. Its bytes are held twice, as read and as
	// fields.
	longHeaderStep = 4 << 10
)

// Listener is a net.Listener whose connections are bounded.
type Listener struct {
	net.Listener
	op Options
	// attached is true if a server reports the states of connections. Without it, none can be closed in favour of another.
	attached bool

	mu        sync.Mutex
	open      map[*Conn]bool
	byAddress map[string]int

	countMu sync.Mutex
	closed  map[Reason]int64
}

// Wrap returns a Listener that accepts the connections of another one.
func Wrap(inner net.Listener, op Options) *Listener {
	if op.TooManyFields == nil {
		op.TooManyFields = func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		}
	}
	return &Listener{
		Listener: inner, op: op, open: make(map[*Conn]bool), byAddress: make(map[string]int), closed: make(map[Reason]int64),
	}
}

// Accept returns the next connection. It closes connections beyond the limits.
func (li *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if co, ok := li.admit(inner); ok {
			return co, nil
		}
		discard(inner)
	}
}

// Attach makes a server report the states of its connections to the listener. It must be called before the server serves.
func (li *Listener) Attach(hs *http.Server) {
	li.attached = true
	next := hs.Handler
	hs.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	hs.ConnState = func(conn net.Conn, state http.ConnState) {
		if co, ok := conn.(*Conn); ok && state == http.StateIdle {
			co.idle()
		}
	}
	hs.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		co := FromContext(r.Context())
		if co == nil {
			next.ServeHTTP(w, r)
			return
		}
		co.setPhase(phaseHandling)
		defer co.handled()
		if co.cutShort {
			RefuseBody(w)
			li.op.TooManyFields(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// FromContext returns the connection of a request with the given context; nil if it does not come from a Listener.
func FromContext(ctx context.Context) *Conn {
	co, _ := ctx.Value(connKey{}).(*Conn)
	return co
}

// RefuseBody makes a server close the connection after the response, and read no more of the request's body. net/http
// would read up to 256 KiB of it otherwise, and wait for them without a limit.
func RefuseBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// A writer that has no connection, as in tests, has no body to wait for.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// WithoutBody returns a handler of requests that need no body: it closes the connections of those that have one.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			RefuseBody(w)
		}
		next.ServeHTTP(w, r)
	})
}

// admit registers a connection if the limits allow it. Where they do not, it closes the least active connection that
// serves no request.
func (li *Listener) admit(inner net.Conn) (*Conn, bool) {
	address := inner.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	if most := li.op.MaxPerAddress; most > 0 && li.byAddress[address] >= most && !li.evict(address, ReasonAddress) {
		return nil, false
	}
	if most := li.op.MaxConnections; most > 0 && len(li.open) >= most && !li.evict("", ReasonTotal) {
		return nil, false
	}
	if re := li.op.Reserver; re != nil && !re.Reserve(reserver.Connections, ConnectionBytes) {
		if !li.evict("", ReasonMemory) || !re.Reserve(reserver.Connections, ConnectionBytes) {
			return nil, false
		}
	}
	co := &Conn{Conn: inner, listener: li, address: address}
	co.setPhase(phaseHeader)
	li.open[co] = true
	li.byAddress[address]++
	co.limitBuffers()
	return co, true
}

const (
	// headerGrace and idleGrace are how long a connection may take for a header, or be idle, before it is closed in favour of a
	// new one.
	headerGrace = time.Second
	idleGrace   = 200 * time.Millisecond
)

// evict closes the least active connection of an address that serves no request; "" stands for all addresses. Those
// that have taken long for a header go first. The mutex is held.
func (li *Listener) evict(address string, reason Reason) bool {
	li.count(reason)
	if !li.attached {
		return false
	}
	now := time.Now()
	var least *Conn
	var leastAge time.Duration
	for co := range li.open {
		if address != "" && co.address != address {
			continue
		}
		ph, since := co.state()
		age := now.Sub(since)
		switch {
		case ph == phaseHeader && age >= headerGrace:
			// All these precede idle connections, whatever their age.
			age += time.Hour
		case ph != phaseIdle || age < idleGrace:
			continue
		}
		if age > leastAge {
			least, leastAge = co, age
		}
	}
	if least == nil {
		return false
	}
	li.forget(least)
	if ph, _ := least.state(); ph == phaseHeader {
		discard(least.Conn)
		return true
	}
	_ = least.Conn.Close()
	return true
}

// forget removes a connection and releases what it holds. The mutex is held.
func (li *Listener) forget(co *Conn) {
	if !li.open[co] {
		return
	}
	delete(li.open, co)
	if li.byAddress[co.address]--; li.byAddress[co.address] == 0 {
		delete(li.byAddress, co.address)
	}
	if re := li.op.Reserver; re != nil {
		re.Release(reserver.Connections, ConnectionBytes+co.longHeader.Swap(0))
	}
}

func (li *Listener) count(reason Reason) {
	li.countMu.Lock()
	defer li.countMu.Unlock()
	li.closed[reason]++
}

// Closed returns the number of connections that were closed or refused to protect the instance, by reason.
func (li *Listener) Closed() map[Reason]int64 {
	li.countMu.Lock()
	defer li.countMu.Unlock()
	return maps.Clone(li.closed)
}

// Open returns the number of open connections.
func (li *Listener) Open() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return len(li.open)
}
