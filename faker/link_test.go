package faker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"lovagebank/inspector"
)

// echoServer starts a TCP server that echoes all data until the test ends, and returns its address.
func echoServer(t *testing.T) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	return socket.Addr().String()
}

// echoLine sends a line and waits up to a maximum time for its echo.
func echoLine(connection net.Conn, wait time.Duration) error {
	if _, err := connection.Write([]byte("hello\n")); err != nil {
		return err
	}
	if err := connection.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := bufio.NewReader(connection).ReadString('\n')
	return err
}

func TestLinkFreezeAndCut(t *testing.T) {
	const soon, long = 50 * time.Millisecond, time.Minute
	lk, err := NewLink("127.0.0.1:0", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lk.Close() })
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", lk.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	old := dial()
	if err := echoLine(old, long); err != nil {
		t.Fatal(err)
	}
	lk.Freeze()
	if err := echoLine(old, soon); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("frozen connection: error is %v, want a timeout", err)
	}
	fresh := dial()
	if err := echoLine(fresh, long); err != nil {
		t.Errorf("new connection after a freeze: %v", err)
	}
	lk.SetCut(true)
	if err := echoLine(fresh, long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("cut connection: error is %v, want a closed connection", err)
	}
	lk.SetCut(false)
	if err := echoLine(dial(), long); err != nil {
		t.Errorf("new connection after the end of the cut: %v", err)
	}
}

// Guards against a link that turns the reset of a target into an end in order, or that loses a whole answer, while a
// request is being written.
func TestLinkKeepsEndsWithinUploads(t *testing.T) {
	const plays = 10
	tests := map[string]struct {
		end   RawEnd
		whole bool
	}{"reset": {RawReset, false}, "closed unread": {RawUnread, false}, "closed in order": {RawClosed, true}, "half closed": {RawHalfClosed, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rs, err := NewRawServer(func(*http.Request) RawAnswer {
				return RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\nanswer", End: tt.end}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer rs.Close()
			lk, err := NewLink("127.0.0.1:0", rs.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lk.Close() }()
			wrong := 0
			for range plays {
				client := &http.Client{Transport: inspector.BoundHeads(&http.Transport{
					DialContext: inspector.WrapDial((&net.Dialer{}).DialContext, inspector.Budget{}),
				})}
				text := ""
				answer, err := client.Post("http://"+lk.Address(), "text/plain", strings.NewReader(strings.Repeat("upload--", 1<<20)))
				if err == nil {
					var body []byte
					body, err = io.ReadAll(answer.Body)
					_ = answer.Body.Close()
					text = string(body)
				}
				if (err == nil) != tt.whole || tt.whole && text != "answer" {
					wrong++
					t.Logf("got %q, %v", text, err)
				}
				client.CloseIdleConnections()
			}
			if wrong > 0 {
				t.Errorf("%d of %d plays: looks whole is %t", wrong, plays, !tt.whole)
			}
		})
	}
}
