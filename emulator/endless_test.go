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

// peakMemory is the most memory that an instance's process has held, in MB.
func peakMemory(t *testing.T, en *emulator.Instance) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", en.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	kilobytes := 0
	if _, err := fmt.Sscanf(rest, "%d", &kilobytes); err != nil || !found {
		t.Fatalf("no peak memory is told: %v", err)
	}
	return kilobytes >> 10
}

// Ten targets send bytes without end at once, in heads, events, refusals, reports and answers to orders. The instances hold
// little of it, and serve as soon as the targets are well.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	// The smallest of the users' machines gives a process 184 MB.
	const mostMemory = 184
	fl, us := newFleetOf(t, emulator.Options{Engines: 10}, 3)
	for _, where := range []emulator.EndlessPart{emulator.EndlessHead, emulator.EndlessEvent, emulator.EndlessRefusal} {
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
		if got := peakMemory(t, en); got > mostMemory {
			t.Errorf("an instance held %d MB", got)
		}
	}
	time.Sleep(5 * time.Second)
	if served, asked := us.few(60); float64(served) < 0.95*float64(asked) {
		t.Errorf("%d of %d served afterwards", served, asked)
	}
	us.check(fl)
}
