// Command soak injects the faults of one or more seeds into real processes, and reports each broken promise with its seed
// and logs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lovagebank/launcher"
	"lovagebank/soaker"
)

type options struct {
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     int           `long:"seeds" default:"1" description:"how many seeds, counted up"`
	Parallel  int           `long:"parallel" default:"1" description:"runs at a time"`
	Instances int           `long:"instances" default:"4" description:"entry instances of a run"`
	Length    time.Duration `long:"length" default:"12s" description:"time in which faults begin"`
	StepsBack bool          `long:"steps-back" description:"have the store come back from older copies too"`
	Places    bool          `long:"places" description:"have cold targets, regions and evacuations too"`
	Damaged   bool          `long:"damaged-answers" description:"have targets send answers that are none, or too early, too"`
	Folder    string        `long:"folder" default:"." description:"where the logs of runs with findings are kept"`
	Break     string        `long:"break" description:"build with a deliberate fault, to see that it is caught; 'list' names them"`
	Keep      bool          `long:"keep" description:"keep the logs of runs without findings too"`
	Verbose   bool          `long:"verbose" description:"print each fault as it strikes"`
}

var errPromisesBroken = errors.New("promises were broken")

func main() {
	var op options
	os.Exit(launcher.Run("soak", &op, func() error { return start(op) }))
}

func start(op options) error {
	if op.Break == "list" {
		soaker.WriteBreakages(os.Stdout)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, op)
}

func run(ctx context.Context, op options) error {
	folder, err := os.MkdirTemp(op.Folder, "soak-")
	if err != nil {
		return err
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return err
	}
	program := filepath.Join(folder, "lovagebank")
	build := exec.CommandContext(ctx, "go", "build", "-o", program)
	if op.Break != "" {
		overlay, err := soaker.WriteOverlay(op.Break, folder)
		if err != nil {
			return err
		}
		build.Args = append(build.Args, "-overlay", overlay)
	}
	build.Args = append(build.Args, ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	reports, err := runSeeds(ctx, op, folder, program)
	soaker.WriteTotals(os.Stdout, reports)
	broken := 0
	for _, re := range reports {
		broken += len(re.Violations)
	}
	switch {
	case err != nil:
		return err
	case broken > 0:
		return errPromisesBroken
	case op.Keep:
		fmt.Println("logs in", folder)
		return nil
	}
	return os.RemoveAll(folder)
}

// runSeeds runs the seeds, at most op.Parallel at a time. It returns the reports of the completed runs and the joined
// errors of the others.
func runSeeds(ctx context.Context, op options, folder, program string) ([]*soaker.Report, error) {
	var (
		mu      sync.Mutex
		reports []*soaker.Report
		failure error
		runs    sync.WaitGroup
	)
	slots := make(chan struct{}, op.Parallel)
	for index := range op.Seeds {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			re, err := runSeed(ctx, op, op.Seed+uint64(index), folder, program)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = errors.Join(failure, fmt.Errorf("seed %d: %w", op.Seed+uint64(index), err))
				return
			}
			re.Write(os.Stdout)
			reports = append(reports, re)
		})
	}
	runs.Wait()
	return reports, failure
}

func runSeed(ctx context.Context, op options, seed uint64, folder, program string) (*soaker.Report, error) {
	seedFolder := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(seedFolder, 0o700); err != nil {
		return nil, err
	}
	so := soaker.New(soaker.Options{
		Seed: seed, FaultPeriod: op.Length, Instances: op.Instances, StoreRollbacks: op.StepsBack, Places: op.Places,
		DamagedAnswers: op.Damaged, Program: program, Folder: seedFolder,
		Progress: func(line string) {
			if op.Verbose {
				fmt.Printf("%s seed %d: %s\n", time.Now().Format(time.TimeOnly), seed, line)
			}
		},
	})
	re, err := so.Run(ctx)
	if err != nil || op.Keep {
		return re, err
	}
	return re, so.Clean(re)
}
