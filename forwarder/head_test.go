package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"lovagebank/forwarder"
)

// Guards against an answer that was broken off inside its head and counted as one without a body, or with a short one.
func TestHeadsCutShort(t *testing.T) {
	tests := map[string]struct{ fields, body string }{
		"with a length":                 {"Content-Length: 12\r\n", "twelve bytes"},
		"with chunks":                   {"Transfer-Encoding: chunked\r\n", "c\r\ntwelve bytes\r\n0\r\n\r\n"},
		"with neither":                  {"Content-Type: text/event-stream\r\n", "data: x\n\n"},
		"with a close":                  {"Connection: close\r\n", "twelve bytes"},
		"with a field on several lines": {"Long: a\r\n b\r\n\tc\r\n", "twelve bytes"},
		"with an empty field":           {"Empty:\r\nBlank:  \r\n", "twelve bytes"},
	}
	for name, tt := range tests {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, ends := range []string{"\r\n", "\n"} {
				head := fmt.Sprintf("%s 200 OK\r\nRequest-Id: id-1\r\n%s\r\n", protocol, tt.fields)
				head = strings.ReplaceAll(head, "\r\n", ends)
				t.Run(fmt.Sprintf("%s, %s, %q", name, protocol, ends), func(t *testing.T) {
					st := newScriptedTarget(t, func(st *scriptedTarget, number int, conn net.Conn, reader *bufio.Reader) {
						st.receive(reader)
						write(conn, head[:min(number, len(head))])
						if number >= len(head) {
							write(conn, tt.body)
						}
					})
					fo := forwarder.New(forwarder.Options{})
					for cut := range len(head) {
						if text, err := send(fo, st, "id-1", "body"); err == nil {
							t.Errorf("cut after %q: a whole answer %q", head[:cut], text)
						} else if !mayHaveRun(t, err) {
							t.Errorf("cut after %q: %v, though the request may have run", head[:cut], err)
						}
					}
					// HTTP/1.0 knows no chunks: TestOldHeads.
					valid := protocol != "HTTP/1.0" || name != "with chunks"
					if _, err := send(fo, st, "id-1", "body"); (err == nil) != valid {
						t.Errorf("the whole head: %v", err)
					}
				})
			}
		}
	}
}
