package recorder_test

import (
	"strings"
	"sync"
	"testing"

	"lovagebank/recorder"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (bw *blockedWriter) Write(line []byte) (int, error) {
	<-bw.release
	bw.mu.Lock()
	defer bw.mu.Unlock()
	return bw.text.Write(line)
}

// TestDropsLinesWhenOutputBlocks guards against logging that blocks when the reader of the log has stopped. Dropped
// lines must be counted and reported in the log.
func TestDropsLinesWhenOutputBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
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

// Guards against a process that ends with a panic at its shutdown: a goroutine that still logs met a closed queue.
func TestWritesAfterCloseAreDropped(t *testing.T) {
	re := recorder.New(&strings.Builder{})
	re.Close()
	if _, err := re.Write([]byte("late\n")); err != nil || re.Dropped() != 1 {
		t.Errorf("error %v, %d dropped", err, re.Dropped())
	}
}
