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

// clockFormat is the format of the times in the logs, which have no date.
const clockFormat = "15:04:05.000"

// longestLine is the maximum length of a log line, in bytes.
const longestLine = 1 << 20

// second holds the requests that ended and the loads that started within one second.
type second struct {
	served  int
	refused int
	failed  int
	loads   int
	// first are the times to the first byte of served requests, and waits the times that requests waited for adapters, both in
	// milliseconds.
	first []float64
	waits []float64
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
	sc.Buffer(nil, longestLine)
	for sc.Scan() {
		_, line, ok := bytes.Cut(sc.Bytes(), []byte("time="))
		if !ok {
			continue
		}
		if err := gr.take(append([]byte("time="), line...)); err != nil {
			gr.skipped++
		}
	}
	return oops.In("grapher").Wrapf(sc.Err(), "read log")
}

// entry holds the fields of a log line that the graph uses.
type entry struct {
	at     time.Time
	msg    string
	status int
	load   bool
	start  bool
	first  float64
	wait   float64
}

func (gr *Graph) take(line []byte) error {
	en, err := parse(line)
	if err != nil {
		return err
	}
	switch en.msg {
	case "request":
		gr.request(en)
	case "order":
		if en.load && en.start {
			gr.second(en.at).loads++
		}
	}
	return nil
}

func parse(line []byte) (entry, error) {
	var en entry
	de := logfmt.NewDecoder(bytes.NewReader(line))
	if !de.ScanRecord() {
		return en, de.Err()
	}
	for de.ScanKeyval() {
		if err := en.set(string(de.Key()), string(de.Value())); err != nil {
			return en, err
		}
	}
	return en, de.Err()
}

func (en *entry) set(key, value string) (err error) {
	switch key {
	case "time":
		en.at, err = time.Parse(clockFormat, value)
	case "msg":
		en.msg = value
	case "status":
		en.status, err = strconv.Atoi(value)
	case "first-ms":
		en.first, err = strconv.ParseFloat(value, 64)
	case "load-wait-ms":
		en.wait, err = strconv.ParseFloat(value, 64)
	case "load":
		en.load = value == "true"
	case "outcome":
		en.start = value == "started"
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
	firstError  = 400
	firstFault  = 500
	notRunFault = 503
)

func (gr *Graph) request(en entry) {
	se := gr.second(en.at)
	switch {
	case en.status >= firstFault && en.status != notRunFault, en.status == 0:
		se.failed++
	case en.status >= firstError:
		se.refused++
	default:
		se.served++
		se.first = append(se.first, en.first)
	}
	if en.wait > 0 {
		se.waits = append(se.waits, en.wait)
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
