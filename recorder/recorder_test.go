package recorder_test

import (
	"strings"
	"sync"
	"testing"

	"lovagebank/recorder"
)

// slow is an output that takes nothing until it is released.
type slow struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (sl *slow) Write(line []byte) (int, error) {
	<-sl.release
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.text.Write(line)
}

// A reader of the log that has stopped holds nobody up; what is lost is counted and told.
func TestNeverBlocks(t *testing.T) {
	out := &slow{release: make(chan struct{})}
	re := recorder.New(out)
	logger := re.Logger()
	for range 5000 {
		logger.Info("request", "id", "x y")
	}
	if re.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.release)
	re.Close()
	text := out.text.String()
	if !strings.Contains(text, `id="x y"`) || !strings.Contains(text, "log lines dropped") {
		t.Errorf("wrote %.200s", text)
	}
}
