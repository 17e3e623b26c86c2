package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagebank/faker"
)

// The histograms' bounds, in microseconds, and their significant figures.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyFigures = 3
)

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyFigures)
}

func latency(hg *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / float64(time.Millisecond/time.Microsecond) }
	return Latency{
		Count: hg.TotalCount(), P50: ms(hg.ValueAtPercentile(50)), P95: ms(hg.ValueAtPercentile(95)),
		P99: ms(hg.ValueAtPercentile(99)), Max: ms(hg.Max()),
	}
}

// Violations counts what must never happen.
type Violations struct {
	// Lost is the requests that got no whole answer, and no refusal, however often they were sent; and the orders that
	// were answered and did not run.
	Lost int `json:"lost"`
	// Doubled is the orders that ran more than once.
	Doubled int `json:"doubled"`
	// Wrong is the answers of another organisation, adapter, version or request, or out of order.
	Wrong int `json:"wrong"`
	// FalseNotRun is the orders that ran although every answer said that they did not.
	FalseNotRun int `json:"false-not-run"`
	// Overshoot is the tokens used beyond the rate and burst over the whole run.
	Overshoot float64 `json:"overshoot-tokens"`
	// EvictionsInUse and KeysSeen are counted at the targets.
	EvictionsInUse int `json:"evictions-in-use"`
	KeysSeen       int `json:"keys-seen"`
}

// Any tells whether something happened that must not.
func (vi Violations) Any() bool { return vi != Violations{} }

// Measures are the measures of the requests of one organisation, or of all.
type Measures struct {
	Organisation string `json:"organisation"`
	Issued       int    `json:"issued"`
	Done         int    `json:"done"`
	// Late is the requests that were done after their deadline.
	Late int `json:"late"`
	// Refused counts the refused requests by their reason.
	Refused map[string]int `json:"refused"`
	// WrongfulRefusals is the refusals of requests that the organisation's rate paid for, and WrongfulRateRefusals those of them that
	// named the rate as the reason.
	WrongfulRefusals     int `json:"wrongful"`
	WrongfulRateRefusals int `json:"wrongful-rate"`
	// CutOff is the attempts without a whole answer, whether or not a later one had it.
	CutOff int `json:"cut-off"`
	// CutOffReasons names the requests of those attempts and why each ended.
	CutOffReasons []string `json:"cut-offs,omitempty"`
	// Stalls is the model requests whose first token came later than the scenario allows, and StallTime by how much
	// in all, in seconds.
	Stalls    int     `json:"stalls"`
	StallTime float64 `json:"stall-seconds"`
	// Service is the service per completed request, weighted by kind: the mean, over the completed requests with the
	// weight of their kinds, of 1 for one in time and of deadline by time taken for a late one.
	Service float64 `json:"service"`
	// Served is the part of the weight of all issued requests that was done in time.
	Served     float64 `json:"served"`
	FirstToken Latency `json:"first-token"`
	Total      Latency `json:"total"`

	first, total *hdrhistogram.Histogram
	// The sums behind Service and Served.
	weightIssued, weightDone, weightInTime, value float64
}

// Report is the outcome of a run.
type Report struct {
	Name       string     `json:"name"`
	Seed       uint64     `json:"seed"`
	Seconds    float64    `json:"seconds"`
	Violations Violations `json:"violations"`
	// Examples are the first wrong or lost answers in words.
	Examples      []string   `json:"examples,omitempty"`
	All           Measures   `json:"all"`
	Organisations []Measures `json:"organisations"`
	// WorstServed is the organisation with the least served.
	WorstServed string `json:"worst-served"`
	// AdapterLoads is the adapter loads at the engines, and Batch the mean number of requests in a batch.
	AdapterLoads int     `json:"loads"`
	MeanBatch    float64 `json:"mean-batch"`
}

// maxExamples bounds the examples in a report.
const maxExamples = 8

// NewReport sums up a run. The counts are those of the stand-ins before and after it; without them orders, loads and
// evictions go unchecked.
func NewReport(name string, sc *Scenario, results []Result, before, after map[string]faker.Stats) *Report {
	re := &Report{Name: name, Seed: sc.Seed, Seconds: sc.Duration.Seconds(), All: newMeasures("all")}
	by := map[*Organisation]*Measures{}
	re.Organisations = make([]Measures, len(sc.Organisations))
	for index, og := range sc.Organisations {
		re.Organisations[index] = newMeasures(og.Name)
		by[og] = &re.Organisations[index]
	}
	for _, result := range results {
		if result.Arrival == nil {
			continue
		}
		re.All.add(result, sc.StallAfter)
		by[result.Arrival.Organisation].add(result, sc.StallAfter)
		re.judge(result)
	}
	re.All.close()
	least := 2.0
	for index := range re.Organisations {
		ms := &re.Organisations[index]
		ms.close()
		if ms.Issued > 0 && ms.Served < least {
			least, re.WorstServed = ms.Served, ms.Organisation
		}
	}
	re.addOvershoot(sc, results)
	if after != nil {
		re.addCounts(results, before, after)
	}
	return re
}

func newMeasures(name string) Measures {
	return Measures{Organisation: name, Refused: map[string]int{}, first: newHistogram(), total: newHistogram()}
}

// add counts one result.
func (ms *Measures) add(result Result, stallAfter time.Duration) {
	ar := result.Arrival
	ms.Issued++
	ms.CutOff += result.CutOff
	for _, reason := range result.CutOffReasons {
		ms.CutOffReasons = append(ms.CutOffReasons, string(result.Arrival.Kind.Name)+" "+result.Arrival.ID+": "+reason)
	}
	ms.weightIssued += ar.Kind.Weight
	if result.Outcome == OutcomeNotRun || result.Outcome == OutcomeUnknown {
		ms.Refused[result.Code]++
		if ar.WithinRate && ar.Organisation.Rate > 0 {
			ms.WrongfulRefusals++
			if result.Code == codeRateExceeded {
				ms.WrongfulRateRefusals++
			}
		}
	}
	if result.Outcome != OutcomeDone {
		return
	}
	ms.Done++
	ms.weightDone += ar.Kind.Weight
	if result.Total <= ar.Deadline() {
		ms.weightInTime += ar.Kind.Weight
		ms.value += ar.Kind.Weight
	} else {
		ms.Late++
		ms.value += ar.Kind.Weight * ar.Deadline().Seconds() / result.Total.Seconds()
	}
	_ = ms.total.RecordValue(min(result.Total.Microseconds(), highestLatency))
	if ar.Adapter == "" || !ar.Kind.Stream {
		return
	}
	_ = ms.first.RecordValue(min(result.FirstToken.Microseconds(), highestLatency))
	if result.FirstToken > stallAfter {
		ms.Stalls++
		ms.StallTime += (result.FirstToken - stallAfter).Seconds()
	}
}

// codeRateExceeded is the reason of a refusal for the rate.
const codeRateExceeded = "rate-exceeded"

// close works out the measures from the sums.
func (ms *Measures) close() {
	if ms.weightDone > 0 {
		ms.Service = ms.value / ms.weightDone
	}
	if ms.weightIssued > 0 {
		ms.Served = ms.weightInTime / ms.weightIssued
	}
	ms.FirstToken, ms.Total = latency(ms.first), latency(ms.total)
}
