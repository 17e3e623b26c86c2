package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"lovagebank/faker"
	"lovagebank/forwarder"
)

// resetPlays is the number of plays of each case in which reader and writer of a connection race for its error.
const resetPlays = 20

// longUpload is a request body that fills all buffers between a client and a server that does not read.
var longUpload = strings.Repeat("upload--", 2<<20)

// newRawTarget starts a target that answers each request as given, after the fields that name the request.
func newRawTarget(t *testing.T, answer faker.RawAnswer) *faker.RawServer {
	t.Helper()
	rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rs.Close)
	return rs
}

// Guards against a part of an answer that its caller took for the whole: the target reset the connection while the upload was being written,
// the write learned of it, and the read was told that the answer had ended in order.
func TestResetWithinUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
	const eventHead = head + "Content-Type: text/event-stream\r\n"
	tests := map[string]struct {
		answer faker.RawAnswer
		text   string
		whole  bool
	}{
		"no length, reset at once":        {faker.RawAnswer{Text: head + "\r\npart", End: faker.RawReset}, "", false},
		"no length, reset later":          {faker.RawAnswer{Upload: 4 << 20, Text: head + "\r\npart", End: faker.RawReset}, "", false},
		"no length, closed unread":        {faker.RawAnswer{Text: head + "\r\npart", End: faker.RawUnread}, "", false},
		"no length, empty":                {faker.RawAnswer{Text: head + "\r\n", End: faker.RawReset}, "", false},
		"events without a length":         {faker.RawAnswer{Text: eventHead + "\r\nid: 1\ndata: x\n\n", End: faker.RawReset}, "", false},
		"a part of a length":              {faker.RawAnswer{Text: head + "Content-Length: 9\r\n\r\npart", End: faker.RawReset}, "", false},
		"a part of the chunks":            {faker.RawAnswer{Text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", End: faker.RawReset}, "", false},
		"a part of the trailer":           {faker.RawAnswer{Text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nOdd: x\r\n", End: faker.RawReset}, "", false},
		"a part of the head":              {faker.RawAnswer{Text: head, End: faker.RawReset}, "", false},
		"whole by its length":             {faker.RawAnswer{Text: head + "Content-Length: 5\r\n\r\nwhole", End: faker.RawReset}, "whole", true},
		"whole by its chunks":             {faker.RawAnswer{Text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End: faker.RawReset}, "whole", true},
		"no length, ended in order":       {faker.RawAnswer{Text: head + "\r\nwhole", End: faker.RawHalfClosed}, "whole", true},
		"no length, closed in order":      {faker.RawAnswer{Text: head + "\r\nwhole", End: faker.RawClosed}, "whole", true},
		"no length, closed after a while": {faker.RawAnswer{Upload: 4 << 20, Text: head + "\r\nwhole", End: faker.RawClosed}, "whole", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rs := newRawTarget(t, tt.answer)
			wrong := 0
			for range resetPlays {
				text, err := sendTo(forwarder.New(forwarder.Options{}), rs.Address(), "id-1", longUpload)
				if (err == nil) != tt.whole || tt.whole && text != tt.text {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d plays: looks whole is %t", wrong, resetPlays, !tt.whole)
			}
		})
	}
}
