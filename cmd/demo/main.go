// Command demo runs a small fleet in one process: a store, the platform's list, six engines, three application workers
// and six entry instances in three failure domains on loopback, with sample lists. It prints shell assignments to
// evaluate and commands to copy, and runs until SIGINT or SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the command-line options.
type options struct {
	PortBase  int           `long:"port-base" default:"7400" description:"First port; the demo uses the hundred from there on"`
	Adapters  int           `long:"adapters" default:"300" description:"Adapters in each of the four sample families"`
	Slots     int           `long:"slots" default:"8" description:"Adapter slots of each engine"`
	Batch     int           `long:"batch" default:"16" description:"Requests that each engine runs at once"`
	TokenTime time.Duration `long:"token-time" default:"5ms" description:"Time for one token"`
	StoreRate float64       `long:"store-rate" default:"2000" description:"Calls a second that the store takes"`
	LogLevel  string        `long:"log-level" default:"warn" description:"Least level that the instances log: debug, info, warn or error"`
}

func main() {
	var op options
	if _, err := flags.Parse(&op); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	if err := serveUntilSignal(op); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func serveUntilSignal(op options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, op, os.Stdout)
}
