package emulator_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagebank/emulator"
)

// peakMemoryMB returns the peak resident memory of an instance's process, in MB.
func peakMemoryMB(t *testing.T, en *emulator.Instance) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", en.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	kilobytes := 0
	if _, err := fmt.Sscanf(rest, "%d", &kilobytes); err != nil || !found {
		t.Fatalf("no peak memory in the process status: %v", err)
	}
	return kilobytes >> 10
}

// Ten targets send endless bytes at the same time, in response heads, events, refusals, reports and responses to orders,
// also as very many short fields or elements. The instances buffer little of it, and serve again as soon as the targets
// recover.
func TestInstancesSurviveEndlessResponses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	// The smallest of the users' machines provides 184 MB per process.
	const maxMemoryMB = 184
	fl, us := newFleetWith(t, emulator.Options{Engines: 10}, 3)
	for _, where := range emulator.EndlessParts() {
		for number := range 10 {
			fl.Target(fmt.Sprint("engine-", number)).SendEndless(where)
		}
		var tasks sync.WaitGroup
		for number := range 40 {
			tasks.Go(func() { us.ask("/ask/1", fmt.Sprint("a", number%4), emulator.Key) })
		}
		tasks.Wait()
	}
	for number := range 10 {
		fl.Target(fmt.Sprint("engine-", number)).SendEndless(emulator.EndlessNone)
	}
	for _, en := range us.entries {
		if got := peakMemoryMB(t, en); got > maxMemoryMB {
			t.Errorf("peak memory of an instance is %d MB", got)
		}
	}
	time.Sleep(5 * time.Second)
	if served, sent := us.sendFewAdapters(60); float64(served) < 0.95*float64(sent) {
		t.Errorf("%d of %d served afterwards", served, sent)
	}
	us.checkInvariants(fl)
}
