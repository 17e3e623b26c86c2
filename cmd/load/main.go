// Command load drives a fleet by the callers' interface and reports how its callers fared.
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

// Exit codes.
const (
	exitFailed     = 1
	exitViolations = 2
)

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	parser.LongDescription = `A scenario file says what arrives; the fleet is described by shell assignments as cmd/demo prints them:

    go run ./cmd/demo > /tmp/demo.env &
    go run ./cmd/load run --scenario loader/scenarios/day.ini --environment /tmp/demo.env --plot /tmp/day.svg

The exit code is 2 when something happened that must not: a lost, doubled or wrong answer, a false refusal.`
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
