package faker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
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
