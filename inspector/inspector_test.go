package inspector_test

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"lovagebank/inspector"
)

// account is a budget that counts what is reserved.
type account struct {
	limit, used, peak atomic.Int64
}

func newAccount(limit int64) *account {
	ac := &account{}
	ac.limit.Store(limit)
	return ac
}

func (ac *account) budget() inspector.Budget {
	return inspector.Budget{
		Reserve: func(bytes int64) bool {
			if used := ac.used.Add(bytes); used > ac.limit.Load() {
				ac.used.Add(-bytes)
				return false
			}
			ac.peak.Store(max(ac.peak.Load(), ac.used.Load()))
			return true
		},
		Release: func(bytes int64) { ac.used.Add(-bytes) },
	}
}

func TestHeadLimits(t *testing.T) {
	const large = 1 << 40
	tests := map[string]struct {
		text   string
		budget int64
		want   error
		// inside is true if the head has not ended.
		inside bool
	}{
		"usual":                      {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", 0, nil, false},
		"lines of the body":          {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + strings.Repeat("\n", 5000), 0, nil, false},
		"without carriage returns":   {"HTTP/1.1 200 OK\nA: b\n\n" + strings.Repeat("\n", 5000), 0, nil, false},
		"short fields":               {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 300), large, inspector.ErrHeadTooLong, true},
		"a field without end":        {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 70<<10), large, inspector.ErrHeadTooLong, true},
		"a status line without end":  {strings.Repeat("b", 70<<10), large, inspector.ErrHeadTooLong, true},
		"interim answers":            {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 200), large, inspector.ErrHeadTooLong, true},
		"fields of interim answers":  {strings.Repeat("HTTP/1.1 103 Hints\r\n"+strings.Repeat("a:\r\n", 50)+"\r\n", 6), large, inspector.ErrHeadTooLong, true},
		"an interim answer":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n\n", 0, nil, false},
		"empty lines":                {strings.Repeat("\r\n", 300), large, inspector.MalformedError("status line"), true},
		"large, within the budget":   {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 20<<10), 64 << 10, nil, true},
		"large, more than is left":   {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 40<<10), 64 << 10, inspector.ErrNoMemory, true},
		"fields, more than are left": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 200), 16 << 10, inspector.ErrNoMemory, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{1, 7, len(tt.text)} {
				ac := newAccount(tt.budget)
				he := inspector.NewHead(ac.budget())
				he.Begin()
				var err error
				for at := 0; at < len(tt.text) && err == nil; at += step {
					err = he.Add([]byte(tt.text[at:min(at+step, len(tt.text))]))
				}
				if !errors.Is(err, tt.want) || he.Inside() != tt.inside {
					t.Errorf("in steps of %d: %v, inside the head: %v", step, err, he.Inside())
				}
				if he.Release(); ac.used.Load() != 0 {
					t.Errorf("in steps of %d: %d bytes stay reserved", step, ac.used.Load())
				}
			}
		})
	}
}

// serveRaw answers each connection with the text and returns the address.
func serveRaw(t *testing.T, text string) string {
	t.Helper()
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = li.Close() })
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = co.Close() }()
				_, _ = co.Read(make([]byte, 4096))
				_, _ = io.WriteString(co, text)
				_, _ = io.Copy(io.Discard, co)
			}()
		}
	}()
	return li.Addr().String()
}

// Guards against heads of very many short fields that an http.Transport keeps in memory, and against interim answers without end.
func TestTransportHeads(t *testing.T) {
	body := strings.Repeat("\n", 1000)
	tests := map[string]struct {
		text string
		ok   bool
	}{
		"usual":           {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body, true},
		"short fields":    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("ab:\r\n", 5000), false},
		"interim answers": {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 5000), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ac := newAccount(1 << 20)
			dialer := &net.Dialer{}
			client := &http.Client{Transport: inspector.BoundHeads(&http.Transport{
				DialContext: inspector.WrapDial(dialer.DialContext, ac.budget()),
			})}
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+serveRaw(t, tt.text), http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			rs, err := client.Do(rq)
			if err == nil {
				text, readErr := io.ReadAll(rs.Body)
				_ = rs.Body.Close()
				if string(text) != body {
					t.Errorf("the body has %d bytes, %v", len(text), readErr)
				}
			}
			if (err == nil) != tt.ok {
				t.Errorf("got %v", err)
			}
			client.CloseIdleConnections()
		})
	}
}

func TestRead(t *testing.T) {
	ac := newAccount(1 << 20)
	text, release, err := inspector.Read(strings.NewReader(strings.Repeat("x", 100<<10)), 1<<20, ac.budget())
	if err != nil || len(text) != 100<<10 || ac.used.Load() < 100<<10 {
		t.Errorf("%d bytes, %v, reserved %d", len(text), err, ac.used.Load())
	}
	release()
	for name, tt := range map[string]struct{ limit, budget int64 }{"too long": {50 << 10, 1 << 20}, "no memory": {1 << 20, 50 << 10}} {
		ac.limit.Store(tt.budget)
		if _, _, err := inspector.Read(strings.NewReader(strings.Repeat("x", 100<<10)), int(tt.limit), ac.budget()); err == nil {
			t.Errorf("%s: read", name)
		}
		if ac.used.Load() != 0 {
			t.Errorf("%s: %d bytes stay reserved", name, ac.used.Load())
		}
	}
}

// Guards against texts whose elements hold far more once they are decoded.
func TestDecode(t *testing.T) {
	for name, tt := range map[string]struct {
		elements int
		budget   int64
		ok       bool
	}{"few": {100, 0, true}, "many": {5000, 1 << 20, true}, "more than is left": {50000, 1 << 20, false}, "too many": {1 << 20, 1 << 40, false}} {
		t.Run(name, func(t *testing.T) {
			ac := newAccount(tt.budget)
			var into []struct{ A, B, C, D string }
			err := inspector.Decode([]byte("["+strings.Repeat("{},", tt.elements/2)+"{}]"), &into, ac.budget())
			if (err == nil) != tt.ok || ac.used.Load() != 0 {
				t.Errorf("%v, %d elements, %d bytes stay reserved", err, len(into), ac.used.Load())
			}
		})
	}
	var syntax *json.SyntaxError
	if err := inspector.Decode([]byte("["), &struct{}{}, inspector.Budget{}); !errors.As(err, &syntax) {
		t.Errorf("got %v", err)
	}
}
