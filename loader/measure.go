package loader

import (
	"context"
	"time"

	"lovagebank/faker"
)

// Measure runs a scenario against a fleet and reports on it. Progress, if given, is told how far a long run is.
func Measure(ctx context.Context, name string, sc *Scenario, en Environment, progress func(at time.Duration, issued, finished int)) (*Report, error) {
	options := DriverOptions{URLs: en.URLs(), Progress: progress}
	counter := &ControlClient{URLs: en.ControlURLs()}
	var before, after map[string]faker.Stats
	if len(counter.URLs) > 0 {
		options.SwitchFault = counter.SwitchFault
		var err error
		if before, err = counter.Stats(ctx); err != nil {
			return nil, err
		}
	}
	results := NewDriver(options).Run(ctx, sc, sc.Arrivals())
	if len(counter.URLs) > 0 {
		var err error
		if after, err = counter.Stats(ctx); err != nil {
			return nil, err
		}
	}
	return NewReport(name, sc, results, before, after), nil
}
