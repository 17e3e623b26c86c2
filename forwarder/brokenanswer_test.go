package forwarder_test

import (
	"io"
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

// Guards against a part of an answer that its caller took for the whole: the target reset the connection while the
// upload was being written, the write learned of it, and the read was told that the answer had ended in order.
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

// Guards against the same when the reset comes long after the answer's last byte, while nothing but the write is in
// progress: a body without a length is a part then, however much of it has been read; one with a length is whole.
func TestResetAfterTheLastByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
	tests := map[string]struct {
		text  string
		end   faker.RawEnd
		whole bool
	}{
		"no length, reset":           {head + "\r\nanswer", faker.RawReset, false},
		"no length, closed unread":   {head + "\r\nanswer", faker.RawUnread, false},
		"no length, closed in order": {head + "\r\nanswer", faker.RawClosed, true},
		"a length":                   {head + "Content-Length: 6\r\n\r\nanswer", faker.RawReset, true},
		"chunks":                     {head + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", faker.RawReset, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range resetPlays {
				read := make(chan struct{})
				rs := newRawTarget(t, faker.RawAnswer{Text: tt.text, Until: read, End: tt.end})
				got, err := forwarder.New(forwarder.Options{}).Send(t.Context(), forwarder.Target{ID: "t", Address: rs.Address()}, &forwarder.Request{
					Method: http.MethodPost, URI: "/", Host: "h", ID: "id-1", Body: []byte(longUpload), HasBody: true,
					ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
				})
				if err != nil {
					t.Fatal(err)
				}
				text := make([]byte, len("answer"))
				if _, err := io.ReadFull(got, text); err != nil {
					t.Fatal(err)
				}
				close(read)
				rest, err := io.ReadAll(got)
				got.Close()
				if (err == nil) != tt.whole || len(rest) > 0 {
					t.Errorf("%q and %q, then %v", text, rest, err)
				}
			}
		})
	}
}

// Guards against answers whose head is malformed: their fields or their body reached the caller. Unusual heads that the
// protocol allows stay answers.
func TestMalformedHeads(t *testing.T) {
	const body = "twelve bytes"
	for name, head := range faker.RawHeads(len(body)) {
		t.Run(name, func(t *testing.T) {
			for _, tt := range []struct {
				body string
				end  faker.RawEnd
			}{{body, faker.RawOpen}, {"\r\n" + body, faker.RawHalfClosed}, {"c\r\n" + body + "\r\n0\r\n\r\n", faker.RawHalfClosed}} {
				text := head.With("Request-Id: id-1") + tt.body
				rs := newRawTarget(t, faker.RawAnswer{Text: text, End: tt.end})
				got, err := sendTo(forwarder.New(forwarder.Options{}), rs.Address(), "id-1", "body")
				switch {
				case head.Malformed && err == nil:
					t.Errorf("answer %q: taken for an answer: %q", tt.body, got)
				case head.Malformed && !mayHaveRun(t, err):
					t.Errorf("answer %q: %v, though the request may have run", tt.body, err)
				case !head.Malformed && tt.body == body && (err != nil || got != body):
					t.Errorf("got %q, %v", got, err)
				}
			}
		})
	}
}

// Statuses above 599 are answers (RFC 9110, 15), and those that come behind interim ones.
func TestUnusualStatuses(t *testing.T) {
	for name, tt := range map[string]struct {
		text   string
		status int
	}{
		"above 599":              {"HTTP/1.1 600 Odd\r\n", 600},
		"the highest":            {"HTTP/1.1 999 Odd\r\n", 999},
		"behind interim answers": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Full\r\n", 503},
	} {
		t.Run(name, func(t *testing.T) {
			rs := newRawTarget(t, faker.RawAnswer{Text: tt.text + "Request-Id: id-1\r\nContent-Length: 0\r\n\r\n"})
			got, err := forwarder.New(forwarder.Options{}).Send(t.Context(), forwarder.Target{ID: "t", Address: rs.Address()}, &forwarder.Request{
				Method: http.MethodGet, URI: "/", Host: "h", ID: "id-1",
				ResponseID: func(header http.Header) string { return header.Get("Request-Id") },
			})
			if err != nil {
				t.Fatal(err)
			}
			defer got.Close()
			if got.Status() != tt.status {
				t.Errorf("status %d", got.Status())
			}
		})
	}
}

func TestMalformedTrailers(t *testing.T) {
	for name, tt := range faker.RawTrailers() {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + tt.Text + "\r\n"
			rs := newRawTarget(t, faker.RawAnswer{Text: text, End: faker.RawHalfClosed})
			got, err := sendTo(forwarder.New(forwarder.Options{}), rs.Address(), "id-1", "body")
			if (err != nil) != tt.Malformed || err == nil && got != "whole" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
