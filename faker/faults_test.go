package faker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// lost runs a call whose connection is to be dropped, and tells whether it was.
func lost(call func()) (dropped bool) {
	defer func() {
		err, _ := recover().(error)
		dropped = errors.Is(err, http.ErrAbortHandler)
	}()
	call()
	return false
}

func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := NewStore(StoreOptions{})
		co := NewControl()
		co.Add("store", st.FaultControl())
		fault := func(fault Fault) {
			if err := co.Apply("store", fault); err != nil {
				t.Fatal(err)
			}
		}
		read := func() string { return call(st, "GET", "/v1/kv/a?raw", "").Body.String() }

		fault(Fault{Kind: FaultLoseAnswers, Number: 1})
		if !lost(func() { call(st, "PUT", "/v1/kv/a", "one") }) || read() != "one" {
			t.Errorf("a lost answer left %q", read())
		}
		fault(Fault{Kind: FaultStale, On: true})
		call(st, "PUT", "/v1/kv/a", "two")
		if read() != "one" {
			t.Errorf("a stale read saw %q", read())
		}
		fault(Fault{Kind: FaultStale})
		if read() != "two" {
			t.Errorf("a read after stale ones saw %q", read())
		}
		fault(Fault{Kind: FaultLatency, DurationMs: 700})
		began := time.Now()
		if read(); time.Since(began) != 700*time.Millisecond {
			t.Errorf("a slow read took %s", time.Since(began))
		}
		fault(Fault{Kind: FaultLatency})
		fault(Fault{Kind: FaultRate, Number: 2})
		codes := []int{}
		for range 3 {
			codes = append(codes, call(st, "GET", "/v1/kv/a", "").Code)
		}
		if codes[1] != http.StatusOK || codes[2] != http.StatusTooManyRequests {
			t.Errorf("over the rate: %v", codes)
		}
		time.Sleep(time.Second)
		waiting := make(chan bool, 1)
		go func() { waiting <- lost(func() { call(st, "GET", "/v1/kv/a?index=99&wait=1m", "") }) }()
		synctest.Wait()
		fault(Fault{Kind: FaultUnavailable, On: true})
		if code := call(st, "GET", "/v1/kv/a", "").Code; !<-waiting || code != http.StatusInternalServerError {
			t.Errorf("an outage answered %d", code)
		}
		if err := co.Apply("store", Fault{Kind: FaultPoison}); err == nil {
			t.Error("the store took a fault of engines")
		}
	})
}

// engineReport decodes an engine's load report.
func engineReport(t *testing.T, en *Engine) LoadReport {
	t.Helper()
	var report LoadReport
	if err := json.NewDecoder(call(en, "GET", "/load", "").Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report
}

func TestEngineFaults(t *testing.T) {
	const load, ask = `{"lora_name":"stock@3"}`, `{"model":"stock@3","prompt":"two filters","max_tokens":1000}`
	tests := map[string]func(t *testing.T, en *Engine){
		"poison crashes all that runs, and the engine comes back empty": func(t *testing.T, en *Engine) {
			call(en, "POST", "/v1/load_lora_adapter", load)
			en.SetPoison("acid")
			victim := make(chan bool, 1)
			go func() { victim <- lost(func() { call(en, "POST", "/v1/completions", ask) }) }()
			synctest.Wait()
			before := engineReport(t, en)
			poison := strings.Replace(ask, "filters", "acid", 1)
			if !lost(func() { call(en, "POST", "/v1/completions", poison) }) || !<-victim {
				t.Error("poison left requests alive")
			}
			if !lost(func() { call(en, "GET", "/load", "") }) {
				t.Error("a crashed engine answered")
			}
			time.Sleep(2 * time.Second)
			if after := engineReport(t, en); after.Boot == before.Boot || len(after.Adapters) != 0 {
				t.Errorf("got %+v after %+v", after, before)
			}
		},
		"an eviction in use is counted": func(t *testing.T, en *Engine) {
			call(en, "POST", "/v1/load_lora_adapter", load)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				rq := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(ask))
				en.ServeHTTP(httptest.NewRecorder(), rq.WithContext(ctx))
			}()
			synctest.Wait()
			call(en, "POST", "/v1/unload_lora_adapter", load)
			cancel()
			if count := en.Stats().EvictionsInUse; count != 1 {
				t.Errorf("counted %d", count)
			}
		},
		"an old fencing number is refused": func(t *testing.T, en *Engine) {
			order := func(number, body string) int {
				rq := httptest.NewRequest(http.MethodPost, "/v1/load_lora_adapter", strings.NewReader(body))
				rq.Header.Set(HeaderFencing, number)
				wr := httptest.NewRecorder()
				en.ServeHTTP(wr, rq)
				return wr.Code
			}
			if code := order("7", load); code != http.StatusOK {
				t.Errorf("got %d", code)
			}
			if code := order("6", `{"lora_name":"other@1"}`); code != http.StatusPreconditionFailed {
				t.Errorf("got %d", code)
			}
		},
		"a failed load leaves the slot free": func(t *testing.T, en *Engine) {
			en.SetFailingLoads(1)
			if code := call(en, "POST", "/v1/load_lora_adapter", load).Code; code != http.StatusInternalServerError {
				t.Errorf("got %d", code)
			}
			if code := call(en, "POST", "/v1/load_lora_adapter", load).Code; code != http.StatusOK {
				t.Errorf("got %d", code)
			}
		},
		"reports lag": func(t *testing.T, en *Engine) {
			en.SetReportLag(time.Second)
			call(en, "POST", "/v1/load_lora_adapter", load)
			time.Sleep(500 * time.Millisecond)
			if report := engineReport(t, en); len(report.Adapters) != 0 || report.AgeMs != 1000 {
				t.Errorf("got %+v", report)
			}
			time.Sleep(time.Second)
			if report := engineReport(t, en); len(report.Adapters) != 1 {
				t.Errorf("got %+v", report)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				options := EngineOptions{Slots: 2, TokenTime: time.Millisecond, RestartTime: time.Second, ChecksFencing: true}
				test(t, NewEngine(options))
			})
		})
	}
}

func TestWeightStoreSlowsBeyondFullSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := NewWeightStore()
		var loads sync.WaitGroup
		began := time.Now()
		for range 2 * loadsAtFullSpeed {
			loads.Go(func() {
				if err := ws.Load(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		loads.Wait()
		if took := time.Since(began); took != 2*loadTime {
			t.Errorf("the last load took %s", took)
		}
	})
}

func TestWorkerCountsRunsWhoseAnswerIsLost(t *testing.T) {
	wo := NewWorker(WorkerOptions{Service: "orders"})
	wo.SetCrashes(1)
	order := func() {
		rq := httptest.NewRequest(http.MethodPost, "/reorder", strings.NewReader("40 tyres"))
		rq.Header.Set(HeaderIdempotency, "k1")
		rq.Header.Set(HeaderOrganisation, "castaneda")
		wo.ServeHTTP(httptest.NewRecorder(), rq)
	}
	if !lost(order) {
		t.Error("the answer was not lost")
	}
	order()
	if runs := wo.Stats().Runs["castaneda/k1"]; runs != 2 {
		t.Errorf("counted %d", runs)
	}
}
