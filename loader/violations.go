package loader

import (
	"fmt"

	"lovagebank/faker"
)

// judge counts what a result violates by itself.
func (re *Report) judge(result Result) {
	switch result.Outcome {
	case OutcomeWrong:
		re.Violations.Wrong++
	case OutcomeBroken:
		re.Violations.Lost++
	default:
		return
	}
	re.example(result, string(result.Outcome))
}

func (re *Report) example(result Result, what string) {
	if len(re.Examples) < maxExamples {
		re.Examples = append(re.Examples, fmt.Sprintf("%s %s at %s: %s: %s",
			result.Arrival.Kind.Name, result.Arrival.ID, result.Arrival.At, what, result.Detail))
	}
}

// addOvershoot counts the tokens that an organisation used beyond what its rate and burst allow in the run. It is a
// lower bound, as it looks at the whole run and not at each part of it.
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

// addCounts holds the results against what the stand-ins counted.
func (re *Report) addCounts(results []Result, before, after map[string]faker.Stats) {
	ran := runs(after)
	for key, count := range runs(before) {
		ran[key] -= count
	}
	for _, result := range results {
		if result.Arrival != nil && result.Arrival.Kind.Name == KindOrder {
			re.judgeOrder(result, ran[result.Arrival.Organisation.Name+"/"+result.Arrival.ID])
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
		var old faker.EngineStats
		if before[id].Engine != nil {
			old = *before[id].Engine
		}
		re.AdapterLoads += stats.Engine.Loads - old.Loads
		re.Violations.EvictionsInUse += stats.Engine.EvictionsInUse - old.EvictionsInUse
		re.Violations.KeysSeen += stats.Engine.KeysSeen - old.KeysSeen
		tokens += stats.Engine.Tokens - old.Tokens
		steps += stats.Engine.Steps - old.Steps
	}
	if steps > 0 {
		re.MeanBatch = float64(tokens) / steps
	}
}

// judgeOrder holds an order's answer against its runs.
func (re *Report) judgeOrder(result Result, ran int) {
	switch {
	case ran > 1:
		re.Violations.Doubled++
		re.example(result, fmt.Sprintf("ran %d times", ran))
	case ran == 0 && result.Outcome == OutcomeDone:
		re.Violations.Lost++
		re.example(result, "answered without a run")
	case ran == 1 && result.OnlyNotRun:
		re.Violations.FalseNotRun++
		re.example(result, "ran, and was refused as not run")
	}
}
