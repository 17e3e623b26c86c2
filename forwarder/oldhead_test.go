package forwarder_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"lovagebank/forwarder"
)

// Guards against chunks that are passed on as a body, because the target names them in a version of HTTP that has none.
func TestOldHeads(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nRequest-Id: id-1\r\n"
	tests := map[string]struct {
		parts []string
		text  string
		fails bool
	}{
		"until the end of the connection": {[]string{head + "\r\n", "answer"}, "answer", false},
		"with a length":                   {[]string{head + "Content-Length: 6\r\n\r\nanswer"}, "answer", false},
		"chunks":                          {[]string{head + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"}, "", true},
		"chunks, the head in parts":       {[]string{head + "transfer-enc", "oding: chunked\r\n\r", "\n6\r\nanswer\r\n0\r\n\r\n"}, "", true},
		"the name in the body":            {[]string{head + "\r\n", "\ntransfer-encoding: chunked"}, "\ntransfer-encoding: chunked", false},
		"the same in HTTP/1.1": {
			[]string{"HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"}, "answer", false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			st := newScriptedTarget(t, func(st *scriptedTarget, _ int, conn net.Conn, reader *bufio.Reader) {
				st.receive(reader)
				for _, part := range tt.parts {
					write(conn, part)
					time.Sleep(10 * time.Millisecond)
				}
			})
			text, err := send(forwarder.New(forwarder.Options{}), st, "id-1", "body")
			if (err != nil) != tt.fails || text != tt.text {
				t.Errorf("got %q, %v", text, err)
			}
		})
	}
}
