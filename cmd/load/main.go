// Command load generates load on a fleet through its caller interface and reports the results from the callers' view.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

type commands struct {
	Run     runCommand     `command:"run" description:"Drive one fleet"`
	Compare compareCommand `command:"compare" description:"Drive two fleets, one after the other, with the same arrivals"`
}

// Exit codes: exitViolations if the reports contain violations, exitFailed for every other error.
const (
	exitFailed     = 1
	exitViolations = 2
)

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	parser.LongDescription = `A scenario file specifies the requests and their arrivals; the fleet is described by shell assignments as cmd/demo prints them:

    go run ./cmd/demo > /tmp/demo.env &
    go run ./cmd/load run --scenario loader/scenarios/day.ini --environment /tmp/demo.env --plot /tmp/day.svg

The exit code is 2 after a violation: a lost, duplicated or wrong answer, or a false refusal.`
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		if errors.Is(err, errViolations) {
			os.Exit(exitViolations)
		}
		os.Exit(exitFailed)
	}
}
