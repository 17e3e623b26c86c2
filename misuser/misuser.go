// Package misuser simulates misbehaving clients of an entry instance: bodies that never end, headers with many fields,
// and requests whose responses are not read. Tests and the soak run it against instances on the loopback interface.
package misuser

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// ErrNotLoopback is returned for an address outside the loopback range.
var ErrNotLoopback = errors.New("the address is not on the loopback interface")

// Options configures a run.
type Options struct {
	// Address is the host and port of the instance.
	Address string
	// Host and Key are the host name and the API key that requests carry, and Paths their paths, in turn.
	Host  string
	Key   string
	Paths []string
	// Header holds further header lines, each with its line end.
	Header string
	// LargePath is a path with a large response.
	LargePath string
	// BodyBytes is the largest legal size of a body, and HeaderBytes that of a header.
	BodyBytes   int
	HeaderBytes int
	// Connections is the number of connections that are open at a time.
	Connections int
}

// Kind is a kind of client.
type Kind string

// The kinds of client.
const (
	// BodyAtOnce sends a body at once, BodyInPieces in pieces, BodyInChunks in chunks, and each stops just short of its end.
	BodyAtOnce   Kind = "body-at-once"
	BodyInPieces Kind = "body-in-pieces"
	BodyInChunks Kind = "body-in-chunks"
	// BodyTooLarge sends bodies far over the limit, declared or in chunks.
	BodyTooLarge Kind = "body-too-large"
	// ManyFields sends headers of legal size with as many fields as they can have.
	ManyFields Kind = "many-fields"
	// Pipelined sends requests one after the other and reads no response.
	Pipelined Kind = "pipelined"
	// SlowSend sends a byte of a header or of a body now and then, and SlowRead reads responses in the same way.
	SlowSend Kind = "slow-send"
	SlowRead Kind = "slow-read"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{BodyAtOnce, BodyInPieces, BodyInChunks, BodyTooLarge, ManyFields, Pipelined, SlowSend, SlowRead}
}

const (
	// reconnectPause is the pause before a connection that the instance has closed is replaced.
	reconnectPause = time.Second
	slowInterval   = 150 * time.Millisecond
	pieceBytes     = 64 << 10
	// shortBy is the number of bytes of a body that are not sent.
	shortBy = 2
)

// Run simulates clients of one kind until the context ends, and returns once all their connections are closed.
func Run(ctx context.Context, kind Kind, op Options) error {
	host, _, err := net.SplitHostPort(op.Address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return ErrNotLoopback
	}
	var clients sync.WaitGroup
	for number := range op.Connections {
		clients.Go(func() {
			for turn := number; ctx.Err() == nil; turn++ {
				simulate(ctx, kind, op, turn)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	clients.Wait()
	return nil
}

// client is one connection.
type client struct {
	net.Conn
	op   Options
	turn int
}

// simulate opens a connection and misuses it until the instance closes it or the context ends.
func simulate(ctx context.Context, kind Kind, op Options, turn int) {
	conn, err := net.DialTimeout("tcp", op.Address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	cl := &client{Conn: conn, op: op, turn: turn}
	switch kind {
	case BodyAtOnce:
		cl.sendBody(op.BodyBytes)
	case BodyInPieces:
		cl.sendBody(pieceBytes)
	case BodyInChunks:
		cl.sendChunks(op.BodyBytes - shortBy)
	case BodyTooLarge:
		cl.sendTooLarge()
	case ManyFields:
		cl.sendFields()
	case Pipelined:
		cl.pipeline()
	case SlowSend:
		cl.sendSlowly()
	case SlowRead:
		cl.readSlowly()
	}
}

// head returns the beginning of a header, without the empty line at its end.
func (cl *client) head(method string) string {
	path := cl.op.Paths[cl.turn%len(cl.op.Paths)]
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nRequest-Id: misuse-%p-%d\r\nDeadline-Ms: 30000\r\n%s",
		method, path, cl.op.Host, cl.op.Key, cl, cl.turn, cl.op.Header)
}

// awaitClose reads and discards what the instance sends until it closes the connection.
func (cl *client) awaitClose() {
	buffer := make([]byte, 512)
	for {
		if _, err := cl.Read(buffer); err != nil {
			return
		}
	}
}

func (cl *client) write(text string) bool {
	_, err := cl.Write([]byte(text))
	return err == nil
}

func (cl *client) sendBody(piece int) {
	if !cl.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", cl.head("POST"), cl.op.BodyBytes)) {
		return
	}
	data := strings.Repeat("b", piece)
	for left := cl.op.BodyBytes - shortBy; left > 0; {
		part := data[:min(left, len(data))]
		if !cl.write(part) {
			return
		}
		left -= len(part)
	}
	cl.awaitClose()
}

func (cl *client) sendChunks(size int) {
	if !cl.write(cl.head("POST") + "Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("c", pieceBytes))
	for sent := 0; sent+pieceBytes <= size; sent += pieceBytes {
		if !cl.write(chunk) {
			return
		}
	}
	cl.awaitClose()
}

func (cl *client) sendTooLarge() {
	const factor = 16
	if cl.turn%2 == 0 {
		cl.sendChunks(factor * cl.op.BodyBytes)
		return
	}
	cl.op.BodyBytes *= factor
	cl.sendBody(pieceBytes)
}

func (cl *client) sendFields() {
	head := cl.head("GET")
	var fields strings.Builder
	for number := 0; len(head)+fields.Len()+16 < cl.op.HeaderBytes; number++ {
		fmt.Fprintf(&fields, "%x:\r\n", number)
	}
	for cl.write(head+fields.String()+"\r\n") && cl.readSome() {
	}
}

// readSome reads a part of a response.
func (cl *client) readSome() bool {
	_, err := cl.Read(make([]byte, 512))
	return err == nil
}

func (cl *client) pipeline() {
	const batch = 20
	cl.limitReading()
	request := strings.Repeat(cl.head("GET")+"\r\n", batch)
	for cl.write(request) {
	}
}

func (cl *client) sendSlowly() {
	text := cl.head("POST")
	if cl.turn%2 == 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n", cl.op.BodyBytes) + strings.Repeat("s", cl.op.BodyBytes/2)
		if !cl.write(text) {
			return
		}
		text = strings.Repeat("s", 1<<10)
	}
	for at := range text {
		if !cl.write(text[at : at+1]) {
			return
		}
		time.Sleep(slowInterval)
	}
}

// limitReading keeps the kernel from taking responses that the client does not read.
func (cl *client) limitReading() {
	if tc, ok := cl.Conn.(*net.TCPConn); ok {
		_ = tc.SetReadBuffer(pieceBytes / 16)
	}
}

func (cl *client) readSlowly() {
	cl.limitReading()
	cl.op.Paths = []string{cl.op.LargePath}
	if !cl.write(cl.head("GET") + "\r\n") {
		return
	}
	buffer := make([]byte, 1)
	for {
		time.Sleep(slowInterval)
		if _, err := cl.Read(buffer); err != nil {
			return
		}
	}
}
