package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lovagebank/emulator"
)

const (
	// requestDeadline is how long a caller says that it waits, and lateSlack how much longer it really does.
	requestDeadline = 5 * time.Second
	lateSlack       = 3 * time.Second
	// callers send one request each callGap, all together.
	callGap = 12 * time.Millisecond
	// adapterCount is the number of adapters in use, more than the engines hold.
	adapterCount = 24
)

// answer is how a request ended.
type answer struct {
	id       string
	path     string
	instance int
	key      string
	// status is 0 for a connection that broke.
	status int
	// broken is why it broke.
	broken error
	wrong  string
	begun  time.Time
	ended  time.Time
}

func (an answer) late() bool { return an.ended.Sub(an.begun) >= requestDeadline+lateSlack }

// refusedAsNotRun tells whether the answer promises that the request has not run.
func (an answer) refusedAsNotRun() bool {
	return an.status == http.StatusServiceUnavailable || an.status == http.StatusTooManyRequests
}

// callers send requests of all kinds over connections that they keep, and remember each answer.
type callers struct {
	addresses []string
	client    *http.Client
	next      atomic.Int64

	mu      sync.Mutex
	key     string
	answers []answer
}

func newCallers(addresses []string) *callers {
	return &callers{
		addresses: addresses, key: emulator.Key,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}},
	}
}

// run sends requests until the context ends, and returns when all have ended.
func (ca *callers) run(ctx context.Context) {
	ticker := time.NewTicker(callGap)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() { ca.ask(int(ca.next.Add(1)), ca.currentKey()) })
		}
	}
}

func (ca *callers) currentKey() string {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.key
}

func (ca *callers) setKey(key string) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.key = key
}

// since returns the answers after a number of them.
func (ca *callers) since(count int) []answer {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return slices.Clone(ca.answers[count:])
}

// ask sends one request; the number picks its kind, adapter and instance.
func (ca *callers) ask(number int, key string) answer {
	paths := []string{"/ask/1", "/order/1", "/check/1", "/ask/2"}
	an := answer{
		id: fmt.Sprintf("s%d", number), path: paths[number%len(paths)], instance: number % len(ca.addresses), key: key, begun: time.Now(),
	}
	adapter := ""
	if strings.HasPrefix(an.path, "/ask/") {
		// A few adapters are used most.
		adapter = fmt.Sprintf("a%d", min(number/4%adapterCount, number/8%adapterCount))
	}
	text := ca.send(&an, adapter)
	an.ended = time.Now()
	if an.status == http.StatusOK {
		an.wrong = wrongAnswer(an, adapter, text)
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.answers = append(ca.answers, an)
	return an
}

// send returns the text of the answer. A broken connection is an end like others: status 0.
func (ca *callers) send(an *answer, adapter string) string {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+lateSlack)
	defer cancel()
	call := emulator.Call{Path: an.path, ID: an.id, Key: an.key, Adapter: adapter, Deadline: requestDeadline}
	status, text, err := call.Send(ctx, ca.client, ca.addresses[an.instance])
	an.status, an.broken = status, err
	return text
}

// wrongAnswer says what is wrong with an answer that looks whole; empty if nothing is.
func wrongAnswer(an answer, adapter, text string) string {
	want := "answer to " + an.id
	if adapter != "" {
		want = emulator.CompleteStream(adapter)
	}
	if text != want {
		return fmt.Sprintf("%s %s: got %q, want %q", an.id, an.path, text, want)
	}
	return ""
}
