// Package recorder takes log lines without ever holding up who writes them: lines wait in a bounded queue, and those
// for which there is no room are dropped and counted.
package recorder

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// queueLines is the number of lines that may wait to be written.
const queueLines = 2048

// Recorder writes lines in the background.
type Recorder struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New makes a recorder and starts its work; Close ends it.
func New(out io.Writer) *Recorder {
	re := &Recorder{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go re.run()
	return re
}

// Logger returns a logger of structured lines that writes through the recorder.
func (re *Recorder) Logger() *log.Logger {
	return log.NewWithOptions(re, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
}

// Write takes a line; it never blocks.
func (re *Recorder) Write(line []byte) (int, error) {
	select {
	case re.lines <- append([]byte(nil), line...):
	default:
		re.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines for which there was no room.
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

// Close writes what waits and ends the work. Nothing may be written afterwards.
func (re *Recorder) Close() {
	close(re.lines)
	<-re.done
}
