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
	// requestDeadline is the deadline that each request declares. The client waits for lateTolerance longer; a request that
	// has not ended by then is late.
	requestDeadline = 5 * time.Second
	lateTolerance   = 3 * time.Second
	// requestInterval is the interval between requests, over all callers.
	requestInterval = 12 * time.Millisecond
	// adapterCount is the number of adapters in use. It exceeds the number that the engines can hold.
	adapterCount = 24
)

// answer is the outcome of a request.
type answer struct {
	id       string
	path     string
	instance int
	key      string
	// status is the HTTP status; 0 if the connection failed.
	status int
	// sendErr is the error of a failed connection.
	sendErr error
	// mismatch describes an incorrect body of a successful answer; empty if the body is correct.
	mismatch string
	// framed is true if the answer had a length or chunks, and partial if its body is the right one up to the end of an event.
	framed  bool
	partial bool
	// crashing is true if a part of the prompt crashes engines, so that the request may be refused.
	crashing bool
	started  time.Time
	ended    time.Time
}

func (an answer) late() bool { return an.ended.Sub(an.started) >= requestDeadline+lateTolerance }

// refusedAsNotRun reports whether the status promises that the request has not run.
func (an answer) refusedAsNotRun() bool {
	return an.status == http.StatusServiceUnavailable || an.status == http.StatusTooManyRequests
}

// callers sends requests of all kinds over persistent connections and records each answer.
type callers struct {
	addresses []string
	client    *http.Client
	next      atomic.Int64

	mu      sync.Mutex
	key     string
	answers []answer
	// joined describes the streams whose events do not fit together, and takenUp counts those that came to their end
	// after they had broken off.
	joined  []string
	takenUp int
	// paths are the paths of the requests.
	paths []string
	// crashingPart is the part that crashes engines now; empty for none.
	crashingPart string
}

func newCallers(addresses []string) *callers {
	return &callers{
		addresses: addresses, key: emulator.Key, paths: []string{"/ask/1", "/order/1", "/check/1", "/ask/2"},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}},
	}
}

// run sends requests until the context ends, and returns when all requests have ended.
func (ca *callers) run(ctx context.Context) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() { ca.issue(int(ca.next.Add(1)), ca.currentKey()) })
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

// answersAfter returns the answers recorded after the first count answers.
func (ca *callers) answersAfter(count int) []answer {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return slices.Clone(ca.answers[count:])
}

// issue sends one request and records its answer. The number selects the path, adapter and instance.
func (ca *callers) issue(number int, key string) answer {
	an := answer{
		id: fmt.Sprintf("s%d", number), path: ca.paths[number%len(ca.paths)], instance: number % len(ca.addresses), key: key, started: time.Now(),
	}
	adapter := ""
	if strings.HasPrefix(an.path, "/ask/") {
		// The distribution is skewed: a few adapters get most requests.
		adapter = fmt.Sprintf("a%d", min(number/4%adapterCount, number/8%adapterCount))
	}
	text := ca.send(&an, adapter, number)
	an.ended = time.Now()
	ca.recordText(an, adapter, text)
	if _, versions := emulator.SplitStream(text); len(versions) > 1 {
		ca.recordJoined(fmt.Sprintf("%s has events of %v", an.id, versions))
	}
	if an.status == 0 && adapter != "" {
		ca.takeUp(an, adapter, text)
	}
	return an
}

// recordText records an answer with its body.
func (ca *callers) recordText(an answer, adapter, text string) {
	if an.status == http.StatusOK {
		an.mismatch = answerMismatch(an, adapter, text)
		an.partial = endsBetweenEvents(adapter, text)
	}
	ca.record(an)
}

func (ca *callers) record(an answer) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.answers = append(ca.answers, an)
}

// send returns the body of the answer. It records a failed connection as status 0 instead of returning an error.
func (ca *callers) send(an *answer, adapter string, number int) string {
	call := emulator.Call{Path: an.path, ID: an.id, Key: an.key, Adapter: adapter, Deadline: requestDeadline}
	if adapter != "" {
		call.Parts, an.crashing = ca.promptParts(number)
	}
	return ca.sendCall(an, call)
}

// sendCall sends a call and records its status.
func (ca *callers) sendCall(an *answer, call emulator.Call) string {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+lateTolerance)
	defer cancel()
	call.Framed = &an.framed
	status, text, err := call.Send(ctx, ca.client, ca.addresses[an.instance])
	an.status, an.sendErr = status, err
	return text
}

// answerMismatch describes how the body of a successful answer differs from the expected body; empty if it does not.
func answerMismatch(an answer, adapter, text string) string {
	want := "answer to " + an.id
	if adapter != "" {
		want = emulator.CompleteStream(adapter, streamEvents)
	}
	text, _ = emulator.SplitStream(text)
	if text != want {
		return fmt.Sprintf("%s %s: got %q, want %q", an.id, an.path, text, want)
	}
	return ""
}
