// Package commander is the command line: it parses commands, calls the packages that do the work, and turns errors
// into messages and exit codes.
package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"lovagebank/configurer"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailed means that the command could not do what it was asked.
	ExitFailed = 1
	// ExitUsage means that the command line could not be read.
	ExitUsage = 2
	// ExitFaults means that a text was refused for its faults.
	ExitFaults = 3
	// ExitConflict means that another change came first.
	ExitConflict = 4
	// ExitOutcomeUnknown means that a change may have been accepted; it can be sent again with the same change id.
	ExitOutcomeUnknown = 5
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
		var re *requestError
		if errors.As(err, &re) {
			return re.exitCode()
		}
		return ExitFailed
	}
	if usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, usage.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, usage.Message)
	return ExitUsage
}

// command is one entry of the command line. One with subcommands does nothing itself and has no data.
type command struct {
	name        string
	short       string
	long        string
	data        flags.Commander
	subcommands []command
}

func register(parser *flags.Parser, st streams) error {
	return addCommands(parser.Command, commands(st))
}

func addCommands(parent *flags.Command, entries []command) error {
	for _, cm := range entries {
		var data any = cm.data
		if cm.data == nil {
			data = &struct{}{}
		}
		added, err := parent.AddCommand(cm.name, cm.short, cm.long, data)
		if err != nil {
			return fmt.Errorf("command %s: %w", cm.name, err)
		}
		if err := addCommands(added, cm.subcommands); err != nil {
			return err
		}
	}
	return nil
}

func commands(st streams) []command {
	return []command{
		{
			name:  "entry",
			short: "Run an entry instance on the users' platform.",
			long:  "Runs an entry instance on the users' platform until SIGTERM, then drains. Example:\n\n    lovagebank entry --settings /etc/lovagebank/node.conf",
			data:  &entryCommand{streams: st},
		},
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
		listCommands(st, "plan", configurer.DocumentPlans, "the organisations with their plans"),
		listCommands(st, "uses", configurer.DocumentUses, "the plans with what they may use, the adapters and the services"),
		keyCommands(st),
		auditCommands(st),
		statusCommands(st),
		explainCommands(st),
	}
}
