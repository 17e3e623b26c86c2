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
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/faker"
	"lovagebank/forwarder"
)

// scriptedTarget is a server that runs a script on each connection. The script gets the number of earlier connections.
type scriptedTarget struct {
	listener net.Listener
	mu       sync.Mutex
	requests []string
	conns    int
}

func newScriptedTarget(t *testing.T, script func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader)) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := &scriptedTarget{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			st.mu.Lock()
			number := st.conns
			st.conns++
			st.mu.Unlock()
			go func() {
				defer func() { _ = conn.Close() }()
				script(st, number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return st
}

// receive reads one whole request and returns its ID; empty if the connection has ended.
func (st *scriptedTarget) receive(reader *bufio.Reader) string {
	rq, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return ""
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.requests = append(st.requests, rq.Header.Get("Request-Id"))
	return rq.Header.Get("Request-Id")
}

func (st *scriptedTarget) received() (requests []string, connections int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return append([]string(nil), st.requests...), st.conns
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + contentLength(body) + "\r\n\r\n" + body
}

func contentLength(body string) string {
	return strings.TrimSpace(strings.Join([]string{string(rune('0' + len(body)/10)), string(rune('0' + len(body)%10))}, ""))
}

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

func send(fo *forwarder.Forwarder, st *scriptedTarget, id, body string) (string, error) {
	return sendTo(fo, st.listener.Addr().String(), id, body)
}

// sendTo sends a request to the target at an address and returns the body of its answer.
func sendTo(fo *forwarder.Forwarder, address, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rs, err := fo.Send(ctx, forwarder.Target{ID: "t", Address: address}, &forwarder.Request{
		Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Request-Id": {id}},
		Body: []byte(body), HasBody: true, ID: id,
		ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
	})
	if err != nil {
		return "", err
	}
	defer rs.Close()
	text, err := io.ReadAll(rs)
	return string(text), err
}

func mayHaveRun(t *testing.T, err error) bool {
	t.Helper()
	var se *forwarder.SendError
	if !errors.As(err, &se) {
		t.Fatalf("%v is not a SendError", err)
	}
	return se.MayHaveRun()
}

func TestReusesConnections(t *testing.T) {
	st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
		for id := st.receive(reader); id != ""; id = st.receive(reader) {
			write(conn, response(id, "body-"+id))
		}
	})
	fo := forwarder.New(forwarder.Options{})
	for _, id := range []string{"1", "2", "3"} {
		if text, err := send(fo, st, id, "hello"); err != nil || text != "body-"+id {
			t.Fatalf("got %q, %v", text, err)
		}
	}
	if requests, conns := st.received(); conns != 1 || len(requests) != 3 {
		t.Errorf("%d requests over %d connections", len(requests), conns)
	}
}

// Extra bytes and responses on a connection are not returned as the response to a request.
func TestRejectsResponsesToOtherRequests(t *testing.T) {
	tests := map[string]func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader){
		"extra response to an earlier request": func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
			first := st.receive(reader)
			write(conn, response(first, "body-"+first))
			second := st.receive(reader)
			write(conn, response(first, "again"))
			write(conn, response(second, "body-"+second))
			third := st.receive(reader)
			write(conn, response(third, "body-"+third))
		},
		"bytes after a complete response": func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
			id := st.receive(reader)
			write(conn, response(id, "body-"+id)+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			st.receive(reader)
		},
		"connection closed after each response": func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
			id := st.receive(reader)
			write(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: "+id+"\r\n\r\nbody-"+id)
		},
		"interim response": func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
			for id := st.receive(reader); id != ""; id = st.receive(reader) {
				write(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+response(id, "body-"+id))
			}
		},
	}
	for name, script := range tests {
		t.Run(name, func(t *testing.T) {
			st := newScriptedTarget(t, script)
			fo := forwarder.New(forwarder.Options{})
			for _, id := range []string{"1", "2", "3"} {
				text, err := send(fo, st, id, "hello")
				if err == nil && text != "body-"+id {
					t.Fatalf("request %s got %q", id, text)
				}
			}
		})
	}
}

// A request is sent only once, even if its connection fails.
func TestNeverSendsTwice(t *testing.T) {
	tests := map[string]struct {
		script     func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader)
		mayHaveRun bool
	}{
		"reused connection is closed as the request arrives": {
			script: func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader) {
				id := st.receive(reader)
				if number == 0 {
					write(conn, response(id, "body-"+id))
					st.receive(reader)
				}
			},
			mayHaveRun: true,
		},
		"truncated response head": {
			script: func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
				id := st.receive(reader)
				write(conn, response(id, "body-"+id))
				second := st.receive(reader)
				write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+second+"\r\nContent-Le")
			},
			mayHaveRun: true,
		},
		"malformed response": {
			script: func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
				id := st.receive(reader)
				write(conn, response(id, "body-"+id))
				st.receive(reader)
				write(conn, "nonsense\r\n\r\n")
			},
			mayHaveRun: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			st := newScriptedTarget(t, tt.script)
			fo := forwarder.New(forwarder.Options{})
			if _, err := send(fo, st, "1", ""); err != nil {
				t.Fatal(err)
			}
			_, err := send(fo, st, "2", "")
			if err == nil {
				t.Fatal("no error")
			}
			if mayHaveRun(t, err) != tt.mayHaveRun {
				t.Errorf("may have run: %v", !tt.mayHaveRun)
			}
			requests, _ := st.received()
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
	st := newScriptedTarget(t, func(*scriptedTarget, int, net.Conn, *bufio.Reader) {})
	_ = st.listener.Close()
	_, err := send(forwarder.New(forwarder.Options{}), st, "1", "")
	if err == nil || mayHaveRun(t, err) {
		t.Errorf("got %v", err)
	}
}

// Reading a truncated body fails, however the target framed it.
func TestTruncatedBody(t *testing.T) {
	tests := map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 99\r\n\r\nshort",
		"without its last chunk":  "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
				st.receive(reader)
				write(conn, text)
			})
			if _, err := send(forwarder.New(forwarder.Options{}), st, "1", ""); err == nil {
				t.Error("a truncated body was read as complete")
			}
		})
	}
}

// A target may respond before it has read a long request body. The connection is then not reused.
func TestResponseBeforeWholeBodyIsRead(t *testing.T) {
	st := newScriptedTarget(t, func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader) {
		if number > 0 {
			id := st.receive(reader)
			write(conn, response(id, "second"))
			return
		}
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		write(conn, response(rq.Header.Get("Request-Id"), "early"))
		time.Sleep(300 * time.Millisecond)
	})
	fo := forwarder.New(forwarder.Options{})
	if text, err := send(fo, st, "1", strings.Repeat("x", 8<<20)); err != nil || text != "early" {
		t.Fatalf("got %q, %v", text, err)
	}
	if text, err := send(fo, st, "2", "x"); err != nil || text != "second" {
		t.Fatalf("got %q, %v", text, err)
	}
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
		id := st.receive(reader)
		<-release
		write(conn, response(id, "ok"))
	})
	fo := forwarder.New(forwarder.Options{})
	to := forwarder.Target{ID: "t", Address: st.listener.Addr().String(), MaxConnections: 1}
	rq := &forwarder.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ResponseID: func(http.Header) string { return "" }}
	first := make(chan error, 1)
	go func() {
		rs, err := fo.Send(context.Background(), to, rq)
		if err == nil {
			rs.Close()
		}
		first <- err
	}()
	for _, conns := st.received(); conns == 0; _, conns = st.received() {
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

// Cancelling the context closes the connection, so that the target notices that the exchange has ended.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	st := newScriptedTarget(t, func(st *scriptedTarget, _ int, _ net.Conn, reader *bufio.Reader) {
		st.receive(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for requests, _ := st.received(); len(requests) == 0; requests, _ = st.received() {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := forwarder.New(forwarder.Options{}).Send(ctx, forwarder.Target{ID: "t", Address: st.listener.Addr().String()}, &forwarder.Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ResponseID: func(http.Header) string { return "" },
	})
	if err == nil {
		t.Error("no error")
	}
	<-closed
}

// Guards against DRAIN: the bytes of a request that has ended wait at this side, and reach the target when it reads again.
func TestEndedRequestDoesNotArriveLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := faker.NewNetwork(time.Millisecond, time.Minute)
		listener, err := nw.Listen("tcp4", "t:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		address := listener.Addr().String()
		arrived := make(chan string, 4)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					reader := bufio.NewReader(conn)
					for {
						rq, err := http.ReadRequest(reader)
						if err != nil {
							_ = conn.Close()
							return
						}
						id := rq.Header.Get("Request-Id")
						arrived <- id
						write(conn, response(id, "x"))
					}
				}()
			}
		}()
		fo := forwarder.New(forwarder.Options{Dial: nw.DialFrom("a")})
		ask := func(id string, timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			rs, err := fo.Send(ctx, forwarder.Target{ID: "t", Address: address}, &forwarder.Request{
				Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Request-Id": {id}}, ID: id,
				ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
			})
			if err == nil {
				_, err = io.ReadAll(rs)
				rs.Close()
			}
			return err
		}
		if err := ask("first", time.Second); err != nil {
			t.Fatal(err)
		}
		nw.SetPath("a", address, faker.PathSilent)
		if err := ask("ended", time.Second); err == nil {
			t.Error("answered over a silent path")
		}
		time.Sleep(time.Second)
		nw.SetPath("a", address, faker.PathOpen)
		time.Sleep(time.Second)
		fo.Remove("t")
		nw.Close()
		time.Sleep(time.Second)
		close(arrived)
		for id := range arrived {
			if id == "ended" {
				t.Error("the request arrived after its end")
			}
		}
	})
}

// The same over TCP: the bytes that a target has not read when the request ends are discarded by a reset.
func TestDiscardsUnacknowledgedBytes(t *testing.T) {
	accepted, ended, read := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	st := newScriptedTarget(t, func(_ *scriptedTarget, _ int, _ net.Conn, reader *bufio.Reader) {
		close(accepted)
		<-ended
		_, err := io.Copy(io.Discard, reader)
		read <- err
	})
	// The time runs from the opening of the connection, which may take long beside other work.
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-accepted
		time.AfterFunc(50*time.Millisecond, cancel)
	}()
	_, err := forwarder.New(forwarder.Options{}).Send(ctx, forwarder.Target{ID: "t", Address: st.listener.Addr().String()}, &forwarder.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20), HasBody: true,
		ResponseID: func(http.Header) string { return "" },
	})
	if err == nil {
		t.Error("answered without reading")
	}
	close(ended)
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target read to the end of the connection: %v", err)
	}
}

// Guards against a report of other operators: a target wrote an earlier refusal once more on a connection that was in
// use again, and callers received "not run" for requests that it was running.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	refusal := func(id string) string {
		text := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
		if id != "" {
			text += "Request-Id: " + id + "\r\n"
		}
		return text + "\r\n"
	}
	tests := map[string]struct {
		// ids are the IDs of two requests, and repeated the ID that the repeated refusal names; empty for none.
		ids      [2]string
		repeated string
	}{
		"it names its request":                    {[2]string{"1", "2"}, "1"},
		"it names no request":                     {[2]string{"1", "2"}, ""},
		"the same request is sent there again":    {[2]string{"1", "1"}, "1"},
		"the requests have no IDs":                {[2]string{"", ""}, ""},
		"it names no request, the same one again": {[2]string{"1", "1"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			running := make(chan struct{}, 2)
			st := newScriptedTarget(t, func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader) {
				rq, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				id := rq.Header.Get("Request-Id")
				if number > 0 {
					running <- struct{}{}
					write(conn, response(id, "ran"))
					return
				}
				write(conn, refusal(id))
				if _, err = http.ReadRequest(reader); err != nil {
					return
				}
				running <- struct{}{}
				write(conn, refusal(tt.repeated))
				write(conn, response(id, "ran"))
			})
			fo := forwarder.New(forwarder.Options{})
			status := func(id string) (int, error) {
				header := http.Header{}
				if id != "" {
					header.Set("Request-Id", id)
				}
				rs, err := fo.Send(t.Context(), forwarder.Target{ID: "t", Address: st.listener.Addr().String()}, &forwarder.Request{
					Method: http.MethodGet, URI: "/", Host: "h", Header: header, ID: id,
					ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
				})
				if err != nil {
					return 0, err
				}
				defer rs.Close()
				_, err = io.Copy(io.Discard, rs)
				return rs.Status(), err
			}
			if got, err := status(tt.ids[0]); got != http.StatusServiceUnavailable || err != nil {
				t.Fatalf("first: status %d, %v", got, err)
			}
			got, err := status(tt.ids[1])
			select {
			case <-running:
			default:
				t.Fatal("the second request did not reach the target")
			}
			if got == http.StatusServiceUnavailable || err != nil && !mayHaveRun(t, err) {
				t.Errorf("status %d, %v for a request that ran", got, err)
			}
		})
	}
}

// Requests that a target which leaves has read go on; those whose bytes are held on the way are discarded.
func TestDiscardsOnlyUnreadRequests(t *testing.T) {
	tests := map[string]struct {
		state faker.PathState
		ended bool
	}{"the path works": {faker.PathOpen, false}, "the path is silent": {faker.PathSilent, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := faker.NewNetwork(time.Millisecond, time.Minute)
				listener, err := nw.Listen("tcp4", "t:0")
				if err != nil {
					t.Fatal(err)
				}
				address := listener.Addr().String()
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(time.Second)
					w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				})}
				go func() { _ = server.Serve(listener) }()
				fo := forwarder.New(forwarder.Options{Dial: nw.DialFrom("a")})
				ended := make(chan error, 1)
				dialled := make(chan struct{})
				go func() {
					rs, err := fo.Send(t.Context(), forwarder.Target{ID: "t", Address: address}, &forwarder.Request{
						Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Request-Id": {"1"}}, ID: "1",
						ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
						Usable: func() bool {
							nw.SetPath("a", address, tt.state)
							close(dialled)
							return true
						},
					})
					if err == nil {
						_, err = io.ReadAll(rs)
						rs.Close()
					}
					ended <- err
				}()
				<-dialled
				time.Sleep(400 * time.Millisecond)
				fo.DiscardUnread("t", 300*time.Millisecond)
				time.Sleep(10 * time.Millisecond)
				select {
				case err := <-ended:
					if !tt.ended || err == nil {
						t.Errorf("it ended: %v", err)
					}
				default:
					if tt.ended {
						t.Error("it goes on")
					}
					if err := <-ended; err != nil {
						t.Error(err)
					}
				}
				fo.Remove("t")
				_ = server.Close()
				nw.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
