package server

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagebank/faker"
	"lovagebank/invoker"
	"lovagebank/seeder"
)

const (
	longAnswer = 150
	longBody   = `{"model":"castaneda-parts-0001","messages":[{"role":"user","content":"list all parts"}],"max_tokens":150,"stream":true}`
)

// TestCallerThatLeavesFreesItsTarget has a caller close its connection while its answer streams, by way of the instance
// that holds the engine and by way of the other one. The engine then runs nothing, long before the answer's end.
func TestCallerThatLeavesFreesItsTarget(t *testing.T) {
	pf, err := faker.StartPlatform(faker.PlatformOptions{
		Domains: []string{"a"}, Bases: []string{faker.BaseCastaneda},
		Engine: faker.EngineOptions{Slots: 4, Batch: 8, TokenTime: 50 * time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	sa := faker.NewSample(4)
	if err := seeder.Seed(t.Context(), pf.StoreURL(), seeder.Lists{Plans: sa.Plans(), Uses: sa.Uses(), Keys: sa.Keys()}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
		_ = pf.Close()
	}()
	servers := []*Server{newCostServer(t, pf, 0, "a"), newCostServer(t, pf, 1, "a")}
	for _, sv := range servers {
		running.Go(func() { _ = sv.Run(ctx) })
	}
	for _, sv := range servers {
		eventually(t, "ready", func() bool { return sv.ready() == nil })
		leaveWhileStreaming(t, sv)
		eventually(t, "the engine runs nothing", func() bool { return runningOn(t, sv) == 0 })
	}
	if tokens := pf.Engines()[0].Stats().Tokens; tokens >= longAnswer {
		t.Errorf("the engine made %d tokens, the whole of an answer", tokens)
	}
}

// leaveWhileStreaming reads the beginning of an answer and closes the connection.
func leaveWhileStreaming(t *testing.T, sv *Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	url := "http://" + sv.settings.CallerAddress() + "/v1/chat/completions"
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(longBody))
	if err != nil {
		t.Fatal(err)
	}
	hr.Header.Set("Authorization", "Bearer "+faker.SampleKey(faker.SampleCastaneda))
	hr.Header.Set("Lovagebank-Deadline", "10s")
	response, err := http.DefaultClient.Do(hr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	begin := make([]byte, 400)
	if read, err := response.Body.Read(begin); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("instance %s answered %d, error %v: %s", sv.settings.ID(), response.StatusCode, err, begin[:read])
	}
}

func runningOn(t *testing.T, sv *Server) int {
	t.Helper()
	load, err := invoker.New(invoker.Options{}).FetchLoadReport(t.Context(), engines(sv.gossiper.Targets())[0])
	if err != nil {
		t.Fatal(err)
	}
	return load.Running()
}
