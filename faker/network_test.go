package faker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/faker"
)

// connect opens a connection from host "a" to a new listener and returns both ends and the listener's address.
func connect(t *testing.T, nw *faker.Network) (near, far net.Conn, address string) {
	t.Helper()
	listener, err := nw.Listen("tcp4", "t:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	address = listener.Addr().String()
	if near, err = nw.DialFrom("a")(t.Context(), "tcp4", address); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far, address
}

// What is written while a path is silent arrives when it is open again, unless its sender has reset the connection.
func TestNetworkHoldsBytesOfSilentPath(t *testing.T) {
	tests := map[string]struct {
		linger int
		want   string
	}{"closed": {-1, "request"}, "reset": {0, ""}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := faker.NewNetwork(time.Millisecond, time.Minute)
				near, far, address := connect(t, nw)
				nw.SetPath("a", address, faker.PathSilent)
				_, _ = near.Write([]byte("request"))
				time.Sleep(time.Second)
				_ = near.(interface{ SetLinger(seconds int) error }).SetLinger(tt.linger)
				_ = near.Close()
				nw.SetPath("a", address, faker.PathOpen)
				if got, _ := io.ReadAll(far); string(got) != tt.want {
					t.Errorf("got %q", got)
				}
			})
		})
	}
}

// The states of a path differ in what open and new connections do.
func TestNetworkPathStates(t *testing.T) {
	tests := map[string]struct {
		state    faker.PathState
		echoes   bool
		openErr  error
		dialErr  error
		dialTime time.Duration
	}{
		"open":       {faker.PathOpen, true, nil, nil, 2 * time.Millisecond},
		"silent":     {faker.PathSilent, false, syscall.ETIMEDOUT, context.DeadlineExceeded, 500 * time.Millisecond},
		"reset":      {faker.PathReset, false, syscall.ECONNRESET, syscall.ECONNREFUSED, 2 * time.Millisecond},
		"keeps open": {faker.PathKeepsOpen, true, nil, context.DeadlineExceeded, 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := faker.NewNetwork(time.Millisecond, 2*time.Second)
				near, far, address := connect(t, nw)
				go func() { _, _ = io.Copy(far, far) }()
				nw.SetPath("a", address, tt.state)
				_, _ = near.Write([]byte("x"))
				_ = near.SetReadDeadline(time.Now().Add(5 * time.Second))
				count, err := near.Read(make([]byte, 1))
				if (count == 1) != tt.echoes || !errors.Is(err, tt.openErr) {
					t.Errorf("read %d bytes, %v", count, err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				began := time.Now()
				_, err = nw.DialFrom("a")(ctx, "tcp4", address)
				if !errors.Is(err, tt.dialErr) || time.Since(began) != tt.dialTime {
					t.Errorf("dial took %v: %v", time.Since(began), err)
				}
				_ = near.Close()
				_ = far.Close()
			})
		})
	}
}
