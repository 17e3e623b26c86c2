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

// invokeRaw sends a request to a target that answers with raw bytes. It returns what reached the caller and the target,
// and the cause of a break.
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

// kinds are requests whose answers are read in different ways.
var kinds = map[string]func(*requester.Fields){
	"service":                      func(fields *requester.Fields) { fields.Kind = requester.KindService },
	"service, not to be repeated":  func(fields *requester.Fields) { fields.Kind, fields.Repeatable = requester.KindService, false },
	"engine":                       nil,
	"engine's stream":              asStream,
	"service, nothing to be read":  func(fields *requester.Fields) { fields.Kind, fields.Body = requester.KindService, nil },
	"service, asked by its method": func(fields *requester.Fields) { fields.Kind, fields.Method = requester.KindService, http.MethodPut },
}

// Guards against answers that are none: a status below 100, malformed fields. They count as lost ones, which may have run.
func TestMalformedAnswersAreLost(t *testing.T) {
	const body = `{"model":"a@2"}`
	for kind, change := range kinds {
		for name, head := range faker.RawHeads(len(body)) {
			if !head.Malformed {
				continue
			}
			t.Run(kind+", "+name, func(t *testing.T) {
				answer := faker.RawAnswer{Text: head.With("Content-Type: application/json") + body, End: faker.RawHalfClosed}
				ra, requests, cause, err := invokeRaw(t, newChat(change), answer)
				rf := requester.AsRefusal(err)
				if rf == nil || rf.Code() != requester.CodeTargetLost || rf.Outcome() != requester.OutcomeUnknown || !rf.TargetLost() {
					t.Errorf("got %v", err)
				}
				if cause != inspector.CauseMalformed {
					t.Errorf("recorded cause: %q", cause)
				}
				if ra.status != 0 || ra.body.Len() > 0 || requests != 1 {
					t.Errorf("the caller got status %d and %q of %d requests", ra.status, ra.body.String(), requests)
				}
			})
		}
	}
}

// Guards against a part of a service's answer that is passed on as the whole, as the connection was reset while the
// upload was being written.
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
