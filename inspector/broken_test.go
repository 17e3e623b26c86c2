package inspector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lovagebank/faker"
	"lovagebank/inspector"
)

// resetPlays is the number of plays of each case in which reader and writer of a connection race for its error.
const resetPlays = 20

// longUpload is a request body that fills all buffers between a client and a server that does not read.
var longUpload = strings.Repeat("upload--", 2<<20)

// exchange sends a request over an http.Transport and returns the body of its answer.
func exchange(t *testing.T, body string, answer faker.RawAnswer) (string, error) {
	t.Helper()
	rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Close()
	client := &http.Client{Transport: inspector.BoundHeads(&http.Transport{
		DialContext: inspector.WrapDial((&net.Dialer{}).DialContext, inspector.Budget{}),
	})}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+rs.Address(), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	got, err := client.Do(rq)
	if err != nil {
		return "", err
	}
	defer func() { _ = got.Body.Close() }()
	text, err := io.ReadAll(got.Body)
	return string(text), err
}

// Guards against a part of an answer that a reader of net/http takes for the whole, as in forwarder.TestResetWithinUpload.
func TestTransportResetWithinUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		answer faker.RawAnswer
		text   string
		whole  bool
	}{
		"no length, reset at once":        {faker.RawAnswer{Text: head + "\r\npart", End: faker.RawReset}, "", false},
		"no length, reset later":          {faker.RawAnswer{Upload: 4 << 20, Text: head + "\r\npart", End: faker.RawReset}, "", false},
		"no length, closed unread":        {faker.RawAnswer{Text: head + "\r\npart", End: faker.RawUnread}, "", false},
		"a part of a length":              {faker.RawAnswer{Text: head + "Content-Length: 9\r\n\r\npart", End: faker.RawReset}, "", false},
		"a part of the chunks":            {faker.RawAnswer{Text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", End: faker.RawReset}, "", false},
		"no length, ended in order":       {faker.RawAnswer{Text: head + "\r\nwhole", End: faker.RawHalfClosed}, "whole", true},
		"no length, closed in order":      {faker.RawAnswer{Text: head + "\r\nwhole", End: faker.RawClosed}, "whole", true},
		"no length, closed after a while": {faker.RawAnswer{Upload: 4 << 20, Text: head + "\r\nwhole", End: faker.RawClosed}, "whole", true},
		"whole by its length":             {faker.RawAnswer{Text: head + "Content-Length: 5\r\n\r\nwhole", End: faker.RawClosed}, "whole", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for range resetPlays {
				text, err := exchange(t, longUpload, tt.answer)
				if (err == nil) != tt.whole || tt.whole && text != tt.text {
					wrong++
					t.Logf("got %q, %v", text, err)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d plays: looks whole is %t", wrong, resetPlays, !tt.whole)
			}
		})
	}
}

// Guards against answers whose head or trailer is malformed: net/http takes statuses from 000, names with blanks, and
// chunks in HTTP/1.0 for a body. Unusual heads that the protocol allows stay answers.
func TestTransportMalformedHeads(t *testing.T) {
	const body = "twelve bytes"
	for name, head := range faker.RawHeads(len(body)) {
		t.Run(name, func(t *testing.T) {
			for _, tt := range []struct{ upload, text string }{{"body", body}, {longUpload, body}, {"body", "c\r\n" + body + "\r\n0\r\n\r\n"}} {
				if !head.Malformed && tt.text != body {
					continue
				}
				got, err := exchange(t, tt.upload, faker.RawAnswer{Text: head.With("Last: x") + tt.text, End: faker.RawHalfClosed})
				var malformed inspector.MalformedError
				if head.Malformed != errors.As(err, &malformed) || !head.Malformed && (err != nil || got != body) {
					t.Errorf("%d bytes up, %q down: got %q, %v", len(tt.upload), tt.text, got, err)
				}
			}
		})
	}
}

// roundTrip is a transport that reads answers on connections of its own.
type roundTrip func(*http.Request) (*http.Response, error)

func (rt roundTrip) RoundTrip(rq *http.Request) (*http.Response, error) { return rt(rq) }

// Guards against a head that no connection has looked at, as its bytes came before the request had one.
func TestTransportChecksWhatItReturns(t *testing.T) {
	tests := map[string]struct {
		status int
		name   string
		fails  bool
	}{
		"sound": {200, "Odd", false}, "status 000": {0, "Odd", true}, "another protocol": {101, "Odd", true},
		"a blank in a name": {200, "Odd Name", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			next := roundTrip(func(*http.Request) (*http.Response, error) {
				header := http.Header{tt.name: {"x"}}
				return &http.Response{StatusCode: tt.status, Header: header, Body: http.NoBody}, nil
			})
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1:1", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			answer, err := inspector.BoundHeads(next).RoundTrip(rq)
			if (err != nil) != tt.fails {
				t.Errorf("got %v", err)
			}
			if err == nil {
				_ = answer.Body.Close()
			}
		})
	}
}

// Guards against a head that is judged by the parts in which it arrives.
func TestHeadsInParts(t *testing.T) {
	for name, head := range faker.RawHeads(0) {
		t.Run(name, func(t *testing.T) {
			text := head.With("Last: x")
			for _, step := range []int{1, 2, 3, 7, len(text)} {
				he := inspector.NewHead(inspector.Budget{})
				he.Begin()
				var err error
				for at := 0; at < len(text) && err == nil; at += step {
					err = he.Add([]byte(text[at:min(at+step, len(text))]))
				}
				var malformed inspector.MalformedError
				if errors.As(err, &malformed) != head.Malformed || he.Inside() != head.Malformed {
					t.Errorf("in steps of %d: %v, inside the head: %t", step, err, he.Inside())
				}
			}
		})
	}
}

func TestTransportMalformedTrailers(t *testing.T) {
	for name, tt := range faker.RawTrailers() {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + tt.Text + "\r\n"
			got, err := exchange(t, "body", faker.RawAnswer{Text: text, End: faker.RawHalfClosed})
			if (err != nil) != tt.Malformed || err == nil && got != "whole" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
