package acceptor_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"lovagebank/acceptor"
	"lovagebank/balancer"
	"lovagebank/faker"
	"lovagebank/inspector"
	"lovagebank/router"
)

// addRawTarget adds a target of a service that answers with raw bytes, and that is chosen before others.
func (ti *testInstance) addRawTarget(id, service string, answer faker.RawAnswer) *faker.RawServer {
	ti.t.Helper()
	rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer { return answer })
	if err != nil {
		ti.t.Fatal(err)
	}
	ti.t.Cleanup(rs.Close)
	ti.balancer.SetTarget(balancer.NewTarget(balancer.TargetOptions{
		ID: id, Service: service, Address: rs.Address(), Slots: 10, Software: "v1", FailureDomain: id,
	}))
	if service == "engines" {
		ti.setHeld(id, "a")
	}
	return rs
}

// Guards against answers that are none: their status, fields or body reached the caller, or changed what the target is
// believed to be. Like lost ones, they are asked for again only where the request may be repeated.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	const fields = "Request-Id: id-1\r\nResponse-Seal: seal\r\nServer-Leaving: 1\r\nNot-Executed: 1\r\nServer-Limit: 1"
	for name, head := range faker.RawHeads(len("hidden")) {
		if !head.Malformed {
			continue
		}
		for path, service := range map[string]string{"/safe/1": "plain", "/unsafe/1": "plain", "/stream/1": "engines", "/resume/1": "engines"} {
			t.Run(name+", "+path, func(t *testing.T) {
				var broken []acceptor.BrokenAnswer
				ti := newTestInstanceOptions(t, 100, func(op *acceptor.Options) {
					op.AnswerBroken = func(ba acceptor.BrokenAnswer) { broken = append(broken, ba) }
					op.TargetLeaving = func(balancer.Start) { t.Error("the target counts as leaving") }
				})
				first := ti.addRawTarget("t1", service, faker.RawAnswer{Text: head.With(fields) + "hidden", End: faker.RawHalfClosed})
				second := ti.addRawTarget("t2", service, faker.RawAnswer{Text: head.With(fields) + "hidden", End: faker.RawHalfClosed})
				rs, text := ti.expectStatus(path, nil, http.StatusBadGateway)
				if rs.Header.Get("Response-Seal") != "" || strings.Contains(text, "hidden") {
					t.Errorf("got %v, %q", rs.Header, text)
				}
				repeated := path == "/safe/1" || path == "/resume/1"
				if sent := first.Requests() + second.Requests(); sent > 1 != repeated || sent != int64(len(broken)) {
					t.Errorf("sent %d times, %d answers broke off", sent, len(broken))
				}
				if len(broken) == 0 || broken[0].Cause == nil || broken[0].Begun {
					t.Errorf("recorded: %+v", broken)
				}
			})
		}
	}
}

// Guards against a part of an answer that its caller took for the whole, as the target reset the connection while the
// upload was being written.
func TestResetWithinUploadReachesNoCaller(t *testing.T) {
	const plays = 5
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: seal\r\n"
	upload := strings.Repeat("upload--", 2<<20)
	tests := map[string]struct {
		path, service string
		answer        faker.RawAnswer
		whole         bool
	}{
		"safe":                   {"/safe/1", "plain", faker.RawAnswer{Text: head + "\r\npart", End: faker.RawReset}, false},
		"unsafe":                 {"/unsafe/1", "plain", faker.RawAnswer{Text: head + "\r\npart", End: faker.RawReset}, false},
		"unsafe, later":          {"/unsafe/1", "plain", faker.RawAnswer{Upload: 4 << 20, Text: head + "\r\npart", End: faker.RawReset}, false},
		"unsafe, closed unread":  {"/unsafe/1", "plain", faker.RawAnswer{Text: head + "\r\npart", End: faker.RawUnread}, false},
		"a stream":               {"/stream/1", "engines", faker.RawAnswer{Text: head + bareHead + "\r\n" + firstEvent, End: faker.RawReset}, false},
		"a long answer":          {"/unsafe/1", "plain", faker.RawAnswer{Text: head + "\r\n" + strings.Repeat("x", 2*maxBuffered), End: faker.RawReset}, false},
		"whole, closed in order": {"/unsafe/1", "plain", faker.RawAnswer{Text: head + "\r\nwhole", End: faker.RawClosed}, true},
		"whole, half closed":     {"/unsafe/1", "plain", faker.RawAnswer{Text: head + "\r\nwhole", End: faker.RawHalfClosed}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for range plays {
				var causes []error
				ti := newTestInstanceOptions(t, 100, func(op *acceptor.Options) {
					cf := configurationWith(64 << 20)
					op.Configuration = func() *router.Configuration { return cf }
					op.AnswerBroken = func(ba acceptor.BrokenAnswer) { causes = append(causes, ba.Cause) }
				})
				ti.addRawTarget("t1", tt.service, tt.answer)
				rs, text, err := ti.send(tt.path, func(rq *http.Request) {
					rq.Body, rq.ContentLength = io.NopCloser(strings.NewReader(upload)), int64(len(upload))
				})
				whole := err == nil && rs.StatusCode == http.StatusOK
				if whole != tt.whole || tt.whole && text != "whole" {
					wrong++
				}
				<-ti.outcomes
				if !tt.whole && (len(causes) != 1 || inspector.CauseOf(causes[0]) != inspector.CauseReset) {
					t.Errorf("recorded causes: %v", causes)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d plays: looks whole is %t", wrong, plays, !tt.whole)
			}
		})
	}
}
