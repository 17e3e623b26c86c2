// Package commander is the command line: it parses commands, calls the packages that do the work, and turns errors
// into messages and exit codes.
package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailed means that the command could not do what it was asked.
	ExitFailed = 1
	// ExitUsage means that the command line could not be read.
	ExitUsage = 2
)

// streams are where commands print.
type streams struct {
	out io.Writer
	err io.Writer
}

// Run runs the command that the arguments name and returns the program's exit code.
func Run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("lovagebank", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serves very many LoRA adapters on shared model engines."
	if err := register(parser, streams{out: out, err: errOut}); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

func exitCode(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		_, _ = fmt.Fprintln(errOut, "lovagebank:", err)
		return ExitFailed
	}
	if usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, usage.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, usage.Message)
	return ExitUsage
}

// command is one entry of the command line.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func register(parser *flags.Parser, st streams) error {
	for _, cm := range commands(st) {
		if _, err := parser.AddCommand(cm.name, cm.short, cm.long, cm.data); err != nil {
			return fmt.Errorf("command %s: %w", cm.name, err)
		}
	}
	return nil
}

func commands(st streams) []command {
	return []command{
		{
			name:  "serve",
			short: "Run an entry instance",
			long:  "Runs an entry instance until SIGTERM or SIGINT, then finishes the requests in progress.\n\nExample: lovagebank serve --settings /etc/lovagebank/instance.ini",
			data:  &serveCommand{streams: st},
		},
		{
			name:  "check",
			short: "Check settings and lists",
			long:  "Checks settings and the operators' lists without contacting anything, and prints each fault with its file, line and key.\n\nExample: lovagebank check --settings instance.ini --plans plans.ini --uses uses.ini",
			data:  &checkCommand{streams: st},
		},
	}
}
