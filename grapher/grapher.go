// Package grapher plots the logs of entry instances of a day or a soak test, per second: requests by outcome, time to the
// first byte, wait for adapters, and loads.
package grapher

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/samber/oops"
)

// logTimeFormat is the format of the times in the logs, which have no date.
const logTimeFormat = "15:04:05.000"

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// second holds the requests that ended and the loads that started within one second.
type second struct {
	served  int
	refused int
	failed  int
	loads   int
	// firstByteMs are the times to the first byte of served requests, and loadWaitsMs the times that requests waited for
	// adapters, both in milliseconds.
	firstByteMs []float64
	loadWaitsMs []float64
}

// Graph collects values from log lines, per second.
type Graph struct {
	seconds map[time.Time]*second
	skipped int
}

// New returns an empty graph.
func New() *Graph { return &Graph{seconds: make(map[time.Time]*second)} }

// Skipped returns the number of lines that could not be parsed.
func (gr *Graph) Skipped() int { return gr.skipped }

// Read adds a log. It ignores lines without a time and any text before the time in a line. A line that cannot be parsed is
// counted by Skipped; the error is that of the reader, or of a line of more than 1 MiB.
func (gr *Graph) Read(rd io.Reader) error {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		_, line, ok := bytes.Cut(sc.Bytes(), []byte("time="))
		if !ok {
			continue
		}
		if err := gr.record(append([]byte("time="), line...)); err != nil {
			gr.skipped++
		}
	}
	return oops.In("grapher").Wrapf(sc.Err(), "read log")
}

// logLine holds the fields of a log line that the graph uses.
type logLine struct {
	at          time.Time
	msg         string
	status      int
	load        bool
	started     bool
	firstByteMs float64
	loadWaitMs  float64
}

func (gr *Graph) record(line []byte) error {
	ll, err := parse(line)
	if err != nil {
		return err
	}
	switch ll.msg {
	case "request":
		gr.countRequest(ll)
	case "order":
		if ll.load && ll.started {
			gr.second(ll.at).loads++
		}
	}
	return nil
}

func parse(line []byte) (logLine, error) {
	var ll logLine
	de := logfmt.NewDecoder(bytes.NewReader(line))
	if !de.ScanRecord() {
		return ll, de.Err()
	}
	for de.ScanKeyval() {
		if err := ll.set(string(de.Key()), string(de.Value())); err != nil {
			return ll, err
		}
	}
	return ll, de.Err()
}

func (ll *logLine) set(key, value string) (err error) {
	switch key {
	case "time":
		ll.at, err = time.Parse(logTimeFormat, value)
	case "msg":
		ll.msg = value
	case "status":
		ll.status, err = strconv.Atoi(value)
	case "first-ms":
		ll.firstByteMs, err = strconv.ParseFloat(value, 64)
	case "load-wait-ms":
		ll.loadWaitMs, err = strconv.ParseFloat(value, 64)
	case "load":
		ll.load = value == "true"
	case "outcome":
		ll.started = value == "started"
	}
	return err
}

func (gr *Graph) second(at time.Time) *second {
	at = at.Truncate(time.Second)
	se, ok := gr.seconds[at]
	if !ok {
		se = &second{}
		gr.seconds[at] = se
	}
	return se
}

// The first status codes of client and server errors, and the status of a refusal that guarantees that the request has not run.
const (
	minClientError    = 400
	minServerError    = 500
	statusNotExecuted = 503
)

func (gr *Graph) countRequest(ll logLine) {
	se := gr.second(ll.at)
	switch {
	case ll.status >= minServerError && ll.status != statusNotExecuted, ll.status == 0:
		se.failed++
	case ll.status >= minClientError:
		se.refused++
	default:
		se.served++
		se.firstByteMs = append(se.firstByteMs, ll.firstByteMs)
	}
	if ll.loadWaitMs > 0 {
		se.loadWaitsMs = append(se.loadWaitsMs, ll.loadWaitMs)
	}
}

// times returns the seconds that have log lines, in ascending order.
func (gr *Graph) times() []time.Time {
	return slices.SortedFunc(maps.Keys(gr.seconds), time.Time.Compare)
}

// quantile returns the value below which the given share of the values lies, or 0 if there are no values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
