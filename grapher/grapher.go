// Package grapher draws what the logs of entry instances say of a day or a soak: requests by their end, times to the first
// answer, waits for adapters and loads, second by second.
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

// clockFormat is the format of the logs' times; they carry no date.
const clockFormat = "15:04:05.000"

// longestLine bounds a log line, in bytes.
const longestLine = 1 << 20

// second is what ended or began within one second.
type second struct {
	served  int
	refused int
	failed  int
	loads   int
	// first are times to the first byte of served requests, and waits those for adapters, in milliseconds.
	first []float64
	waits []float64
}

// Graph gathers log lines.
type Graph struct {
	seconds map[time.Time]*second
	skipped int
}

// New makes an empty graph.
func New() *Graph { return &Graph{seconds: make(map[time.Time]*second)} }

// Skipped is the number of lines that could not be read.
func (gr *Graph) Skipped() int { return gr.skipped }

// Read takes in a log. What stands in a line before its time is left out.
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

// entry is a log line's fields that matter here.
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

// The first statuses of client and server errors, and that of a refusal that promises that the request has not run.
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

// times are the seconds that have anything, in order.
func (gr *Graph) times() []time.Time {
	return slices.SortedFunc(maps.Keys(gr.seconds), time.Time.Compare)
}

// quantile returns the value below which a share of the values lies; 0 for none.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
