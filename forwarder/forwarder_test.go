package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagebank/forwarder"
)

// target is a scripted server: each connection is handed to the script, with the number of connections before it.
type target struct {
	listener net.Listener
	mu       sync.Mutex
	requests []string
	conns    int
}

func newTarget(t *testing.T, script func(tr *target, number int, conn net.Conn, reader *bufio.Reader)) *target {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tr := &target{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tr.mu.Lock()
			number := tr.conns
			tr.conns++
			tr.mu.Unlock()
			go func() {
				defer func() { _ = conn.Close() }()
				script(tr, number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return tr
}

// receive reads one whole request and returns its ID; empty at the connection's end.
func (tr *target) receive(reader *bufio.Reader) string {
	rq, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return ""
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.requests = append(tr.requests, rq.Header.Get("Request-Id"))
	return rq.Header.Get("Request-Id")
}

func (tr *target) seen() (requests []string, connections int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]string(nil), tr.requests...), tr.conns
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + length(body) + "\r\n\r\n" + body
}

func length(body string) string {
	return strings.TrimSpace(strings.Join([]string{string(rune('0' + len(body)/10)), string(rune('0' + len(body)%10))}, ""))
}

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

func send(fo *forwarder.Forwarder, tr *target, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	an, err := fo.Send(ctx, forwarder.Target{ID: "t", Address: tr.listener.Addr().String()}, &forwarder.Request{
		Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Request-Id": {id}},
		Body: []byte(body), HasBody: true, ID: id,
		ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
	})
	if err != nil {
		return "", err
	}
	defer an.Close()
	text, err := io.ReadAll(an)
	return string(text), err
}

func mayHaveRun(t *testing.T, err error) bool {
	t.Helper()
	var se *forwarder.SendError
	if !errors.As(err, &se) {
		t.Fatalf("%v is no failed send", err)
	}
	return se.MayHaveRun()
}

func TestKeepsConnections(t *testing.T) {
	tr := newTarget(t, func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
		for id := tr.receive(reader); id != ""; id = tr.receive(reader) {
			write(conn, answer(id, "body-"+id))
		}
	})
	fo := forwarder.New()
	for _, id := range []string{"1", "2", "3"} {
		if text, err := send(fo, tr, id, "hello"); err != nil || text != "body-"+id {
			t.Fatalf("got %q, %v", text, err)
		}
	}
	if requests, conns := tr.seen(); conns != 1 || len(requests) != 3 {
		t.Errorf("%d requests over %d connections", len(requests), conns)
	}
}

// What comes on a connection beside the answer belongs to no request.
func TestAnswersOfOtherRequests(t *testing.T) {
	tests := map[string]func(tr *target, number int, conn net.Conn, reader *bufio.Reader){
		"an extra answer to an earlier request comes first": func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
			first := tr.receive(reader)
			write(conn, answer(first, "body-"+first))
			second := tr.receive(reader)
			write(conn, answer(first, "again"))
			write(conn, answer(second, "body-"+second))
			third := tr.receive(reader)
			write(conn, answer(third, "body-"+third))
		},
		"bytes after a whole answer": func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
			id := tr.receive(reader)
			write(conn, answer(id, "body-"+id)+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			tr.receive(reader)
		},
		"the connection is closed after each answer": func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
			id := tr.receive(reader)
			write(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: "+id+"\r\n\r\nbody-"+id)
		},
		"a provisional answer": func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
			for id := tr.receive(reader); id != ""; id = tr.receive(reader) {
				write(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer(id, "body-"+id))
			}
		},
	}
	for name, script := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTarget(t, script)
			fo := forwarder.New()
			for _, id := range []string{"1", "2", "3"} {
				text, err := send(fo, tr, id, "hello")
				if err == nil && text != "body-"+id {
					t.Fatalf("request %s got %q", id, text)
				}
			}
		})
	}
}

// A request is sent once, whatever happens to its connection.
func TestNeverSendsTwice(t *testing.T) {
	tests := map[string]struct {
		script     func(tr *target, number int, conn net.Conn, reader *bufio.Reader)
		mayHaveRun bool
	}{
		"a kept connection is closed as the request arrives": {
			script: func(tr *target, number int, conn net.Conn, reader *bufio.Reader) {
				id := tr.receive(reader)
				if number == 0 {
					write(conn, answer(id, "body-"+id))
					tr.receive(reader)
				}
			},
			mayHaveRun: true,
		},
		"the answer is torn": {
			script: func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
				id := tr.receive(reader)
				write(conn, answer(id, "body-"+id))
				second := tr.receive(reader)
				write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+second+"\r\nContent-Le")
			},
			mayHaveRun: true,
		},
		"the answer is none": {
			script: func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
				id := tr.receive(reader)
				write(conn, answer(id, "body-"+id))
				tr.receive(reader)
				write(conn, "nonsense\r\n\r\n")
			},
			mayHaveRun: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTarget(t, tt.script)
			fo := forwarder.New()
			if _, err := send(fo, tr, "1", ""); err != nil {
				t.Fatal(err)
			}
			_, err := send(fo, tr, "2", "")
			if err == nil {
				t.Fatal("no error")
			}
			if mayHaveRun(t, err) != tt.mayHaveRun {
				t.Errorf("may have run: %v", !tt.mayHaveRun)
			}
			requests, _ := tr.seen()
			count := 0
			for _, id := range requests {
				if id == "2" {
					count++
				}
			}
			if count > 1 {
				t.Errorf("the request arrived %d times", count)
			}
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	tr := newTarget(t, func(*target, int, net.Conn, *bufio.Reader) {})
	_ = tr.listener.Close()
	_, err := send(forwarder.New(), tr, "1", "")
	if err == nil || mayHaveRun(t, err) {
		t.Errorf("got %v", err)
	}
}

// A body that ends early is no whole body, however the target ends it.
func TestTornBody(t *testing.T) {
	tests := map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 99\r\n\r\nshort",
		"without its last chunk":  "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTarget(t, func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
				tr.receive(reader)
				write(conn, text)
			})
			if _, err := send(forwarder.New(), tr, "1", ""); err == nil {
				t.Error("a torn body was taken for whole")
			}
		})
	}
}

// A target may answer before it has read a long body; the connection is not used again then.
func TestEarlyAnswer(t *testing.T) {
	tr := newTarget(t, func(tr *target, number int, conn net.Conn, reader *bufio.Reader) {
		if number > 0 {
			id := tr.receive(reader)
			write(conn, answer(id, "second"))
			return
		}
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		write(conn, answer(rq.Header.Get("Request-Id"), "early"))
		time.Sleep(300 * time.Millisecond)
	})
	fo := forwarder.New()
	if text, err := send(fo, tr, "1", strings.Repeat("x", 8<<20)); err != nil || text != "early" {
		t.Fatalf("got %q, %v", text, err)
	}
	if text, err := send(fo, tr, "2", "x"); err != nil || text != "second" {
		t.Fatalf("got %q, %v", text, err)
	}
}

func TestBoundOnConnections(t *testing.T) {
	release := make(chan struct{})
	tr := newTarget(t, func(tr *target, _ int, conn net.Conn, reader *bufio.Reader) {
		id := tr.receive(reader)
		<-release
		write(conn, answer(id, "ok"))
	})
	fo := forwarder.New()
	to := forwarder.Target{ID: "t", Address: tr.listener.Addr().String(), MaxConnections: 1}
	rq := &forwarder.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ResponseID: func(http.Header) string { return "" }}
	first := make(chan error, 1)
	go func() {
		an, err := fo.Send(context.Background(), to, rq)
		if err == nil {
			an.Close()
		}
		first <- err
	}()
	for _, conns := tr.seen(); conns == 0; _, conns = tr.seen() {
		time.Sleep(time.Millisecond)
	}
	if _, err := fo.Send(context.Background(), to, rq); !errors.Is(err, forwarder.ErrNoConnection) || mayHaveRun(t, err) {
		t.Errorf("got %v", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// The end of the caller's context ends the exchange at the target too.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	tr := newTarget(t, func(tr *target, _ int, _ net.Conn, reader *bufio.Reader) {
		tr.receive(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for requests, _ := tr.seen(); len(requests) == 0; requests, _ = tr.seen() {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := forwarder.New().Send(ctx, forwarder.Target{ID: "t", Address: tr.listener.Addr().String()}, &forwarder.Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ResponseID: func(http.Header) string { return "" },
	})
	if err == nil {
		t.Error("no error")
	}
	<-closed
}
