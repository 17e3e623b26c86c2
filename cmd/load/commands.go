package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"lovagebank/loader"
)

// errViolations reports that a run had violations, which sets the exit code.
var errViolations = errors.New("violations found; see the report")

// outputs holds the scenario and the files for the reports, which are also written as a table to standard output.
type outputs struct {
	Scenario string `long:"scenario" required:"yes" description:"Scenario file"`
	JSON     string `long:"json" description:"File for the reports as JSON"`
	Plot     string `long:"plot" description:"File for the plot; its extension says the format, such as svg or png"`
}

type runCommand struct {
	outputs
	Environment string `long:"environment" description:"File of shell assignments that describe the fleet; the process's environment when not given"`
	Name        string `long:"name" default:"run" description:"Name of the run in the report"`
}

// Execute runs the scenario against one fleet.
func (rc *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := runScenario(ctx, rc.Name, rc.Scenario, rc.Environment)
	if err != nil {
		return err
	}
	return rc.write(report)
}

type compareCommand struct {
	outputs
	Before string `long:"before" required:"yes" description:"File of shell assignments of the first fleet"`
	After  string `long:"after" required:"yes" description:"File of shell assignments of the second fleet"`
}

// Execute runs the scenario against two fleets, one after the other.
func (cc *compareCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	before, err := runScenario(ctx, "before", cc.Scenario, cc.Before)
	if err != nil {
		return err
	}
	after, err := runScenario(ctx, "after", cc.Scenario, cc.After)
	if err != nil {
		return err
	}
	return cc.write(before, after)
}

// runScenario runs a scenario against the fleet that an environment file describes.
func runScenario(ctx context.Context, name, scenario, environment string) (*loader.Report, error) {
	en, err := loader.ReadEnvironment(environment)
	if err != nil {
		return nil, err
	}
	if len(en.URLs()) == 0 {
		return nil, errors.New("the environment does not set DEMO_URL_1")
	}
	sc, err := loader.ReadScenario(scenario, en)
	if err != nil {
		return nil, err
	}
	progress := func(at time.Duration, issued, finished int) {
		fmt.Fprintf(os.Stderr, "%s: %s of %s, %d issued, %d finished\n", name, at.Round(time.Second), sc.Duration, issued, finished)
	}
	return loader.Measure(ctx, name, sc, en, progress)
}

// write writes the reports. It returns errViolations if a report contains violations.
func (ou outputs) write(reports ...*loader.Report) error {
	if err := loader.WriteTable(os.Stdout, reports...); err != nil {
		return err
	}
	if ou.JSON != "" {
		encoded, err := json.MarshalIndent(reports, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(ou.JSON, append(encoded, '\n'), 0o644); err != nil {
			return err
		}
	}
	if ou.Plot != "" {
		if err := loader.WritePlot(ou.Plot, reports...); err != nil {
			return err
		}
	}
	for _, report := range reports {
		if report.Violations.Any() {
			return errViolations
		}
	}
	return nil
}
