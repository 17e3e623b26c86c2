package acceptor_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an answer that looks whole, without anything of the target or after a part of it, because the caller has closed
// its side of the connection and still reads.
func TestHalfClosedCallersGetNoWholeAnswer(t *testing.T) {
	tests := map[string]struct {
		path string
		text string
	}{
		"before the answer":                  {"/unsafe/1", ""},
		"before a stream":                    {"/stream/1", ""},
		"in a stream":                        {"/stream/1", firstEvent},
		"in a resumable stream":              {"/resume/1", firstEvent},
		"in a long answer, while it arrives": {"/safe/1", strings.Repeat("long", maxBuffered/4+1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			gone := make(chan struct{})
			t.Cleanup(func() { close(gone) })
			ti := newFramingInstance(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if tt.text != "" {
					_, _ = io.WriteString(w, tt.text)
					_ = http.NewResponseController(w).Flush()
				}
				select {
				case <-r.Context().Done():
				case <-gone:
				}
			}, failure)
			conn, err := net.Dial("tcp4", ti.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: key\r\nRequest-Id: id-1\r\nModel-Name: m/a\r\nContent-Length: 4\r\n\r\nbody",
				tt.path, host)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			_ = conn.(*net.TCPConn).CloseWrite()
			text, _ := io.ReadAll(conn)
			rs, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
			if err != nil {
				return
			}
			defer func() { _ = rs.Body.Close() }()
			if _, err := io.ReadAll(rs.Body); err == nil {
				t.Errorf("a whole answer with status %d", rs.StatusCode)
			}
		})
	}
}
