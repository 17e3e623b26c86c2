package invoker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// got is what a caller received.
type got struct {
	status int
	body   strings.Builder
}

func (gt *got) sink() requester.Sink {
	return requester.Sink{
		Head: func(status int, _ http.Header) error { gt.status = status; return nil },
		Data: func(chunk []byte) error { gt.body.Write(chunk); return nil },
	}
}

func newChat(change func(*requester.Fields)) *requester.Request {
	fields := requester.Fields{
		ID: "r", Kind: requester.KindChat, Adapter: "a", Version: "2", Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"model":"a","messages":[]}`), Repeatable: true, MaxTokens: 1, Header: http.Header{
			"Authorization": {"Bearer key"}, "Cookie": {"c"}, "X-Api-Key": {"key"}, "Accept-Language": {"es"},
		},
	}
	if change != nil {
		change(&fields)
	}
	return requester.New(fields)
}

func stream(fields *requester.Fields) { fields.Stream = true }

func chunk(model string, index int) string {
	return fmt.Sprintf("data: {\"model\":%q,\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"usage\":{\"completion_tokens\":%d,"+
		"\"prompt_tokens\":7}}\n\n", model, index)
}

const doneEvent = "data: [DONE]\n\n"

func writeStream(rw http.ResponseWriter, parts ...string) {
	rw.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	for _, part := range parts {
		_, _ = io.WriteString(rw, part)
		_ = http.NewResponseController(rw).Flush()
	}
}

func writeWhole(rw http.ResponseWriter, model string) {
	_, _ = fmt.Fprintf(rw, `{"model":%q,"usage":{"completion_tokens":5,"prompt_tokens":7}}`, model)
}

// hang reads the body, without which the server would not see that the caller leaves.
func hang(hr *http.Request) {
	_, _ = io.Copy(io.Discard, hr.Body)
	<-hr.Context().Done()
}

func cut() { panic(http.ErrAbortHandler) }

func TestInvoke(t *testing.T) {
	tests := map[string]struct {
		change func(*requester.Fields)
		engine http.HandlerFunc
		// want is the answer passed on; code is the refusal's, empty for none.
		want   string
		code   requester.Code
		lost   bool
		tokens int64
	}{
		"whole answer": {
			engine: func(rw http.ResponseWriter, _ *http.Request) { writeWhole(rw, "a@2") },
			want:   `{"model":"a@2","usage":{"completion_tokens":5,"prompt_tokens":7}}`, tokens: 5,
		},
		"whole answer of another version": {
			engine: func(rw http.ResponseWriter, _ *http.Request) { writeWhole(rw, "a@1") },
			code:   requester.CodeWrongAdapter,
		},
		"stream": {
			change: stream, engine: func(rw http.ResponseWriter, _ *http.Request) {
				writeStream(rw, chunk("a@2", 1), chunk("a@2", 2), doneEvent)
			},
			want: chunk("a@2", 1) + chunk("a@2", 2) + doneEvent, tokens: 2,
		},
		"stream that changes its version": {
			change: stream, engine: func(rw http.ResponseWriter, _ *http.Request) {
				writeStream(rw, chunk("a@2", 1), chunk("a@3", 2), doneEvent)
			},
			want: chunk("a@2", 1), code: requester.CodeWrongAdapter, tokens: 1,
		},
		"stream without its closing mark": {
			change: stream, engine: func(rw http.ResponseWriter, _ *http.Request) { writeStream(rw, chunk("a@2", 1)) },
			want: chunk("a@2", 1), code: requester.CodeTargetLost, lost: true, tokens: 1,
		},
		"stream cut within an event": {
			change: stream, engine: func(rw http.ResponseWriter, _ *http.Request) {
				writeStream(rw, chunk("a@2", 1), chunk("a@2", 2)[:20])
				cut()
			},
			want: chunk("a@2", 1), code: requester.CodeTargetLost, lost: true, tokens: 1,
		},
		"stream that goes silent": {
			change: stream, engine: func(rw http.ResponseWriter, hr *http.Request) {
				writeStream(rw, chunk("a@2", 1))
				hang(hr)
			},
			want: chunk("a@2", 1), code: requester.CodeTargetLost, tokens: 1,
		},
		"silence from the start": {
			engine: func(_ http.ResponseWriter, hr *http.Request) { hang(hr) }, code: requester.CodeTargetLost,
		},
		"cut before the answer": {
			engine: func(http.ResponseWriter, *http.Request) { cut() }, code: requester.CodeTargetLost, lost: true,
		},
		"deadline while it runs": {
			change: func(fields *requester.Fields) { fields.Deadline = time.Now().Add(100 * time.Millisecond) },
			engine: func(_ http.ResponseWriter, hr *http.Request) { hang(hr) }, code: requester.CodeDeadline,
		},
		"absent adapter": {
			engine: func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNotFound) },
			code:   requester.CodeWrongAdapter,
		},
		"a service's error is its answer": {
			change: func(fields *requester.Fields) { fields.Kind = requester.KindService },
			engine: func(rw http.ResponseWriter, _ *http.Request) {
				rw.WriteHeader(http.StatusConflict)
				_, _ = io.WriteString(rw, "taken")
			},
			want: "taken",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.engine)
			defer server.Close()
			iv := New(Options{FirstByteTimeout: 500 * time.Millisecond, TokenGapTimeout: 500 * time.Millisecond, TokenTime: time.Millisecond})
			defer iv.Close()
			var answer got
			us, err := iv.Invoke(t.Context(), targetOf(server), newChat(test.change), 1, answer.sink())
			rf := requester.AsRefusal(err)
			if answer.body.String() != test.want || us.GeneratedTokens() != test.tokens {
				t.Errorf("got %q, %d tokens", answer.body.String(), us.GeneratedTokens())
			}
			if (rf == nil) != (test.code == "") {
				t.Fatalf("error %v", err)
			}
			if rf != nil && (rf.Code() != test.code || rf.Outcome() != requester.OutcomeUnknown || rf.TargetLost() != test.lost) {
				t.Errorf("refusal %v, %s, lost %v", rf, rf.Outcome(), rf.TargetLost())
			}
		})
	}
}

func targetOf(server *httptest.Server) *wire.Target {
	return &wire.Target{Id: "t", Address: server.Listener.Addr().String()}
}

func TestForwardedHeaders(t *testing.T) {
	for name, kind := range map[string]requester.Kind{"engine": requester.KindChat, "service": requester.KindService} {
		t.Run(name, func(t *testing.T) {
			var seen http.Header
			var body []byte
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
				seen = hr.Header
				body, _ = io.ReadAll(hr.Body)
				writeWhole(rw, "a@2")
			}))
			defer server.Close()
			iv := New(Options{})
			defer iv.Close()
			rq := newChat(func(fields *requester.Fields) {
				fields.Kind, fields.Organisation, fields.IdempotencyKey, fields.ResumeFrom = kind, "o", "k", 3
			})
			var answer got
			if _, err := iv.Invoke(t.Context(), targetOf(server), rq, 9, answer.sink()); err != nil {
				t.Fatal(err)
			}
			for _, secret := range []string{"Authorization", "Cookie", "X-Api-Key"} {
				if seen.Get(secret) != "" {
					t.Errorf("%s reached the target", secret)
				}
			}
			if seen.Get("Accept-Language") != "es" || seen.Get("Lovagebank-Request-Id") != "r" {
				t.Errorf("headers %v", seen)
			}
			if kind == requester.KindService {
				if seen.Get("Idempotency-Key") != "k" || seen.Get("Lovagebank-Organisation") != "o" || string(body) != string(rq.Body()) {
					t.Errorf("headers %v, body %s", seen, body)
				}
				return
			}
			if seen.Get("Lovagebank-Fencing-Number") != "9" || seen.Get("Lovagebank-Resume-From") != "3" {
				t.Errorf("headers %v", seen)
			}
			if string(body) != `{"model":"a@2","messages":[]}` {
				t.Errorf("body %s", body)
			}
		})
	}
}

func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &wire.Target{Id: "t", Address: listener.Addr().String()}
	_ = listener.Close()
	iv := New(Options{})
	_, err = iv.Invoke(t.Context(), tg, newChat(nil), 1, requester.Sink{})
	if rf := requester.AsRefusal(err); rf.Code() != requester.CodeTargetLost || rf.Outcome() != requester.OutcomeNotRun {
		t.Errorf("error %v, %s", err, rf.Outcome())
	}
	if iv.Reachable(t.Context(), tg) {
		t.Error("reachable")
	}
}

// TestSentOnce closes the connection after each request has come: one that may not be repeated must not be sent again,
// though its Idempotency-Key makes net/http repeat it on a kept connection.
func TestSentOnce(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			cut()
		}
		_, _ = io.WriteString(rw, "ok")
	}))
	defer server.Close()
	iv := New(Options{})
	defer iv.Close()
	rq := newChat(func(fields *requester.Fields) {
		fields.Kind, fields.Repeatable, fields.IdempotencyKey, fields.Body = requester.KindService, false, "k", nil
	})
	for range 2 {
		var answer got
		_, _ = iv.Invoke(t.Context(), targetOf(server), rq, 0, answer.sink())
	}
	if calls.Load() != 2 {
		t.Errorf("%d calls for two requests", calls.Load())
	}
}

func TestOrders(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
		unload bool
	}{
		"done":           {status: http.StatusOK},
		"old fencing":    {status: http.StatusPreconditionFailed, want: ErrOutdatedFencing},
		"no slot":        {status: http.StatusConflict, want: ErrNoSlot},
		"there already":  {status: http.StatusBadRequest, body: "has already been loaded", want: ErrAlreadyLoaded},
		"gone already":   {status: http.StatusNotFound, unload: true, want: ErrNotLoaded},
		"failed to load": {status: http.StatusInternalServerError, want: errAny},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.WriteHeader(test.status)
				_, _ = io.WriteString(rw, test.body)
			}))
			defer server.Close()
			iv := New(Options{})
			defer iv.Close()
			call := iv.LoadAdapter
			if test.unload {
				call = iv.UnloadAdapter
			}
			err := call(context.Background(), targetOf(server), "a@2", 1)
			if (err == nil) != (test.want == nil) || !errors.Is(test.want, errAny) && !errors.Is(err, test.want) {
				t.Errorf("error %v", err)
			}
		})
	}
}

var errAny = errors.New("any")
