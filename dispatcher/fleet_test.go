package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"lovagebank/dispatcher"
	"lovagebank/faker"
	"lovagebank/invoker"
	"lovagebank/placer"
	"lovagebank/requester"
	"lovagebank/scheduler"
	"lovagebank/wire"
)

const (
	fleetEngines  = 3
	fleetAdapters = 24
	fleetRequests = 600
	fleetTokens   = 20
	fleetPrompt   = "how many brake pads are there"
)

// fleet is a set of fake engines on loopback, with the real placer, schedulers, invoker and dispatcher.
type fleet struct {
	engines []*faker.Engine
	di      *dispatcher.Dispatcher
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	fl := &fleet{}
	iv := invoker.New(invoker.Options{FirstByteTimeout: 5 * time.Second, TokenGapTimeout: 5 * time.Second})
	pl := placer.New(placer.Options{FailureDomain: "d", Region: "r"})
	weights := faker.NewWeightStore()
	weights.SetSlowdown(0.1)
	schedulers := map[string]*scheduler.Scheduler{}
	var targets []*wire.Target
	ctx := t.Context()
	for index := range fleetEngines {
		en := faker.NewEngine(faker.EngineOptions{
			Base: "base", Slots: 4, Batch: 8, TokenTime: time.Millisecond, ReportLag: 50 * time.Millisecond,
			RestartTime: 300 * time.Millisecond, ChecksFencing: true, Weights: weights,
		})
		server := httptest.NewServer(en)
		tg := &wire.Target{
			Id: fmt.Sprint("engine-", index), Kind: "engine", Address: server.Listener.Addr().String(), FailureDomain: "d",
			Region: "r", Base: "base", Slots: 4, Batch: 8,
		}
		sc := scheduler.New(scheduler.Options{
			Target: tg, PollInterval: 100 * time.Millisecond, EvictionDelay: 100 * time.Millisecond,
			Invoke: func(ctx context.Context, rq *requester.Request, fencing uint64, sink requester.Sink) (requester.Usage, error) {
				return iv.Invoke(ctx, tg, rq, fencing, sink)
			},
			Load:   func(ctx context.Context, model string, no uint64) error { return iv.LoadAdapter(ctx, tg, model, no) },
			Unload: func(ctx context.Context, model string, no uint64) error { return iv.UnloadAdapter(ctx, tg, model, no) },
			Poll:   func(ctx context.Context) (invoker.LoadReport, error) { return iv.FetchLoadReport(ctx, tg) },
		})
		go sc.Run(ctx)
		t.Cleanup(func() {
			<-sc.Done()
			server.Close()
		})
		schedulers[tg.GetId()], targets, fl.engines = sc, append(targets, tg), append(fl.engines, en)
	}
	pl.Update(targets)
	fl.di = dispatcher.New(dispatcher.Options{
		Choose: pl.Choose, ChoiceEnded: pl.Finished, RetryBurst: fleetRequests,
		Execute: func(
			ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink,
		) (requester.Usage, error) {
			return schedulers[tg.GetId()].Submit(ctx, rq, sink)
		},
	})
	return fl
}

// send sends one streaming request and returns the text of the answer.
func (fl *fleet) send(ctx context.Context, index, adapter int) (string, error) {
	return fl.sendPrompt(ctx, index, adapter, fmt.Sprint(fleetPrompt, " ", index))
}

func (fl *fleet) sendPrompt(ctx context.Context, index, adapter int, prompt string) (string, error) {
	var stream strings.Builder
	body := fmt.Sprintf(`{"model":"ad%d","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		adapter, fleetTokens, prompt)
	_, err := fl.di.Dispatch(ctx, requester.New(requester.Fields{
		ID: fmt.Sprint(index), Organisation: fmt.Sprint("o", index%3), Kind: requester.KindChat, Adapter: fmt.Sprint("ad", adapter),
		Version: "1", Base: "base", Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body), Stream: true,
		MaxTokens: fleetTokens, Urgency: requester.UrgencyInteractive, Deadline: time.Now().Add(30 * time.Second),
		Repeatable: true, Fingerprint: prompt,
	}), requester.Sink{Head: simHead, Data: func(chunk []byte) error { stream.Write(chunk); return nil }})
	var text strings.Builder
	for event := range strings.SplitSeq(stream.String(), "\n\n") {
		text.WriteString(gjson.Get(strings.TrimPrefix(event, "data: "), "choices.0.delta.content").String())
	}
	return text.String(), err
}

// TestStreamsSurviveEngineCrashes streams from fake engines, one of which crashes twice and restarts without adapters.
// Each caller gets its complete answer from its adapter, and no engine sees an eviction in use, a load into full slots
// or a caller's key.
func TestStreamsSurviveEngineCrashes(t *testing.T) {
	fl := newFleet(t)
	random := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	for index := range fleetRequests {
		adapter := int(float64(fleetAdapters) * random.Float64() * random.Float64())
		if index == fleetRequests/3 || index == 2*fleetRequests/3 {
			fl.engines[0].Crash()
		}
		wait.Go(func() {
			text, err := fl.send(t.Context(), index, adapter)
			want := faker.Answer(fmt.Sprint("ad", adapter, "@1"), fmt.Sprint(fleetPrompt, " ", index), 0, fleetTokens)
			if err != nil || text != want {
				t.Errorf("request %d: error %v, answer complete: %v", index, err, text == want)
			}
		})
		time.Sleep(3 * time.Millisecond)
	}
	wait.Wait()
	for index, en := range fl.engines {
		st := en.Stats()
		if st.EvictionsInUse+st.FullLoads+st.KeysSeen > 0 {
			t.Errorf("engine %d: %+v", index, st)
		}
		t.Logf("engine %d: %+v", index, st)
	}
}

// TestCrashingRequestIsQuarantined sends a request that crashes engines among other requests, several times. It crashes
// two engines and is then refused. The other requests are answered.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const requests, adapters, poisoned = 60, 6, "poison pill"
	fl := newFleet(t)
	for _, en := range fl.engines {
		en.SetPoison(poisoned)
	}
	var wait sync.WaitGroup
	for index := range requests {
		wait.Go(func() {
			if _, err := fl.send(t.Context(), index, index%adapters); err != nil {
				t.Errorf("request %d: %v", index, err)
			}
		})
		if index%(requests/3) == requests/6 {
			wait.Go(func() {
				_, err := fl.sendPrompt(t.Context(), requests, 0, poisoned)
				if rf := requester.AsRefusal(err); rf == nil {
					t.Error("the crashing request was answered")
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(3 * time.Millisecond)
	}
	wait.Wait()
	_, err := fl.sendPrompt(t.Context(), requests, 0, poisoned)
	if rf := requester.AsRefusal(err); rf.Code() != requester.CodeQuarantined || rf.Outcome() != requester.OutcomeNotRun {
		t.Errorf("error when sent again: %v", err)
	}
	crashes := 0
	for _, en := range fl.engines {
		crashes += en.Stats().Crashes
	}
	if crashes != 2 {
		t.Errorf("%d crashes, want 2", crashes)
	}
}
