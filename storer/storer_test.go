package storer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/storer"
)

// reply is one answer of the fake store.
type reply struct {
	status int
	index  string
	body   string
	// cut breaks the connection instead of answering.
	cut bool
}

// script serves its replies in order and repeats the last one.
type script struct {
	mu       sync.Mutex
	replies  []reply
	requests []string
}

func (sc *script) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	body, _ := io.ReadAll(rq.Body)
	sc.mu.Lock()
	sc.requests = append(sc.requests, rq.Method+" "+rq.URL.String()+" "+string(body))
	rp := sc.replies[min(len(sc.requests), len(sc.replies))-1]
	sc.mu.Unlock()
	if rp.cut {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
		return
	}
	w.Header().Set("X-Consul-Index", rp.index)
	w.WriteHeader(rp.status)
	_, _ = io.WriteString(w, rp.body)
}

func (sc *script) received() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.requests
}

func start(t *testing.T, replies ...reply) (*script, *storer.Client) {
	t.Helper()
	sc := &script{replies: replies}
	sv := httptest.NewServer(sc)
	t.Cleanup(sv.Close)
	cl := storer.New(storer.Options{Address: sv.URL, Backoff: time.Microsecond})
	t.Cleanup(cl.Close)
	return sc, cl
}

const (
	swapped  = `{"Results":[{"KV":{"Key":"k","ModifyIndex":9}}],"Errors":null}`
	conflict = `{"Results":null,"Errors":[{"OpIndex":0,"What":"index is stale"}]}`
	entry    = `[{"Key":"k","Value":"bWluZQ==","ModifyIndex":9,"Session":"s"}]`
)

func mine(value []byte) bool { return string(value) == "mine" }

func TestErrorsTellWhetherACallTookEffect(t *testing.T) {
	write := func(cl *storer.Client) error {
		_, err := cl.CompareAndSwap(t.Context(), "k", []byte("mine"), 3)
		return err
	}
	read := func(cl *storer.Client) error {
		_, err := cl.Get(t.Context(), "k")
		return err
	}
	tests := map[string]struct {
		reply reply
		call  func(*storer.Client) error
		want  error
	}{
		"write done":               {reply{status: 200, body: swapped}, write, nil},
		"write lost":               {reply{status: 409, body: conflict}, write, storer.ErrConflict},
		"write lost is refused":    {reply{status: 409, body: conflict}, write, storer.ErrRefused},
		"write cut":                {reply{cut: true}, write, storer.ErrUnknown},
		"write failed at store":    {reply{status: 500}, write, storer.ErrUnknown},
		"write half answered":      {reply{status: 200, body: `{"Results":[{"K`}, write, storer.ErrUnknown},
		"write turned away":        {reply{status: 429}, write, storer.ErrUnavailable},
		"write with bad input":     {reply{status: 400}, write, storer.ErrRefused},
		"read of no key":           {reply{status: 404}, read, storer.ErrNotFound},
		"read cut took no effect":  {reply{cut: true}, read, storer.ErrUnavailable},
		"read failed at the store": {reply{status: 503}, read, storer.ErrRefused},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, cl := start(t, tc.reply)
			if err := tc.call(cl); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

func TestRefusedConnectionTookNoEffect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	cl := storer.New(storer.Options{Address: address, Backoff: time.Microsecond})
	if _, err := cl.CompareAndSwap(t.Context(), "k", nil, 0); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	if counts := cl.Counts(); len(counts) != 1 || counts[0].Calls() != storer.DefaultAttempts {
		t.Errorf("counts: %v", counts)
	}
}

func TestUnknownWriteIsNotSentAgainUnresolved(t *testing.T) {
	sc, cl := start(t, reply{cut: true}, reply{status: 200, body: swapped})
	if _, err := cl.CompareAndSwap(t.Context(), "k", nil, 3); !errors.Is(err, storer.ErrUnknown) || len(sc.received()) != 1 {
		t.Errorf("got %v after %d requests", err, len(sc.received()))
	}
}

func TestCommitResolvesUnknownWrites(t *testing.T) {
	other := `[{"Key":"k","Value":"b3RoZXI=","ModifyIndex":8}]`
	unchanged := `[{"Key":"k","Value":"b3RoZXI=","ModifyIndex":3}]`
	tests := map[string]struct {
		replies []reply
		want    error
		index   uint64
	}{
		"took effect":        {[]reply{{cut: true}, {status: 200, body: entry}}, nil, 9},
		"lost to another":    {[]reply{{cut: true}, {status: 200, body: other}}, storer.ErrConflict, 0},
		"may yet arrive":     {[]reply{{cut: true}, {status: 200, body: unchanged}, {status: 200, body: swapped}}, nil, 9},
		"arrived meanwhile":  {[]reply{{cut: true}, {status: 200, body: unchanged}, {status: 409, body: conflict}, {status: 200, body: entry}}, nil, 9},
		"never resolved":     {[]reply{{status: 500}}, storer.ErrUnknown, 0},
		"plain loss at once": {[]reply{{status: 409, body: conflict}, {status: 200, body: entry}}, storer.ErrConflict, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, cl := start(t, tc.replies...)
			index, err := cl.Commit(t.Context(), "k", []byte("mine"), 3, mine)
			if !errors.Is(err, tc.want) || index != tc.index {
				t.Errorf("got %d, %v; want %d, %v", index, err, tc.index, tc.want)
			}
		})
	}
}

func TestWatchReadsAfreshWhenTheIndexGoesDown(t *testing.T) {
	sc, cl := start(t, reply{status: 200, index: "5", body: entry}, reply{status: 200, index: "6", body: entry})
	ls, err := cl.Watch(t.Context(), "p/", 40, time.Second)
	if err != nil || !ls.Reset() || ls.Index() != 0 || len(sc.received()) != 2 {
		t.Errorf("got %+v, %v after %q", ls, err, sc.received())
	}
	if !strings.Contains(sc.received()[0], "index=40") || strings.Contains(sc.received()[1], "index=") {
		t.Errorf("requests: %q", sc.received())
	}
}

func TestListOfNothingIsNoError(t *testing.T) {
	_, cl := start(t, reply{status: 404, index: "12"})
	if ls, err := cl.List(t.Context(), "p/"); err != nil || len(ls.Entries()) != 0 || ls.Index() != 12 {
		t.Errorf("got %+v, %v", ls, err)
	}
}

func TestTransactionSpeaksThePublishedForm(t *testing.T) {
	sc, cl := start(t, reply{status: 200, body: swapped})
	steps := []storer.Step{
		storer.Swap("a", []byte("x"), 0), storer.Check("b", 0), storer.Check("b", 4), storer.Delete("c", 5), storer.Lock("d", nil, "s"),
	}
	if _, err := cl.Transact(t.Context(), steps); err != nil {
		t.Fatal(err)
	}
	want := `PUT /v1/txn? [{"KV":{"Verb":"cas","Key":"a","Value":"eA=="}},{"KV":{"Verb":"check-not-exists","Key":"b"}},` +
		`{"KV":{"Verb":"check-index","Key":"b","Index":4}},{"KV":{"Verb":"delete-cas","Key":"c","Index":5}},` +
		`{"KV":{"Verb":"lock","Key":"d","Session":"s"}}]`
	if sc.received()[0] != want {
		t.Errorf("got  %s\nwant %s", sc.received()[0], want)
	}
}

// instant answers every call at once, without a socket.
func instant(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("[]")), Header: http.Header{}}, nil
}

type transport func(*http.Request) (*http.Response, error)

func (tr transport) RoundTrip(rq *http.Request) (*http.Response, error) { return tr(rq) }

func TestBudgetDelaysThenRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := storer.New(storer.Options{
			Address: "store", CallsPerSecond: 10, Burst: 5, MaxBudgetWait: time.Second, Transport: transport(instant),
		})
		began := time.Now()
		for range 15 {
			if _, err := cl.List(t.Context(), "p"); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != time.Second {
			t.Errorf("15 calls took %v, want 1s", took)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := cl.List(ctx, "p"); !errors.Is(err, storer.ErrOverBudget) {
			t.Errorf("got %v, want ErrBudget", err)
		}
	})
}
