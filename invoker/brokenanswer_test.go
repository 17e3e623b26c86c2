package invoker

import (
	"net/http"
	"strings"
	"testing"

	"lovagebank/faker"
	"lovagebank/inspector"
	"lovagebank/requester"
	"lovagebank/wire"
)

// invokeRaw sends a request to a target that answers with raw bytes. It returns what reached the caller and the target, and the cause of a break.
func invokeRaw(t *testing.T, rq *requester.Request, answer faker.RawAnswer) (ra *recordedAnswer, requests int64, cause inspector.Cause, err error) {
	t.Helper()
	rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Close()
	iv := New(Options{Broken: func(_ string, err error) { cause = inspector.CauseOf(err) }})
	defer iv.Close()
	ra = &recordedAnswer{}
	_, err = iv.Invoke(t.Context(), &wire.Target{Id: "t", Address: rs.Address()}, rq, 1, ra.sink())
	return ra, rs.Requests(), cause, err
}

// Guards against a part of a service's answer that is passed on as the whole, as the connection was reset while the upload was being written.
func TestResetWithinUpload(t *testing.T) {
	const plays = 20
	long := newChat(func(fields *requester.Fields) {
		fields.Kind, fields.Body = requester.KindService, []byte(strings.Repeat("upload--", 2<<20))
	})
	tests := map[string]struct {
		answer faker.RawAnswer
		whole  bool
	}{
		"reset":           {faker.RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart", End: faker.RawReset}, false},
		"reset later":     {faker.RawAnswer{Upload: 4 << 20, Text: "HTTP/1.1 200 OK\r\n\r\npart", End: faker.RawReset}, false},
		"closed unread":   {faker.RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart", End: faker.RawUnread}, false},
		"closed in order": {faker.RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: faker.RawClosed}, true},
		"half closed":     {faker.RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: faker.RawHalfClosed}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for range plays {
				ra, _, cause, err := invokeRaw(t, long, tt.answer)
				if (err == nil) != tt.whole || tt.whole && ra.body.String() != "whole" {
					wrong++
				}
				if !tt.whole && cause != inspector.CauseReset {
					t.Errorf("recorded cause: %q", cause)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d plays: looks whole is %t", wrong, plays, !tt.whole)
			}
		})
	}
}
