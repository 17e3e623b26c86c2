package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagebank/faker"
	"lovagebank/seeder"
)

const chatBody = `{"model":"%s","messages":[{"role":"user","content":"brake pads"}],"max_tokens":1}`

// BenchmarkOverhead compares one-token requests sent directly to an engine with the same requests sent through an
// instance. Half of these are forwarded to the peer that holds the engine. The adapter is loaded beforehand.
//
//	go test ./server -run '^$' -bench Overhead -benchtime 4000x
func BenchmarkOverhead(b *testing.B) {
	pf, err := faker.StartPlatform(faker.PlatformOptions{
		Domains: []string{"a"}, Bases: []string{faker.BaseCastaneda}, Engine: faker.EngineOptions{Slots: 4, Batch: 8},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = pf.Close() }()
	sa := faker.NewSample(8)
	if err := seeder.Seed(b.Context(), pf.StoreURL(), seeder.Lists{Plans: sa.Plans(), Uses: sa.Uses(), Keys: sa.Keys()}); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	servers := []*Server{newCostServer(b, pf, 0, "a"), newCostServer(b, pf, 1, "a")}
	for _, sv := range servers {
		running.Go(func() { _ = sv.Run(ctx) })
	}
	url := func(sv *Server) string { return "http://" + sv.settings.CallerAddress() + "/v1/chat/completions" }
	for _, sv := range servers {
		warmUp(b, url(sv))
	}
	engine := "http://" + servers[0].gossiper.Targets()[0].GetAddress() + "/v1/chat/completions"
	direct, through := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
	for b.Loop() {
		direct = append(direct, timeCall(b, engine, "castaneda-parts-0001@1"))
		through = append(through, timeCall(b, url(servers[len(through)%len(servers)]), "castaneda-parts-0001"))
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, quantile := range []float64{0.5, 0.99} {
		at := int(quantile * float64(len(direct)-1))
		b.ReportMetric(float64((through[at]-direct[at]).Microseconds())/1000, fmt.Sprintf("p%g-overhead-ms", quantile*100))
		b.ReportMetric(float64(direct[at].Microseconds())/1000, fmt.Sprintf("p%g-direct-ms", quantile*100))
	}
	cancel()
	running.Wait()
}

// warmUp repeats a call until it succeeds.
func warmUp(b *testing.B, url string) {
	b.Helper()
	for range 200 {
		if status, err := sendChat(b.Context(), url, "castaneda-parts-0001"); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the fleet does not answer")
}

func timeCall(b *testing.B, url, model string) time.Duration {
	b.Helper()
	started := time.Now()
	status, err := sendChat(b.Context(), url, model)
	if err != nil || status != http.StatusOK {
		b.Fatalf("%s answered %d, %v", url, status, err)
	}
	return time.Since(started)
}

func sendChat(ctx context.Context, url, model string) (int, error) {
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(chatBody, model)))
	if err != nil {
		return 0, err
	}
	hr.Header.Set("Authorization", "Bearer "+faker.SampleKey(faker.SampleCastaneda))
	response, err := http.DefaultClient.Do(hr)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
