package inspector_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"lovagebank/inspector"
)

// stalledConn is a connection whose write goes on until its deadline is moved, and then returns an error.
type stalledConn struct {
	net.Conn
	begun, moved chan struct{}
	err          error
}

func (sc stalledConn) Write([]byte) (int, error) {
	close(sc.begun)
	<-sc.moved
	return 1, sc.err
}

func (sc stalledConn) SetWriteDeadline(time.Time) error {
	close(sc.moved)
	return nil
}

// Guards against the end of a connection that its reader sees before the writer has returned the connection's error, or
// after that.
func TestWriterTellsHowAConnectionEnded(t *testing.T) {
	failed := func(err error) error { return fmt.Errorf("write: %w", err) }
	tests := map[string]struct {
		write, read error
		broke       bool
	}{
		"reset":                    {failed(syscall.ECONNRESET), io.EOF, true},
		"no sign of life":          {failed(syscall.ETIMEDOUT), io.EOF, true},
		"no way":                   {failed(syscall.EHOSTUNREACH), io.EOF, true},
		"ended, then reset":        {failed(syscall.EPIPE), io.EOF, false},
		"ended":                    {failed(os.ErrDeadlineExceeded), io.EOF, false},
		"closed on this side":      {failed(net.ErrClosed), io.EOF, false},
		"all written":              {nil, io.EOF, false},
		"the read took the error":  {failed(syscall.EPIPE), syscall.ECONNRESET, false},
		"nothing has ended so far": {failed(syscall.ECONNRESET), nil, false},
	}
	for name, tt := range tests {
		for _, goesOn := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, the write goes on: %t", name, goesOn), func(t *testing.T) {
				sc := stalledConn{begun: make(chan struct{}), moved: make(chan struct{}), err: tt.write}
				wr := inspector.NewWriter(sc)
				if !goesOn {
					close(sc.moved)
					_, _ = wr.Write(nil)
				} else {
					go func() { _, _ = wr.Write(nil) }()
					<-sc.begun
				}
				err := wr.ReadError(tt.read)
				if broke := errors.Is(err, inspector.ErrConnectionBroke); broke != tt.broke || !broke && !errors.Is(err, tt.read) {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}
