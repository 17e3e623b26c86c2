package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lovagebank/loader"
	"lovagebank/requester"
)

// The test searches this range for 100 free ports. The range lies below the ports that the system assigns.
const (
	firstPort = 10000
	lastPort  = 30000
	portsUsed = 100
)

// freePorts returns a port base from which portsUsed consecutive ports are free.
func freePorts(t *testing.T) int {
	t.Helper()
	for base := firstPort + os.Getpid()%100*portsUsed; base < lastPort; base += portsUsed {
		free := true
		for port := base; port < base+portsUsed && free; port++ {
			socket, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = socket.Close()
			}
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// outputBuffer buffers the output of the demo and closes the channel written once the output is complete.
type outputBuffer struct {
	bytes.Buffer
	written chan struct{}
}

// Write stores the whole output of the demo, which arrives in a single call.
func (pr *outputBuffer) Write(content []byte) (int, error) {
	defer close(pr.written)
	return pr.Buffer.Write(content)
}

// On a machine that is busy with other tests, instances may fail to reach each other within the 250 ms allowed for a loan
// of tokens. The demo then refuses requests as not run and says when to retry, so the test retries.
const (
	retryDelay = time.Second
	maxRounds  = 10
)

// allAnswered runs the scenario against the demo once. It returns false if requests were refused because no holder of
// tokens was available, and fails the test if a request ended in any other way than with an answer.
func allAnswered(t *testing.T, sc *loader.Scenario, en loader.Environment) bool {
	t.Helper()
	re, err := loader.Measure(t.Context(), "demo", sc, en, nil)
	if err != nil {
		t.Fatal(err)
	}
	refused := re.All.Refused[string(requester.CodeRateExceeded)]
	if re.All.Issued == 0 || re.All.Done+refused != re.All.Issued || re.Violations.Any() {
		t.Fatalf("got %+v", re)
	}
	return refused == 0
}

// TestDemo starts the demo and applies load as the last line of its usage text shows, with chats on one adapter.
func TestDemo(t *testing.T) {
	op := options{
		PortBase: freePorts(t), Adapters: 2, Slots: 2, Batch: 4, TokenTime: time.Millisecond, LogLevel: "error",
	}
	ctx, cancel := context.WithCancel(t.Context())
	out := &outputBuffer{written: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, op, out) }()
	select {
	case <-out.written:
	case err := <-ended:
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "demo.env")
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	en, err := loader.ReadEnvironment(path)
	if err != nil {
		t.Fatal(err)
	}
	const scenario = "[scenario]\nduration=500ms\n[organisation indus]\nkey=$DEMO_KEY_INDUS\nadapters=indus-notes-%04d\nchat=1\n"
	sc, err := loader.ParseScenario([]byte(scenario), en)
	if err != nil {
		t.Fatal(err)
	}
	if len(en.URLs()) != instanceCount {
		t.Errorf("got %s", strings.Join(en.URLs(), " "))
	}
	for rounds := 1; !allAnswered(t, sc, en); rounds++ {
		if rounds == maxRounds {
			t.Fatalf("requests were refused in each of %d rounds", rounds)
		}
		time.Sleep(retryDelay)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
