package supervisor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"lovagebank/emulator"
)

// answerTo sends a request of a caller on a connection and returns the status of its answer; 0 if the connection ends without one.
func answerTo(conn net.Conn, id, path string) int {
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody",
		path, emulator.Host, id, emulator.Key)
	if _, err := conn.Write([]byte(text)); err != nil {
		return 0
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = rs.Body.Close()
	return rs.StatusCode
}

// Guards against requests that a stopping instance takes and passes on although it will end before their answers, and that are cut at
// its end without an answer.
func TestStopCutsNoRequest(t *testing.T) {
	tests := map[string]struct {
		// after is when the request is sent, from the beginning of the stop, on a connection that was opened in the first two seconds.
		after  time.Duration
		delay  time.Duration
		status int
		runs   int
	}{
		"before the stop, answered in time":        {-time.Second, 3 * time.Second, http.StatusOK, 1},
		"as the stop begins, answered in time":     {time.Second, 3 * time.Second, http.StatusOK, 1},
		"as the stop begins, not answered in time": {2400 * time.Millisecond, 9 * time.Second, http.StatusGatewayTimeout, 1},
		"late":               {6 * time.Second, 3 * time.Second, http.StatusServiceUnavailable, 0},
		"in the last second": {6900 * time.Millisecond, 3 * time.Second, http.StatusServiceUnavailable, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			playVirtually(t, 2, emulator.Options{}, func(vf *virtualFleet) {
				for _, id := range vf.fleet.TargetIDs() {
					vf.fleet.Target(id).DelayAnswers(tt.delay)
				}
				vi := vf.instances[0]
				dial := func() net.Conn {
					conn, err := vf.network.DialFrom("callers")(context.Background(), "tcp4", vi.callers)
					if err != nil {
						t.Fatal(err)
					}
					return conn
				}
				began := time.Now().Add(2 * time.Second)
				stopped := make(chan struct{})
				time.AfterFunc(time.Until(began), func() {
					defer close(stopped)
					vi.drain(context.Background(), vi.servers)
				})
				// A connection without a byte is closed 5 s after it was opened, if the instance stops.
				time.Sleep(time.Until(began.Add(min(tt.after, 2*time.Second))))
				conn := dial()
				defer func() { _ = conn.Close() }()
				if tt.after > 0 {
					// Another request keeps the instance from ending early.
					other := dial()
					defer func() { _ = other.Close() }()
					vf.fleet.Target("application-0").DelayAnswers(9 * time.Second)
					vf.fleet.Target("application-1").DelayAnswers(9 * time.Second)
					go answerTo(other, "other", "/order/1")
					time.Sleep(100 * time.Millisecond)
					for _, id := range vf.fleet.TargetIDs() {
						vf.fleet.Target(id).DelayAnswers(tt.delay)
					}
				}
				time.Sleep(time.Until(began.Add(tt.after)))
				if status := answerTo(conn, "held", "/order/1"); status != tt.status {
					t.Errorf("status %d, want %d", status, tt.status)
				}
				<-stopped
				if took := time.Since(began); took > 8*time.Second {
					t.Errorf("the stop took %v", took)
				}
				runs := 0
				for _, ru := range vf.fleet.Runs() {
					if ru.ID == "held" {
						runs++
					}
				}
				if runs != tt.runs {
					t.Errorf("%d runs, want %d", runs, tt.runs)
				}
			})
		})
	}
}
