package loader

import (
	"fmt"

	"lovagebank/faker"
)

// addViolation counts the violation, if any, that a result shows without the statistics of the stand-ins.
func (re *Report) addViolation(result Result) {
	switch result.Outcome {
	case OutcomeWrong:
		re.Violations.Wrong++
	case OutcomeBroken:
		re.Violations.Lost++
	default:
		return
	}
	re.addExample(result, string(result.Outcome))
}

func (re *Report) addExample(result Result, violation string) {
	if len(re.Examples) < maxExamples {
		re.Examples = append(re.Examples, fmt.Sprintf("%s %s at %s: %s: %s",
			result.Arrival.Kind.Name, result.Arrival.ID, result.Arrival.At, violation, result.Detail))
	}
}

// addOvershoot adds the tokens that organisations used in excess of their rate and burst. The sum is a lower bound,
// because it compares the totals of the whole run and not of each interval.
func (re *Report) addOvershoot(sc *Scenario, results []Result) {
	used := map[*Organisation]float64{}
	last := sc.Duration
	for _, result := range results {
		if result.Outcome != OutcomeDone {
			continue
		}
		used[result.Arrival.Organisation] += result.Arrival.Cost()
		last = max(last, result.Arrival.At+result.Total)
	}
	for og, tokens := range used {
		if og.Rate > 0 {
			re.Violations.Overshoot += max(0, tokens-og.Burst-og.Rate*last.Seconds())
		}
	}
}

// addStats compares the results with the statistics of the stand-ins and adds the sums of the engines.
func (re *Report) addStats(results []Result, before, after map[string]faker.Stats) {
	orderRuns := sumRuns(after)
	for key, count := range sumRuns(before) {
		orderRuns[key] -= count
	}
	for _, result := range results {
		if result.Arrival != nil && result.Arrival.Kind.Name == KindOrder {
			re.addOrderViolation(result, orderRuns[result.Arrival.Organisation.Name+"/"+result.Arrival.ID])
		}
	}
	tokens, steps := 0, 0.0
	for id, stats := range after {
		if stats.Worker != nil {
			re.Violations.KeysSeen += stats.Worker.KeysSeen - before[id].WorkerKeysSeen()
		}
		if stats.Engine == nil {
			continue
		}
		var previous faker.EngineStats
		if before[id].Engine != nil {
			previous = *before[id].Engine
		}
		re.AdapterLoads += stats.Engine.Loads - previous.Loads
		re.Violations.EvictionsInUse += stats.Engine.EvictionsInUse - previous.EvictionsInUse
		re.Violations.KeysSeen += stats.Engine.KeysSeen - previous.KeysSeen
		tokens += stats.Engine.Tokens - previous.Tokens
		steps += stats.Engine.Steps - previous.Steps
	}
	if steps > 0 {
		re.MeanBatch = float64(tokens) / steps
	}
}

// addOrderViolation compares the answers to an order with the number of its runs.
func (re *Report) addOrderViolation(result Result, runs int) {
	switch {
	case runs > 1:
		re.Violations.Doubled++
		re.addExample(result, fmt.Sprintf("ran %d times", runs))
	case runs == 0 && result.Outcome == OutcomeDone:
		re.Violations.Lost++
		re.addExample(result, "answered without a run")
	case runs == 1 && result.OnlyNotRun:
		re.Violations.FalseNotRun++
		re.addExample(result, "ran, and was refused as not run")
	}
}
