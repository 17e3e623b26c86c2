package receiver_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/authenticator"
	"lovagebank/configurer"
	"lovagebank/receiver"
	"lovagebank/requester"
)

const plans = `
[organisation castaneda]
plan = dealer

[organisation indus]
plan = office
`

const uses = `
[plan dealer]
rate = 100
burst = 1000
urgency = interactive
deadline = 5s
adapters = parts, shared-*
services = stock, orders

[plan office]
rate = 100
burst = 1000
urgency = standard
deadline = 9s
adapters = notes
services = stock

[adapter parts]
organisation = castaneda
base = base-7b
current = 3
versions = 2, 3

[adapter workshop]
organisation = castaneda
base = base-7b
current = 1
versions = 1

[adapter notes]
organisation = indus
base = base-7b
current = 1
versions = 1

[adapter shared-faq]
base = base-7b
current = 1
versions = 1

[service stock]
repeatable = true

[service orders]
repeatable = false

[service opening-hours]
open = true
repeatable = true
`

// bench is a receiver with a fake dispatch, which remembers the last request.
type bench struct {
	handler http.Handler
	key     string
	last    *requester.Request
	used    int64
	answer  func(rq *requester.Request, sink requester.Sink) (requester.Usage, error)
}

func newBench(t testing.TB) *bench {
	t.Helper()
	key, hash := authenticator.NewKey()
	keys := "[key k-1]\norganisation = castaneda\nhash = " + hexadecimal(hash) + "\n"
	docs := configurer.Documents{}.With(configurer.DocumentPlans, plans).With(configurer.DocumentUses, uses).With(configurer.DocumentKeys, keys)
	sn, err := configurer.NewSnapshot(1, docs)
	if err != nil {
		t.Fatal(err)
	}
	current := func() *configurer.Snapshot { return sn }
	be := &bench{key: key, answer: answerWhole}
	be.handler = receiver.New(receiver.Options{
		Snapshot: current,
		Authenticate: func(header http.Header) (string, error) {
			id, err := authenticator.New(current).Authenticate(header)
			return id.Organisation(), err
		},
		StartTrace: func(ctx context.Context, _ *requester.Request) context.Context { return ctx },
		Charge: func(context.Context, *requester.Request) (func(int64), error) {
			return func(used int64) { be.used = used }, nil
		},
		Dispatch: func(_ context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
			be.last = rq
			return be.answer(rq, sink)
		},
		Defer: func(_ context.Context, rq *requester.Request) (string, error) { be.last = rq; return "d1", nil },
		FindDeferred: func(_ context.Context, organisation, id string) (receiver.Deferred, error) {
			if organisation != "castaneda" || id != "d1" {
				return receiver.Deferred{}, requester.Refuse(requester.CodeNotFound, "There is no such request.", 0)
			}
			return receiver.NewFinished(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}, []byte("kept")), nil
		},
		OnFinished: func(*requester.Request, requester.Usage, *requester.Refusal, time.Duration) {},
		Ready:      func() error { return nil },
		Limits:     receiver.Limits{MaxBodyBytes: 4096, BodyTimeout: 500 * time.Millisecond, WriteTimeout: 500 * time.Millisecond, DefaultMaxTokens: 16, MaxTokens: 64, DefaultDeadline: time.Minute},
		Logger:     log.New(io.Discard),
	})
	return be
}

func hexadecimal(hash [32]byte) string {
	const digits = "0123456789abcdef"
	var text strings.Builder
	for _, octet := range hash {
		text.WriteByte(digits[octet>>4])
		text.WriteByte(digits[octet&15])
	}
	return text.String()
}

func answerWhole(rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	if err := sink.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}, "Set-Cookie": {"x"}}); err != nil {
		return requester.Usage{}, err
	}
	return requester.NewUsage(2, 3, rq.Adapter(), rq.Version(), 0, 0), sink.Data([]byte(`{"object":"chat.completion"}`))
}

func (be *bench) send(method, path, body string, header map[string]string) *http.Response {
	hr := httptest.NewRequest(method, "http://127.0.0.1"+path, strings.NewReader(body))
	hr.Header.Set("Authorization", "Bearer "+be.key)
	for name, value := range header {
		hr.Header.Set(name, value)
	}
	rw := httptest.NewRecorder()
	be.handler.ServeHTTP(rw, hr)
	return rw.Result()
}

const chatBody = `{"model":"parts","messages":[{"role":"user","content":"hi"}]}`

func TestStatusAndOutcome(t *testing.T) {
	t.Parallel()
	const chat = "/v1/chat/completions"
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		code               string
	}{
		"whole answer":               {"POST", chat, chatBody, nil, 200, ""},
		"no key":                     {"POST", chat, chatBody, map[string]string{"Authorization": ""}, 401, "unauthorized"},
		"unknown key":                {"POST", chat, chatBody, map[string]string{"Authorization": "Bearer nobody"}, 401, "unauthorized"},
		"adapter outside the plan":   {"POST", chat, strings.Replace(chatBody, "parts", "workshop", 1), nil, 403, "not-in-plan"},
		"another's adapter":          {"POST", chat, strings.Replace(chatBody, "parts", "notes", 1), nil, 404, "not-found"},
		"no such adapter":            {"POST", chat, strings.Replace(chatBody, "parts", "nothing", 1), nil, 404, "not-found"},
		"no such version":            {"POST", chat, strings.Replace(chatBody, "parts", "parts@9", 1), nil, 404, "not-found"},
		"shared adapter":             {"POST", chat, strings.Replace(chatBody, "parts", "shared-faq", 1), nil, 200, ""},
		"truncated JSON":             {"POST", chat, chatBody[:30], nil, 400, "bad-request"},
		"something after the JSON":   {"POST", chat, chatBody + "{}", nil, 400, "bad-request"},
		"doubled field":              {"POST", chat, `{"model":"parts","Model":"notes","messages":[]}`, nil, 400, "bad-request"},
		"not UTF-8":                  {"POST", chat, "{\"model\":\"parts\xff\",\"messages\":[]}", nil, 400, "bad-request"},
		"huge number":                {"POST", chat, `{"model":"parts","messages":[],"max_tokens":1e400}`, nil, 400, "bad-request"},
		"negative number":            {"POST", chat, `{"model":"parts","messages":[],"max_tokens":-1}`, nil, 400, "bad-request"},
		"choices past the bound":     {"POST", chat, `{"model":"parts","messages":[],"max_tokens":60,"n":2}`, nil, 400, "bad-request"},
		"messages missing":           {"POST", chat, `{"model":"parts"}`, nil, 400, "bad-request"},
		"too large":                  {"POST", chat, `{"model":"parts","messages":["` + strings.Repeat("a", 5000) + `"]}`, nil, 413, "too-large"},
		"odd deadline":               {"POST", chat, chatBody, map[string]string{"Lovagebank-Deadline": "soon"}, 400, "bad-request"},
		"wrong method":               {"GET", chat, "", nil, 405, "method-not-allowed"},
		"no route":                   {"GET", "/v2/chat", "", nil, 404, "not-found"},
		"service":                    {"GET", "/services/stock/parts/7?shelf=2", "", nil, 200, ""},
		"no such service":            {"GET", "/services/safe/", "", nil, 404, "not-found"},
		"order without a key":        {"POST", "/services/orders/", "{}", nil, 400, "bad-request"},
		"order with a key":           {"POST", "/services/orders/", "{}", map[string]string{"Idempotency-Key": "o-1"}, 200, ""},
		"open route without a key":   {"GET", "/services/opening-hours/", "", map[string]string{"Authorization": ""}, 200, ""},
		"closed route without a key": {"GET", "/services/stock/", "", map[string]string{"Authorization": ""}, 401, "unauthorized"},
		"dots in the path":           {"GET", "/services/stock/../orders/", "", nil, 400, "bad-request"},
		"encoded slash in the path":  {"GET", "/services/stock/..%2forders", "", nil, 400, "bad-request"},
		"doubled slash in the path":  {"GET", "/services/stock//orders", "", nil, 400, "bad-request"},
		"models":                     {"GET", "/v1/models", "", nil, 200, ""},
		"deferred answer":            {"GET", "/v1/deferred/d1", "", nil, 200, ""},
		"no such deferred answer":    {"GET", "/v1/deferred/d2", "", nil, 404, "not-found"},
		"deferred":                   {"POST", chat, chatBody, map[string]string{"Prefer": "respond-async"}, 202, ""},
		"health needs no key":        {"GET", "/healthz", "", map[string]string{"Authorization": ""}, 200, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response := newBench(t).send(test.method, test.path, test.body, test.header)
			checkAnswer(t, response, test.status, test.code)
		})
	}
}

func checkAnswer(t *testing.T, response *http.Response, status int, code string) {
	t.Helper()
	if response.StatusCode != status {
		body, _ := io.ReadAll(response.Body)
		t.Fatalf("status %d, want %d: %s", response.StatusCode, status, body)
	}
	if response.Header.Get("Lovagebank-Request-Id") == "" {
		t.Error("answer without a request id")
	}
	if code == "" {
		return
	}
	var body struct {
		Error struct{ Code, Outcome, Type string }
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if body.Error.Code != code || body.Error.Outcome != "not-run" || response.Header.Get("Lovagebank-Outcome") != "not-run" {
		t.Errorf("error %+v, want code %s and outcome not-run in body and header", body.Error, code)
	}
}

func TestRequestForTarget(t *testing.T) {
	t.Parallel()
	be := newBench(t)
	before := time.Now()
	be.send("POST", "/v1/chat/completions", chatBody, map[string]string{
		"Lovagebank-Deadline": "30s", "X-Api-Key": be.key, "Accept": be.key, "Content-Type": "application/json", "Cookie": "c=1",
	})
	rq := be.last
	if rq.Model() != "parts@3" || rq.Organisation() != "castaneda" || rq.Base() != "base-7b" || rq.MaxTokens() != 16 {
		t.Errorf("request %s for %s on %s, %d tokens", rq.Model(), rq.Organisation(), rq.Base(), rq.MaxTokens())
	}
	if !strings.Contains(string(rq.Body()), `"model":"parts@3"`) || !strings.Contains(string(rq.Body()), `"max_tokens":16`) {
		t.Errorf("body %s lacks the full model name or the bound on tokens", rq.Body())
	}
	if latest := before.Add(6 * time.Second); rq.Deadline().After(latest) {
		t.Errorf("a caller extended its deadline past the plan's 5s")
	}
	for name, values := range rq.Header() {
		if strings.Contains(strings.Join(values, " "), be.key) || name == "Cookie" {
			t.Errorf("header %s reaches the target", name)
		}
	}
	if be.used != 5 {
		t.Errorf("settled %d tokens, want the 5 that the target counted", be.used)
	}
}

func TestServiceNeverSeesKey(t *testing.T) {
	t.Parallel()
	be := newBench(t)
	checkAnswer(t, be.send("GET", "/services/stock/parts/7?shelf=2&token="+be.key, "", nil), http.StatusOK, "")
	if got := be.last.Path(); got != "/parts/7?shelf=2" {
		t.Errorf("service path %s", got)
	}
}

func TestSettlement(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		err  error
		used func(cost int64) int64
	}{
		"not run keeps nothing":    {requester.Refuse(requester.CodeNoTarget, "None.", time.Second), func(int64) int64 { return 0 }},
		"unknown keeps the charge": {requester.RefuseTargetLost("Target lost."), func(cost int64) int64 { return cost }},
		"other errors keep it too": {errors.New("odd"), func(cost int64) int64 { return cost }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			be := newBench(t)
			be.answer = func(*requester.Request, requester.Sink) (requester.Usage, error) { return requester.Usage{}, test.err }
			be.send("POST", "/v1/chat/completions", chatBody, nil)
			if want := test.used(be.last.Cost()); be.used != want {
				t.Errorf("settled %d tokens, want %d", be.used, want)
			}
		})
	}
}
