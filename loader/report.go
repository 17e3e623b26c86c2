package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagebank/faker"
)

// The bounds of the latency histograms, in microseconds, and their precision.
const (
	minLatencyUs       = 1
	maxLatencyUs       = int64(time.Hour / time.Microsecond)
	significantFigures = 3
)

// Latency summarises a latency distribution, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUs, maxLatencyUs, significantFigures)
}

func newLatency(hg *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / float64(time.Millisecond/time.Microsecond) }
	return Latency{
		Count: hg.TotalCount(), P50: ms(hg.ValueAtPercentile(50)), P95: ms(hg.ValueAtPercentile(95)),
		P99: ms(hg.ValueAtPercentile(99)), Max: ms(hg.Max()),
	}
}

// Violations counts the violations of guarantees of the fleet. All counts of a correct run are 0.
type Violations struct {
	// Lost counts the requests that got neither a complete answer nor a refusal after all resends, and the orders that
	// were answered but did not run.
	Lost int `json:"lost"`
	// Doubled counts the orders that ran more than once.
	Doubled int `json:"doubled"`
	// Wrong counts the answers of another organisation, adapter, version or request, and answers out of order.
	Wrong int `json:"wrong"`
	// FalseNotRun counts the orders that ran although every answer stated that they did not.
	FalseNotRun int `json:"false-not-run"`
	// Overshoot is the number of tokens used in excess of the rate and burst over the whole run.
	Overshoot float64 `json:"overshoot-tokens"`
	// EvictionsInUse and KeysSeen are counted by the stand-ins of the targets.
	EvictionsInUse int `json:"evictions-in-use"`
	KeysSeen       int `json:"keys-seen"`
}

// Any reports whether any violation occurred.
func (vi Violations) Any() bool { return vi != Violations{} }

// Measures holds the results of the requests of one organisation, or of all.
type Measures struct {
	Organisation string `json:"organisation"`
	Issued       int    `json:"issued"`
	Done         int    `json:"done"`
	// Late counts the requests that were done after their deadline.
	Late int `json:"late"`
	// Refused counts the refused requests by error code.
	Refused map[string]int `json:"refused"`
	// WrongfulRefusals counts the refusals of requests that the organisation's rate and burst cover, and WrongfulRateRefusals the
	// subset refused for an exceeded rate.
	WrongfulRefusals     int `json:"wrongful"`
	WrongfulRateRefusals int `json:"wrongful-rate"`
	// CutOff counts the attempts whose answer was cut off or never arrived, whether or not a later attempt succeeded.
	CutOff int `json:"cut-off"`
	// CutOffReasons lists the request and the reason for each attempt counted by CutOff.
	CutOffReasons []string `json:"cut-offs,omitempty"`
	// Stalls counts the streamed model requests whose first token arrived later than the scenario allows. StallTime is
	// the sum of the excess times in seconds.
	Stalls    int     `json:"stalls"`
	StallTime float64 `json:"stall-seconds"`
	// Service is the mean score of the completed requests, weighted by kind. A request in time scores 1; a late request
	// scores its deadline divided by the time taken.
	Service float64 `json:"service"`
	// Served is the share of the issued requests that was done in time, weighted by kind.
	Served     float64 `json:"served"`
	FirstToken Latency `json:"first-token"`
	Total      Latency `json:"total"`

	firstTokenHist, totalHist *hdrhistogram.Histogram
	// The sums that Service and Served are computed from.
	weightIssued, weightDone, weightInTime, serviceSum float64
}

// Report holds the results of a run.
type Report struct {
	Name       string     `json:"name"`
	Seed       uint64     `json:"seed"`
	Seconds    float64    `json:"seconds"`
	Violations Violations `json:"violations"`
	// Examples describes the first violations.
	Examples      []string   `json:"examples,omitempty"`
	All           Measures   `json:"all"`
	Organisations []Measures `json:"organisations"`
	// WorstServed is the organisation with the lowest Served.
	WorstServed string `json:"worst-served"`
	// AdapterLoads is the number of adapter loads at the engines. MeanBatch is the mean number of requests in a batch.
	AdapterLoads int     `json:"loads"`
	MeanBatch    float64 `json:"mean-batch"`
}

// maxExamples is the maximum number of examples in a report.
const maxExamples = 8

// NewReport returns the report of a run. The maps hold the statistics of the stand-ins before and after the run; if
// after is nil, orders, adapter loads, evictions and keys seen are not checked.
func NewReport(name string, sc *Scenario, results []Result, before, after map[string]faker.Stats) *Report {
	re := &Report{Name: name, Seed: sc.Seed, Seconds: sc.Duration.Seconds(), All: newMeasures("all")}
	byOrganisation := map[*Organisation]*Measures{}
	re.Organisations = make([]Measures, len(sc.Organisations))
	for index, og := range sc.Organisations {
		re.Organisations[index] = newMeasures(og.Name)
		byOrganisation[og] = &re.Organisations[index]
	}
	for _, result := range results {
		if result.Arrival == nil {
			continue
		}
		re.All.add(result, sc.StallAfter)
		byOrganisation[result.Arrival.Organisation].add(result, sc.StallAfter)
		re.addViolation(result)
	}
	re.All.summarise()
	lowestServed := 2.0
	for index := range re.Organisations {
		ms := &re.Organisations[index]
		ms.summarise()
		if ms.Issued > 0 && ms.Served < lowestServed {
			lowestServed, re.WorstServed = ms.Served, ms.Organisation
		}
	}
	re.addOvershoot(sc, results)
	if after != nil {
		re.addStats(results, before, after)
	}
	return re
}

func newMeasures(name string) Measures {
	return Measures{Organisation: name, Refused: map[string]int{}, firstTokenHist: newHistogram(), totalHist: newHistogram()}
}

// add adds one result. A first token later than stallAfter counts as a stall.
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
		ms.serviceSum += ar.Kind.Weight
	} else {
		ms.Late++
		ms.serviceSum += ar.Kind.Weight * ar.Deadline().Seconds() / result.Total.Seconds()
	}
	_ = ms.totalHist.RecordValue(min(result.Total.Microseconds(), maxLatencyUs))
	if ar.Adapter == "" || !ar.Kind.Stream {
		return
	}
	_ = ms.firstTokenHist.RecordValue(min(result.FirstToken.Microseconds(), maxLatencyUs))
	if result.FirstToken > stallAfter {
		ms.Stalls++
		ms.StallTime += (result.FirstToken - stallAfter).Seconds()
	}
}

// codeRateExceeded is the error code of a refusal for an exceeded rate.
const codeRateExceeded = "rate-exceeded"

// summarise computes the ratios and latencies after the last add.
func (ms *Measures) summarise() {
	if ms.weightDone > 0 {
		ms.Service = ms.serviceSum / ms.weightDone
	}
	if ms.weightIssued > 0 {
		ms.Served = ms.weightInTime / ms.weightIssued
	}
	ms.FirstToken, ms.Total = newLatency(ms.firstTokenHist), newLatency(ms.totalHist)
}
