// Package recorder writes log lines asynchronously, so that logging never blocks: lines are kept in a bounded queue,
// and lines that do not fit into it are dropped and counted.
package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// maxQueuedLines is the capacity of the queue, in lines.
const maxQueuedLines = 2048

// Recorder writes log lines in the background.
type Recorder struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// closing keeps Close from closing the queue while a line is being queued.
	closing sync.RWMutex
	closed  bool
}

// New returns a recorder and starts its goroutine, which Close stops.
func New(out io.Writer) *Recorder {
	re := &Recorder{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go re.run()
	return re
}

// Logger returns a logger that writes logfmt lines through the recorder.
func (re *Recorder) Logger() *log.Logger {
	return log.NewWithOptions(re, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
}

// Write queues a copy of a line. It never blocks and never returns an error; a line that does not fit into the queue, or comes
// after Close, is dropped.
func (re *Recorder) Write(line []byte) (int, error) {
	re.closing.RLock()
	defer re.closing.RUnlock()
	if re.closed {
		re.dropped.Add(1)
		return len(line), nil
	}
	select {
	case re.lines <- append([]byte(nil), line...):
	default:
		re.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full or writing them failed.
func (re *Recorder) Dropped() int64 { return re.dropped.Load() }

func (re *Recorder) run() {
	defer close(re.done)
	reported := int64(0)
	for line := range re.lines {
		if _, err := re.out.Write(line); err != nil {
			re.dropped.Add(1)
			continue
		}
		if dropped := re.dropped.Load(); dropped > reported && len(re.lines) == 0 {
			_, _ = fmt.Fprintf(re.out, "level=warn msg=\"log lines dropped\" total=%d\n", dropped)
			reported = dropped
		}
	}
}

// Close writes the queued lines and stops the goroutine.
func (re *Recorder) Close() {
	re.closing.Lock()
	re.closed = true
	close(re.lines)
	re.closing.Unlock()
	<-re.done
}
